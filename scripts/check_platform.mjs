/**
 * Checks the boundary of the platform adapter: names from the platform's
 * messages occur only in platform/, which is at most a tenth of all code.
 */
import { readdirSync, readFileSync } from "node:fs";
import process from "node:process";

/** Names that occur only in the platform's messages. */
const PLATFORM_NAMES =
  /log-append|log-read|log-newest|log-join|log-leave|cold_remaining|hold_time|traffic_split|server_info|min_ttl|keyed\.(op|servers|owners|members)|lentilspur-(shard-key|expected-instance|not-executed|deadline-milliseconds|response-signature|server-load|handover)/i;
/** Largest share of platform/ in the lines of all code, without tests. */
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
  .filter((file) => PLATFORM_NAMES.test(readFileSync(file, "utf8")));
for (const file of outside) {
  console.error(
    `${file} uses a name from the platform's messages, which only platform/ may use; decode the message there`,
  );
}
const platformLines = countLines(listFiles("platform"));
const allLines = countLines(listFiles("packages")) + platformLines;
const share = platformLines / allLines;
console.log(
  `platform/ has ${platformLines} of ${allLines} lines (${
    (100 * share).toFixed(1)
  }%)`,
);
if (outside.length > 0 || share > MAX_SHARE) {
  process.exit(1);
}
