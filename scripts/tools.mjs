/** Runs the project's tools one after another and stops at the first failure. */
import { spawnSync } from "node:child_process";
import process from "node:process";

/** Runs `command` in the repository root; ends this process if it fails. */
export function runTool(command, args) {
  const result = spawnSync(command, args, { stdio: "inherit" });
  if (result.status !== 0) {
    process.exit(result.status ?? 1);
  }
}

/** Installs when needed and builds. `npm start` and `npm test` begin with it. */
export function buildProject() {
  const installed = spawnSync("npm", ["ls", "--silent"], { stdio: "ignore" });
  if (installed.status !== 0) {
    runTool("npm", ["ci", "--no-audit", "--no-fund"]);
  }
  runTool("npx", ["tsc", "-b"]);
}
