/**
 * Builds the project and runs the soak test: `npm run soak -- --seed 7
 * --seconds 60`.
 */
import process from "node:process";
import { buildProject, runTool } from "./tools.mjs";

buildProject();
runTool("node", [
  "packages/trials/dist/soak/soak_cli.js",
  ...process.argv.slice(2),
]);
