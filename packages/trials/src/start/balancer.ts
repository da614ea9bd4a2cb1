/** Simulates the platform's load balancer, which lists only ready instances. */
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { InstanceProcess } from "./deployment_processes.ts";

const POLL_INTERVAL_MS = 200;
const POLL_TIMEOUT_MS = 500;

export class Balancer {
  readonly #ready = new Set<string>();
  readonly #watched = new Set<string>();

  /** Lists the `host:port` of every instance that is ready. */
  listReadyAddresses(): readonly string[] {
    return [...this.#ready];
  }

  /** Polls each instance independently until `signal` aborts. */
  async run(
    listInstances: () => readonly InstanceProcess[],
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      for (const instance of listInstances()) {
        if (!this.#watched.has(instance.address)) {
          this.#watched.add(instance.address);
          void this.#watchInstance(instance, signal);
        }
      }
      await sleep(POLL_INTERVAL_MS);
    }
  }

  async #watchInstance(
    { address, statusAddress, child }: InstanceProcess,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted && !child.hasEnded) {
      if (await isReady(statusAddress)) {
        this.#ready.add(address);
      } else {
        this.#ready.delete(address);
      }
      await sleep(POLL_INTERVAL_MS);
    }
    this.#ready.delete(address);
    this.#watched.delete(address);
  }
}

async function isReady(address: string): Promise<boolean> {
  try {
    const response = await request(`http://${address}/`, {
      signal: AbortSignal.timeout(POLL_TIMEOUT_MS),
    });
    await response.body.dump();
    return response.statusCode === 200;
  } catch {
    return false;
  }
}
