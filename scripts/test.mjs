/**
 * Installs, builds and runs every `*_test.ts`. Arguments pick test files by a
 * part of their path: `npm test -- fold`.
 */
import { existsSync, readdirSync } from "node:fs";
import process from "node:process";
import { buildProject, runTool } from "./tools.mjs";

/** A file that hangs fails; the longest takes a twentieth of this. */
const FILE_TIMEOUT_MS = 300_000;

buildProject();
const wanted = process.argv.slice(2);
const files = ["packages", "platform"]
  .flatMap((root) =>
    readdirSync(root, { recursive: true }).map((file) => `${root}/${file}`)
  )
  .filter((file) => /\/dist\/.*_test\.js$/.test(file))
  .filter((file) => !file.includes("node_modules"))
  .filter((file) => existsSync(getSource(file)))
  .filter((file) => wanted.every((part) => file.includes(part)))
  .sort();
runTool("node", [
  "--test",
  "--test-reporter=spec",
  `--test-timeout=${FILE_TIMEOUT_MS}`,
  ...files,
]);

/** A test whose source is gone may still lie built; it is not run. */
function getSource(file) {
  return file.replace("/dist/", "/src/").replace(/\.js$/, ".ts");
}
