/** Spreads the runs of the load measurement over a few threads. */
import { Worker } from "node:worker_threads";
import { DEPLOYMENTS } from "./deployments.ts";
import type { LoadTask, LoadTaskResult } from "./load_worker.ts";
import { VARIANTS } from "./variants.ts";

/** Leaves the machine's other cores to others. */
const THREADS = 4;

/** All results, in the order of deployments, then variants. */
export async function runAllTasks(
  seeds: readonly number[],
): Promise<readonly LoadTaskResult[]> {
  const tasks = DEPLOYMENTS.flatMap((_, deployment) =>
    VARIANTS.map((_, variant): LoadTask => ({ deployment, variant, seeds }))
  );
  const results: LoadTaskResult[] = new Array(tasks.length);
  let next = 0;
  const runThread = async (): Promise<void> => {
    const worker = new Worker(new URL("./load_worker.js", import.meta.url));
    try {
      while (next < tasks.length) {
        const index = next++;
        results[index] = await runTask(worker, tasks[index]!);
      }
    } finally {
      await worker.terminate();
    }
  };
  await Promise.all(Array.from({ length: THREADS }, runThread));
  return results;
}

function runTask(worker: Worker, task: LoadTask): Promise<LoadTaskResult> {
  return new Promise((resolve, reject) => {
    worker.once("error", reject);
    worker.once("message", (result: LoadTaskResult) => {
      worker.off("error", reject);
      resolve(result);
    });
    worker.postMessage(task);
  });
}
