/**
 * Helpers of the scripts: run the project's tools and exit at the first
 * failure.
 */
import { spawnSync } from "node:child_process";
import process from "node:process";

/** Runs `command` in the current directory; exits this process if it fails. */
export function runTool(command, args) {
  const result = spawnSync(command, args, { stdio: "inherit" });
  if (result.status !== 0) {
    process.exit(result.status ?? 1);
  }
}

/** Installs packages if any is missing, then builds the project. */
export function buildProject() {
  const installed = spawnSync("npm", ["ls", "--silent"], { stdio: "ignore" });
  if (installed.status !== 0) {
    runTool("npm", ["ci", "--no-audit", "--no-fund"]);
  }
  runTool("npx", ["tsc", "-b"]);
}
