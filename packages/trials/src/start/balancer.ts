/** What the platform's balancer does: it offers only instances that are ready. */
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { InstanceProcess } from "./deployment_processes.ts";

const LOOK_EVERY_MS = 200;
const TIMEOUT_MS = 500;

export class Balancer {
  readonly #ready = new Set<string>();
  readonly #watched = new Set<string>();

  /** Instances that callers are sent to now, as `host:port`. */
  listReadyAddresses(): readonly string[] {
    return [...this.#ready];
  }

  /** Looks at the instances until `signal` aborts, at each on its own. */
  async run(
    listInstances: () => readonly InstanceProcess[],
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      for (const instance of listInstances()) {
        if (!this.#watched.has(instance.address)) {
          this.#watched.add(instance.address);
          void this.#watchOne(instance, signal);
        }
      }
      await sleep(LOOK_EVERY_MS);
    }
  }

  async #watchOne(
    { address, statusAddress, child }: InstanceProcess,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted && !child.hasEnded) {
      if (await isReady(statusAddress)) {
        this.#ready.add(address);
      } else {
        this.#ready.delete(address);
      }
      await sleep(LOOK_EVERY_MS);
    }
    this.#ready.delete(address);
    this.#watched.delete(address);
  }
}

async function isReady(address: string): Promise<boolean> {
  try {
    const answer = await request(`http://${address}/`, {
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    await answer.body.dump();
    return answer.statusCode === 200;
  } catch {
    return false;
  }
}
