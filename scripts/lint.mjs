/**
 * Runs Deno's linter, then ESLint for the rules that Deno lacks. Requires a
 * finished build.
 */
import { runTool } from "./tools.mjs";

runTool("npx", ["deno", "lint", "--quiet"]);
runTool("npx", ["eslint", "--max-warnings=0", "packages", "platform"]);
