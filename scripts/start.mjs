/**
 * Installs packages, builds and runs the local trial deployment: `npm start`,
 * `npm start -- --once`.
 */
import process from "node:process";
import { buildProject, runTool } from "./tools.mjs";

buildProject();
runTool("node", [
  "packages/trials/dist/start/start_cli.js",
  ...process.argv.slice(2),
]);
