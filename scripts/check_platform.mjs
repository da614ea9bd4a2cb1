/**
 * Holds the adapter to what it is for: the platform's names stand in platform/
 * alone, and it stays small.
 */
import { readdirSync, readFileSync } from "node:fs";
import process from "node:process";

/** Names that only the platform's own messages have. */
const NAMES =
  /log-append|log-read|log-newest|log-join|log-leave|cold_remaining|hold_time|traffic_split|server_info|min_ttl|keyed\.(op|servers|owners|members)|lentilspur-(shard-key|expected-instance|not-executed|deadline-milliseconds|response-signature|server-load|handover)/i;
/** As a part of all code, tests aside. */
const MAX_SHARE = 0.1;

const isCode = (file) =>
  file.endsWith(".ts") && !/(dist|node_modules|generated)\//.test(file);
const listFiles = (root) =>
  readdirSync(root, { recursive: true })
    .map((file) => `${root}/${file}`)
    .filter(isCode);
const countLines = (files) =>
  files.filter((file) => !file.endsWith("_test.ts"))
    .reduce(
      (sum, file) => sum + readFileSync(file, "utf8").split("\n").length,
      0,
    );

const outside = listFiles("packages")
  .filter((file) => NAMES.test(readFileSync(file, "utf8")));
for (const file of outside) {
  console.error(`${file} names what only platform/ may name; decode it there`);
}
const adapter = countLines(listFiles("platform"));
const all = countLines(listFiles("packages")) + adapter;
const share = adapter / all;
console.log(
  `platform/ has ${adapter} of ${all} lines (${(100 * share).toFixed(1)} %)`,
);
if (outside.length > 0 || share > MAX_SHARE) {
  process.exit(1);
}
