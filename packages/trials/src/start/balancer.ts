/** What the platform's balancer does: it offers only instances that are ready. */
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { InstanceProcess } from "./processes.ts";

const LOOK_EVERY_MS = 200;
const TIMEOUT_MS = 500;

export class Balancer {
  #ready: readonly string[] = [];

  /** Instances that callers are sent to now, as `host:port`. */
  listEntries(): readonly string[] {
    return this.#ready;
  }

  /** Looks at the instances until `signal` aborts. */
  async run(
    listInstances: () => readonly InstanceProcess[],
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      const looked = await Promise.all(
        listInstances().map(async ({ httpAddress }) =>
          await isReady(httpAddress) ? [httpAddress] : []
        ),
      );
      this.#ready = looked.flat();
      await sleep(LOOK_EVERY_MS);
    }
  }
}

async function isReady(address: string): Promise<boolean> {
  try {
    const answer = await request(`http://${address}/readyz`, {
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    await answer.body.dump();
    return answer.statusCode === 200;
  } catch {
    return false;
  }
}
