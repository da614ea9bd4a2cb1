/**
 * Builds the project and runs the fuzz tests of keepers and decoders:
 * `npm run fuzz -- --seed 77 --runs 250`. CI runs the same tests with a fixed
 * seed and fewer runs.
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { buildProject, runTool } from "./tools.mjs";

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "31" },
    runs: { type: "string", default: "250" },
  },
});
buildProject();
process.env.FUZZ_SEED = values.seed;
process.env.FUZZ_RUNS = values.runs;
runTool("node", [
  "--test",
  "--test-reporter=spec",
  "packages/gateway/dist/keeper/keeper_fuzz_test.js",
  "packages/gateway/dist/keeper/store_restore_fuzz_test.js",
  "packages/gateway/dist/keeper/ended_keeper_fuzz_test.js",
  "packages/gateway/dist/requests/request_quarantine_fuzz_test.js",
  "packages/gateway/dist/forwarding/odd_messages_test.js",
  "packages/gateway/dist/peers/odd_datagrams_test.js",
  "packages/ownership/dist/odd_records_test.js",
  "platform/dist/decoder_fuzz_test.js",
]);
