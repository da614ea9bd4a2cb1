/** A thread that runs all patterns of one deployment under one variant. */
import { parentPort } from "node:worker_threads";
import { DEPLOYMENTS } from "./deployments.ts";
import { PATTERNS } from "./patterns.ts";
import { runScenario, type ScenarioFigures } from "./scenario.ts";
import { VARIANTS } from "./variants.ts";

/** Indices into the tables; functions cannot be sent to a thread. */
export interface LoadTask {
  readonly deployment: number;
  readonly variant: number;
  readonly seeds: readonly number[];
}

export interface LoadTaskResult {
  readonly task: LoadTask;
  /** In the order of `PATTERNS`. */
  readonly figures: readonly ScenarioFigures[];
}

parentPort?.on("message", (task: LoadTask) => {
  const deployment = DEPLOYMENTS[task.deployment]!;
  const variant = VARIANTS[task.variant]!;
  const figures = PATTERNS.map((pattern) =>
    runScenario({ deployment, pattern, variant, seeds: task.seeds })
  );
  parentPort?.postMessage({ task, figures } satisfies LoadTaskResult);
});
