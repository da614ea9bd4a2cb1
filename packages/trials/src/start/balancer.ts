/** What the platform's balancer does: it offers only instances that are ready. */
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { InstanceProcess } from "./processes.ts";

const LOOK_EVERY_MS = 200;
const TIMEOUT_MS = 500;

export class Balancer {
  readonly #ready = new Set<string>();
  readonly #watched = new Set<string>();

  /** Instances that callers are sent to now, as `host:port`. */
  listEntries(): readonly string[] {
    return [...this.#ready];
  }

  /** Looks at the instances until `signal` aborts, at each on its own. */
  async run(
    listInstances: () => readonly InstanceProcess[],
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      for (const instance of listInstances()) {
        if (!this.#watched.has(instance.httpAddress)) {
          this.#watched.add(instance.httpAddress);
          void this.#watchOne(instance, signal);
        }
      }
      await sleep(LOOK_EVERY_MS);
    }
  }

  async #watchOne(
    { httpAddress, child }: InstanceProcess,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted && !child.hasEnded) {
      if (await isReady(httpAddress)) {
        this.#ready.add(httpAddress);
      } else {
        this.#ready.delete(httpAddress);
      }
      await sleep(LOOK_EVERY_MS);
    }
    this.#ready.delete(httpAddress);
    this.#watched.delete(httpAddress);
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
