/**
 * `npm run soak -- --seconds 120 --seed 1`: real processes on loopback, one
 * fault or two at a time while callers send, judged from outside. Exits with 1
 * if a promise was broken.
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { readMachineMs } from "@lentilspur/standins/caller";
import { command, flag, number, oneOf, option, run } from "cmd-ts";
import { SeededRandom } from "../load/seeded_random.ts";
import { ABAY, type Deployment, SAUTIBA } from "../start/deployment.ts";
import { Trial } from "../start/once.ts";
import {
  hasHeld,
  renderReport,
  renderSummary,
  type TrialReport,
} from "../start/trial_report.ts";
import { FaultInjector, SOAK_FAULTS } from "./soak_faults.ts";

/** More than in the small trial, so that two can be away at a time. */
const INSTANCES = 6;
const CALM_MS = 2_000;
/** One that was paused last may notice a little later that it is out. */
const SETTLE_MS = 5_000;
/** After the last fault, everything must be served again within this. */
const RECOVERY_MS = 15_000;
/** Share of faults that a second one joins. */
const DOUBLE_SHARE = 0.4;

const soakCommand = command({
  name: "soak",
  description: "Break things while callers send, and judge from outside",
  args: {
    seconds: option({
      long: "seconds",
      type: number,
      description: "How long to break things",
      defaultValue: () => 60,
    }),
    seed: option({
      long: "seed",
      type: number,
      description: "Chooses the faults and the requests",
      defaultValue: () => 1,
    }),
    deployment: option({
      long: "deployment",
      type: oneOf(["abay", "sautiba"]),
      defaultValue: () => "abay",
    }),
    keep: flag({
      long: "keep",
      description: "Keep logs and histories also where nothing was broken",
    }),
  },
  handler: async ({ deployment, ...options }) => {
    const chosen = deployment === "abay" ? ABAY : SAUTIBA;
    const report = await runSoak(chosen, options);
    print(renderReport(report));
    print(renderSummary([report]));
    process.exitCode = hasHeld([report]) ? 0 : 1;
  },
});

async function runSoak(
  deployment: Deployment,
  options: {
    readonly seconds: number;
    readonly seed: number;
    readonly keep: boolean;
  },
): Promise<TrialReport> {
  const random = new SeededRandom(options.seed);
  const directory = mkdtempSync(join(tmpdir(), "lentilspur-soak-"));
  const trial = new Trial({
    deployment: { ...deployment, instances: INSTANCES },
    directory,
    print,
    random: new SeededRandom(options.seed + 1),
  }, { instanceFlags: ["--checkpoint-every-records", "20"] });
  try {
    await trial.start();
    await injectFaults(trial, { ...options, random });
    await trial.checkRecovery(RECOVERY_MS);
    const report = await trial.stopAndReport();
    if (hasHeld([report]) && !options.keep) {
      rmSync(directory, { recursive: true });
    } else {
      print(`logs and histories are in ${directory}`);
    }
    return report;
  } finally {
    await trial.close();
  }
}

async function injectFaults(
  trial: Trial,
  options: { readonly seconds: number; readonly random: SeededRandom },
): Promise<void> {
  const { random, seconds } = options;
  const injector = new FaultInjector(trial, random);
  const startedAt = readMachineMs();
  while (readMachineMs() - startedAt < seconds * 1_000) {
    const count = random.draw() < DOUBLE_SHARE ? 2 : 1;
    const faults = Array.from(
      { length: count },
      () => SOAK_FAULTS[random.drawIndex(SOAK_FAULTS.length)]!,
    );
    const done = await Promise.all(
      faults.map((fault) => injector.inject(fault)),
    );
    const atS = Math.round((readMachineMs() - startedAt) / 1_000);
    print(`  ${atS} s: ${done.join(", and ")}`);
    await sleep(CALM_MS);
    await injector.startReplacements();
  }
  await sleep(SETTLE_MS);
  await injector.startReplacements();
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

await run(soakCommand, process.argv.slice(2));
