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

/** Tests of what a process holds, which run apart from other load. */
const ALONE = /\/memory_limit_test\.js$/;

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
const [shared, alone] = [false, true].map((isAlone) =>
  files.filter((file) => ALONE.test(file) === isAlone)
);
for (const group of [shared, ...alone.map((file) => [file])]) {
  if (group.length > 0) {
    runTool("node", [
      "--test",
      "--test-reporter=spec",
      `--test-timeout=${FILE_TIMEOUT_MS}`,
      ...group,
    ]);
  }
}

/**
 * Returns the source of a built test, which is run only while its source
 * exists.
 */
function getSourcePath(file) {
  return file.replace("/dist/", "/src/").replace(/\.js$/, ".ts");
}
