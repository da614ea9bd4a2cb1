/**
 * Builds the project and runs one measurement: `npm run measure -- load
 * --json`.
 */
import process from "node:process";
import { buildProject, runTool } from "./tools.mjs";

const args = process.argv.slice(2);
buildProject();
runTool("node", ["packages/trials/dist/measure/measure_cli.js", ...args]);
