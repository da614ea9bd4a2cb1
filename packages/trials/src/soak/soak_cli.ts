/**
 * `npm run soak -- --seed 7 --seconds 60`: runs the real programs as processes,
 * injects overlapping faults from outside, and checks the promises by what
 * callers and targets recorded. The seed determines the kinds of faults, their
 * order and the intervals between them. Which process a fault affects, how long
 * it lasts and when it takes effect also depend on the timing of the machine.
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import {
  binary,
  command,
  number,
  oneOf,
  option,
  optional,
  run,
  type Type,
} from "cmd-ts";
import { hashToUint32 } from "@lentilspur/gateway/members/stable_hash";
import { KNOWN_FAILURES, type KnownFailure } from "../start/planned_stop.ts";
import { Trial } from "../start/trial.ts";
import {
  hasPassed,
  renderReport,
  renderSummary,
} from "../start/trial_report.ts";
import { readMonotonicMs } from "../traffic/caller.ts";
import { ABAY, SAUTIBA } from "../traffic/deployment.ts";
import { TrafficRandom } from "../traffic/traffic_random.ts";
import {
  DEFAULT_FAULTS,
  FaultInjector,
  SOAK_FAULTS,
  type SoakFault,
} from "./soak_faults.ts";

/** Mean time from the start of one fault to the start of the next. */
const FAULT_INTERVAL_MS = 1_500;
/**
 * Every key must be served within this time after the last fault is reverted.
 */
const RECOVERY_TIMEOUT_MS = 15_000;

/** The ratio that the playground publishes, and a reserve for each instance. */
const RETRY_RATIO = 0.1;
const RETRY_RESERVE_PER_INSTANCE = 2.5;
const RETRY_WINDOW_MS = 10_000;

interface SoakArguments {
  readonly seed: number;
  readonly seconds: number;
  readonly deployment: "abay" | "sautiba";
  readonly instances: number;
  readonly requestsPerSecond: number;
  readonly faults: readonly SoakFault[];
  readonly knownFailure: KnownFailure | undefined;
}

const FaultList: Type<string, readonly SoakFault[]> = {
  from: async (text) =>
    await Promise.all(
      text.split(",").map((name) => oneOf(SOAK_FAULTS).from(name)),
    ),
};

const soakCommand = command({
  name: "soak",
  description: "Run the real programs and inject faults from outside",
  args: {
    seed: option({ long: "seed", type: number, defaultValue: () => 1 }),
    seconds: option({ long: "seconds", type: number, defaultValue: () => 45 }),
    deployment: option({
      long: "deployment",
      type: oneOf(["abay", "sautiba"] as const),
      defaultValue: () => "abay" as const,
    }),
    instances: option({
      long: "instances",
      type: number,
      description: "Number of instances at the start",
      defaultValue: () => ABAY.instances,
    }),
    requestsPerSecond: option({
      long: "requests-per-second",
      type: number,
      description:
        "Requests in addition to those of callers that wait for responses",
      defaultValue: () => 60,
    }),
    faults: option({
      long: "faults",
      type: FaultList,
      description:
        "Faults to draw from, separated by commas; by default, all before responses-repeated",
      defaultValue: () => DEFAULT_FAULTS,
    }),
    knownFailure: option({
      long: "known-failure",
      type: optional(oneOf(KNOWN_FAILURES)),
      description:
        "A failure of KNOWN-RED.txt that this run passes with, if it occurs once",
    }),
  },
  handler: runSoak,
});

async function runSoak(
  {
    seed,
    seconds,
    deployment,
    instances,
    requestsPerSecond,
    faults,
    knownFailure,
  }: SoakArguments,
): Promise<void> {
  const directory = mkdtempSync(join(tmpdir(), `lentilspur-soak-${seed}-`));
  const trial = new Trial({
    deployment: { ...(deployment === "abay" ? ABAY : SAUTIBA), instances },
    directory,
    print,
    random: new TrafficRandom(seed),
    hasFaultyLinks: true,
    ...(knownFailure === undefined ? {} : { knownFailure }),
    steadyPerSecond: requestsPerSecond,
    retryLimits: {
      ratio: RETRY_RATIO,
      reserve: Math.round(RETRY_RESERVE_PER_INSTANCE * instances),
      windowMs: RETRY_WINDOW_MS,
    },
  });
  try {
    await trial.start();
    await runFaults(trial, { seed, durationMs: seconds * 1_000, faults });
    await trial.checkRecovery(RECOVERY_TIMEOUT_MS);
    const report = await trial.stopAndReport();
    print(renderReport(report));
    print(renderSummary([report]));
    if (hasPassed([report])) {
      rmSync(directory, { recursive: true });
    } else {
      print(`seed ${seed}: logs and histories are in ${directory}`);
      process.exitCode = 1;
    }
  } finally {
    await trial.close();
  }
}

async function runFaults(
  trial: Trial,
  { seed, durationMs, faults }: {
    readonly seed: number;
    readonly durationMs: number;
    readonly faults: readonly SoakFault[];
  },
): Promise<void> {
  const injector = new FaultInjector(trial, createRandom("details", seed));
  // Callers draw from another generator: how often they draw depends on the
  // machine, and must not change the sequence of faults.
  const random = createRandom("faults", seed);
  const startedAtMs = readMonotonicMs();
  const running: Promise<void>[] = [];
  while (readMonotonicMs() - startedAtMs < durationMs) {
    await sleep(random.drawExponential(FAULT_INTERVAL_MS));
    const fault = faults[random.drawIndex(faults.length)]!;
    const atMs = Math.round(readMonotonicMs() - startedAtMs);
    const inject = async (): Promise<void> => {
      const description = await injector.inject(fault);
      print(`  ${atMs} ms: ${fault}, ${description}`);
    };
    running.push(inject());
  }
  await Promise.all(running);
}

/** Hashes the seed, because the first draws of small seeds are nearly equal. */
function createRandom(purpose: string, seed: number): TrafficRandom {
  return new TrafficRandom(hashToUint32(`${purpose} ${seed}`));
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

await run(binary(soakCommand), process.argv);
process.exit();
