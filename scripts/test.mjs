/**
 * Installs packages, builds and runs every `*_test.ts`. Arguments select the
 * test files whose paths contain all of them: `npm test -- routing/`.
 */
import { existsSync, readdirSync } from "node:fs";
import process from "node:process";
import { buildProject, runTool } from "./tools.mjs";

/**
 * A test file that hangs fails after this; the slowest one takes a twentieth of
 * it.
 */
const FILE_TIMEOUT_MS = 300_000;

buildProject();
const pathParts = process.argv.slice(2);
const files = ["packages", "platform"]
  .flatMap((root) =>
    readdirSync(root, { recursive: true }).map((file) => `${root}/${file}`)
  )
  .filter((file) => /\/dist\/.*_test\.js$/.test(file))
  .filter((file) => !file.includes("node_modules"))
  .filter((file) => existsSync(getSourcePath(file)))
  .filter((file) => pathParts.every((part) => file.includes(part)))
  .sort();
runTool("node", [
  "--test",
  "--test-reporter=spec",
  `--test-timeout=${FILE_TIMEOUT_MS}`,
  ...files,
]);

/**
 * Returns the source of a built test, which is run only while its source
 * exists.
 */
function getSourcePath(file) {
  return file.replace("/dist/", "/src/").replace(/\.js$/, ".ts");
}
