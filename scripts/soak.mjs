/** Builds, then breaks things for a while: `npm run soak -- --seconds 60`. */
import process from "node:process";
import { buildProject, runTool } from "./tools.mjs";

buildProject();
runTool("node", [
  "packages/trials/dist/soak/soak_cli.js",
  ...process.argv.slice(2),
]);
