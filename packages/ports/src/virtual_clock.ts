/**
 * A clock that advances only on demand. Sleepers wake in the order of their
 * times; between two of them, all ready work runs first, so every run is the
 * same.
 */
import type { Clock } from "./clock.ts";

interface Sleeper {
  readonly at: number;
  readonly order: number;
  readonly wake: () => void;
}

/** Event loop rounds after which ready continuations have finished. */
const EVENT_LOOP_ROUNDS = 3;

export class VirtualClock implements Clock {
  #now = 0;
  #order = 0;
  #sleepers: Sleeper[] = [];

  readMs(): number {
    return this.#now;
  }

  /** Virtual time does not stand still. */
  waitForArrivals(): Promise<void> {
    return Promise.resolve();
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const at = this.#now + Math.max(0, ms);
      const cancel = (): void => this.#cancelSleeper(sleeper);
      const wake = (): void => {
        signal?.removeEventListener("abort", cancel);
        resolve();
      };
      const sleeper = { at, order: this.#order++, wake };
      this.#sleepers.push(sleeper);
      signal?.addEventListener("abort", cancel, { once: true });
    });
  }

  /** Advances time by `ms` and wakes every sleeper that is due. */
  async advance(ms: number): Promise<void> {
    const end = this.#now + ms;
    await this.#runReady();
    for (;;) {
      const next = this.#takeNextSleeper(end);
      if (next === undefined) {
        break;
      }
      this.#now = Math.max(this.#now, next.at);
      next.wake();
      await this.#runReady();
    }
    this.#now = end;
  }

  #takeNextSleeper(end: number): Sleeper | undefined {
    let best = -1;
    for (let index = 0; index < this.#sleepers.length; index++) {
      const candidate = this.#sleepers[index]!;
      if (candidate.at > end) {
        continue;
      }
      const chosen = this.#sleepers[best];
      if (chosen === undefined || isBefore(candidate, chosen)) {
        best = index;
      }
    }
    return best < 0 ? undefined : this.#sleepers.splice(best, 1)[0];
  }

  #cancelSleeper(sleeper: Sleeper): void {
    const index = this.#sleepers.indexOf(sleeper);
    if (index >= 0) {
      this.#sleepers.splice(index, 1);
      sleeper.wake();
    }
  }

  async #runReady(): Promise<void> {
    for (let round = 0; round < EVENT_LOOP_ROUNDS; round++) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
}

function isBefore(left: Sleeper, right: Sleeper): boolean {
  return left.at < right.at ||
    (left.at === right.at && left.order < right.order);
}
