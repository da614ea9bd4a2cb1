/**
 * The connections to each target: one pool for requests and one for grants and
 * probes, so that slow requests never hold up a grant.
 */
import type { Clock } from "@lentilspur/ports/clock";
import { ConnectionPool, type Probe } from "./connection_pool.ts";

/** What a target accepts in all, less a few for the control pool. */
const MAX_DISPATCH_CONNECTIONS = 126;
const MAX_CONTROL_CONNECTIONS = 4;
const CONNECT_TIMEOUT_MS = 300;
/** How often idle connections are probed. */
const PROBE_EVERY_MS = 1_000;
/**
 * Two places, and one more for a request that comes while a connection that
 * failed is being replaced.
 */
const DISPATCH_PROBE: Probe = {
  path: "/report",
  timeoutMs: 400,
  warmConnections: 3,
};
/** One missed round of probes, and a request leaves on a fresh connection. */
const MAX_UNHEARD_MS = 2 * PROBE_EVERY_MS;
/** A target without traffic for this long loses its connections. */
const FORGET_AFTER_MS = 30_000;

interface TargetPools {
  readonly dispatch: ConnectionPool;
  readonly control: ConnectionPool;
  readonly stop: AbortController;
  usedAt: number;
}

export class TargetConnections {
  readonly #clock: Clock;
  readonly #pools = new Map<string, TargetPools>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  getDispatchPool(address: string): ConnectionPool {
    const pools = this.#getPools(address);
    pools.usedAt = this.#clock.readMs();
    return pools.dispatch;
  }

  getControlPool(address: string): ConnectionPool {
    return this.#getPools(address).control;
  }

  close(): void {
    for (const address of [...this.#pools.keys()]) {
      this.#remove(address);
    }
  }

  #getPools(address: string): TargetPools {
    const known = this.#pools.get(address);
    if (known !== undefined) {
      return known;
    }
    const pools: TargetPools = {
      dispatch: this.#createPool(address, MAX_DISPATCH_CONNECTIONS),
      control: this.#createPool(address, MAX_CONTROL_CONNECTIONS),
      stop: new AbortController(),
      usedAt: this.#clock.readMs(),
    };
    this.#pools.set(address, pools);
    void this.#runKeeper(address, pools);
    return pools;
  }

  #createPool(address: string, maxConnections: number): ConnectionPool {
    return new ConnectionPool(address, {
      clock: this.#clock,
      maxConnections,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      maxUnheardMs: MAX_UNHEARD_MS,
    });
  }

  /** Keeps connections for requests ready while the target has traffic. */
  async #runKeeper(address: string, pools: TargetPools): Promise<void> {
    const signal = pools.stop.signal;
    while (!signal.aborted) {
      await this.#clock.sleep(PROBE_EVERY_MS, signal);
      if (this.#clock.readMs() - pools.usedAt > FORGET_AFTER_MS) {
        this.#remove(address);
        return;
      }
      await pools.dispatch.probeIdle(DISPATCH_PROBE);
    }
  }

  #remove(address: string): void {
    const pools = this.#pools.get(address);
    this.#pools.delete(address);
    pools?.stop.abort();
    pools?.dispatch.close();
    pools?.control.close();
  }
}
