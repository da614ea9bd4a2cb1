/**
 * `npm run fuzz -- --seed N --runs N`: the same numbers make the same run.
 * Prints the seed and, on a fault, the shrunk sequence, and exits 1.
 */
import process from "node:process";
import {
  command,
  number,
  oneOf,
  option,
  optional,
  positional,
  run,
} from "cmd-ts";
import { runClusterFuzz } from "./cluster_fuzz.ts";
import { runFoldFuzz } from "./fold_commands.ts";
import type { FuzzOutcome } from "./fuzz_outcome.ts";

interface Fuzz {
  readonly name: string;
  readonly defaultRuns: number;
  readonly run: (
    options: { readonly seed: number; readonly runs: number },
  ) => FuzzOutcome | Promise<FuzzOutcome>;
}

const FUZZES: readonly Fuzz[] = [
  { name: "fold", defaultRuns: 1_000, run: runFoldFuzz },
  { name: "cluster", defaultRuns: 100, run: runClusterFuzz },
];

const DEFAULT_SEED = 1;

const fuzzCommand = command({
  name: "fuzz",
  description: "Runs drawn sequences of faults against the real decisions",
  args: {
    what: positional({
      type: optional(oneOf(FUZZES.map(({ name }) => name))),
      displayName: "what",
      description: "What to fuzz; everything unless stated",
    }),
    seed: option({
      type: number,
      long: "seed",
      defaultValue: () => DEFAULT_SEED,
    }),
    runs: option({ type: optional(number), long: "runs" }),
  },
  handler: async ({ what, seed, runs }) => {
    const chosen = FUZZES.filter(({ name }) =>
      what === undefined || name === what
    );
    for (const fuzz of chosen) {
      const outcome = await fuzz.run({ seed, runs: runs ?? fuzz.defaultRuns });
      printOutcome(fuzz.name, outcome);
      if (outcome.failed) {
        process.exitCode = 1;
      }
    }
  },
});

function printOutcome(name: string, outcome: FuzzOutcome): void {
  const verdict = outcome.failed ? "FAULT" : "passed";
  console.log(
    `${name}: ${verdict} with seed ${outcome.seed} after ${outcome.runs} runs`,
  );
  if (outcome.failed) {
    console.log(`shrunk ${outcome.shrinks} times to:`);
    console.log(formatSequence(outcome.sequence));
    console.log(outcome.error);
  }
}

/** One step a line. */
function formatSequence(sequence: string): string {
  return sequence
    .replaceAll(",append", ",\nappend")
    .replaceAll('},{"kind"', '},\n{"kind"');
}

await run(fuzzCommand, process.argv.slice(2));
