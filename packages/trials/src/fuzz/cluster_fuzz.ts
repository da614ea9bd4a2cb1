/**
 * Model commands over a whole cluster: any failures, together or twice, while
 * callers send; judged when all faults have ended and the system has settled.
 */
import assert from "node:assert/strict";
import fc from "fast-check";
import type { ClusterOptions } from "../cluster/fake_cluster.ts";
import { listFaults, listUnservedKeys } from "./cluster_judgement.ts";
import { ClusterTrial } from "./cluster_trial.ts";
import { drawnStep } from "./drawn_steps.ts";
import { createOutcome, type FuzzOutcome } from "./fuzz_outcome.ts";
import { mayRunStep, runStep } from "./run_step.ts";
import type { Step } from "./step.ts";

/** Commands look at the trial itself to tell whether they make sense. */
interface ClusterModel {
  readonly trial: ClusterTrial;
}

class StepCommand implements fc.AsyncCommand<ClusterModel, ClusterTrial> {
  readonly #step: Step;

  constructor(step: Step) {
    this.#step = step;
  }

  check({ trial }: ClusterModel): boolean {
    return mayRunStep(trial, this.#step);
  }

  async run(_model: ClusterModel, trial: ClusterTrial): Promise<void> {
    await runStep(trial, this.#step);
  }

  toString(): string {
    return JSON.stringify(this.#step);
  }
}

export interface ClusterFuzzOptions {
  readonly seed: number;
  readonly runs: number;
  readonly cluster?: ClusterOptions;
}

const MAX_COMMANDS = 40;

/** Deadlines, leases, grants and a standing guardian have all run out by then. */
const SETTLING_MS = 16_000;

export async function runClusterFuzz(
  options: ClusterFuzzOptions,
): Promise<FuzzOutcome> {
  const commands = fc.commands(
    [drawnStep.map((step) => new StepCommand(step))],
    { maxCommands: MAX_COMMANDS, size: "max" },
  );
  const property = fc.asyncProperty(commands, async (drawn) => {
    const trial = new ClusterTrial(options.cluster);
    await trial.start();
    await fc.asyncModelRun(() => ({ model: { trial }, real: trial }), drawn);
    await checkTrial(trial);
  });
  const details = await fc.check(property, {
    seed: options.seed,
    numRuns: options.runs,
  });
  return createOutcome(details);
}

/** Runs steps as a found counter-example lists them. */
export async function replaySteps(
  steps: readonly Step[],
  options: ClusterOptions = {},
): Promise<ClusterTrial> {
  const trial = new ClusterTrial(options);
  await trial.start();
  for (const step of steps) {
    if (mayRunStep(trial, step)) {
      await runStep(trial, step);
    }
  }
  await trial.restore(SETTLING_MS);
  return trial;
}

async function checkTrial(trial: ClusterTrial): Promise<void> {
  await trial.restore(SETTLING_MS);
  assert.deepEqual(listFaults(trial), []);
  assert.deepEqual(await listUnservedKeys(trial), []);
}
