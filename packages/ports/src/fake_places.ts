/** The places of a target: who runs, who waits, in order of arrival. */
import { waitForAbort } from "./abort.ts";

interface Waiter {
  readonly requestId: string;
  readonly wake: AbortController;
  isCancelled: boolean;
}

export interface ClaimOptions {
  /** Aborts when the process ends. */
  readonly ended: AbortSignal;
  /** Resolves at once unless the process is frozen. */
  readonly waitWhileFrozen: () => Promise<void>;
}

export class FakePlaces {
  readonly #places: number;
  readonly #waiting: Waiter[] = [];
  #claimed = 0;

  constructor(places: number) {
    this.#places = places;
  }

  countWaiting(): number {
    return this.#waiting.length;
  }

  /** Waits for a place; the caller releases a claimed one. */
  async claim(
    requestId: string,
    options: ClaimOptions,
  ): Promise<"claimed" | "cancelled" | "ended"> {
    while (this.#claimed >= this.#places) {
      const wake = new AbortController();
      const waiter: Waiter = { requestId, wake, isCancelled: false };
      this.#waiting.push(waiter);
      await waitForAbort(AbortSignal.any([wake.signal, options.ended]));
      this.#waiting.splice(this.#waiting.indexOf(waiter), 1);
      await options.waitWhileFrozen();
      if (options.ended.aborted) {
        return "ended";
      }
      if (waiter.isCancelled) {
        this.#sendWake();
        return "cancelled";
      }
    }
    this.#claimed++;
    return "claimed";
  }

  release(): void {
    this.#claimed--;
    this.#sendWake();
  }

  cancel(requestId: string): void {
    for (const waiter of this.#waiting) {
      if (waiter.requestId === requestId) {
        waiter.isCancelled = true;
        waiter.wake.abort();
      }
    }
  }

  #sendWake(): void {
    this.#waiting.find((waiter) => !waiter.wake.signal.aborted)?.wake.abort();
  }
}
