/** Builds and runs the fuzz: `npm run fuzz -- --seed N --runs N`. */
import process from "node:process";
import { buildProject, runTool } from "./tools.mjs";

buildProject();
runTool("node", [
  "packages/trials/dist/fuzz/fuzz_cli.js",
  ...process.argv.slice(2),
]);
