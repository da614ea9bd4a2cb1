/** Deno's rules, then the few that Deno lacks. Needs a finished build. */
import { runTool } from "./tools.mjs";

runTool("npx", ["deno", "lint", "--quiet"]);
runTool("npx", ["eslint", "--max-warnings=0", "packages", "platform"]);
