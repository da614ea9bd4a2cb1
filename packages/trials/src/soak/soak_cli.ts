/**
 * `npm run soak -- --seed 7 --seconds 60`: the real programs as processes,
 * faults from outside that overlap, and the promises judged from what callers
 * and targets saw. The faults and their order follow from the seed; when each
 * strikes a process follows from the machine.
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { binary, command, number, oneOf, option, run } from "cmd-ts";
import { hashToUint32 } from "@lentilspur/gateway/members/stable_hash";
import { Trial } from "../start/trial.ts";
import {
  hasPassed,
  renderReport,
  renderSummary,
} from "../start/trial_report.ts";
import { readMonotonicMs } from "../traffic/caller.ts";
import { ABAY, SAUTIBA } from "../traffic/deployment.ts";
import { TrafficRandom } from "../traffic/traffic_random.ts";
import { FaultInjector, SOAK_FAULTS } from "./soak_faults.ts";

/** Mean time from the beginning of one fault to that of the next. */
const FAULT_EVERY_MS = 1_500;
/** Everything is served again this soon after the last fault is made good. */
const RECOVERY_MS = 15_000;

interface SoakArguments {
  readonly seed: number;
  readonly seconds: number;
  readonly deployment: "abay" | "sautiba";
}

const soakCommand = command({
  name: "soak",
  description: "Run the real programs under faults from outside",
  args: {
    seed: option({ long: "seed", type: number, defaultValue: () => 1 }),
    seconds: option({ long: "seconds", type: number, defaultValue: () => 45 }),
    deployment: option({
      long: "deployment",
      type: oneOf(["abay", "sautiba"] as const),
      defaultValue: () => "abay" as const,
    }),
  },
  handler: runSoak,
});

async function runSoak(
  { seed, seconds, deployment }: SoakArguments,
): Promise<void> {
  const directory = mkdtempSync(join(tmpdir(), `lentilspur-soak-${seed}-`));
  const trial = new Trial({
    deployment: deployment === "abay" ? ABAY : SAUTIBA,
    directory,
    print,
    random: new TrafficRandom(seed),
    hasFaultyLinks: true,
  });
  try {
    await trial.start();
    await runFaults(trial, seed, seconds * 1_000);
    await trial.checkRecovery(RECOVERY_MS);
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
  seed: number,
  lengthMs: number,
): Promise<void> {
  const injector = new FaultInjector(trial, createRandom("details", seed));
  // Of their own: how much the callers draw follows from the machine.
  const random = createRandom("faults", seed);
  const startedAtMs = readMonotonicMs();
  const running: Promise<void>[] = [];
  while (readMonotonicMs() - startedAtMs < lengthMs) {
    await sleep(random.drawExponential(FAULT_EVERY_MS));
    const fault = SOAK_FAULTS[random.drawIndex(SOAK_FAULTS.length)]!;
    const atMs = Math.round(readMonotonicMs() - startedAtMs);
    const inject = async (): Promise<void> => {
      const done = await injector.inject(fault);
      print(`  ${atMs} ms: ${fault}, ${done}`);
    };
    running.push(inject());
  }
  await Promise.all(running);
}

/** Small seeds alone give first draws that are all alike. */
function createRandom(purpose: string, seed: number): TrafficRandom {
  return new TrafficRandom(hashToUint32(`${purpose} ${seed}`));
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

await run(binary(soakCommand), process.argv);
process.exit();
