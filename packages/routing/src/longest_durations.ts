/**
 * Remembers how long the slowest recent request of each route took. Times are
 * forgotten after one to two periods, in memory that only the number of routes
 * bounds.
 */

/** Times are kept for this long at least. */
const PERIOD_MS = 60_000;
/** With fewer requests, the slow ones may not have been among them. */
const MIN_REQUESTS = 50;

interface RouteDurations {
  readonly requests: number;
  readonly longestMs: number;
}

const NO_DURATIONS: RouteDurations = { requests: 0, longestMs: 0 };

export class LongestDurations {
  #periodStartedAtMs = -Infinity;
  #current = new Map<string, RouteDurations>();
  #previous = new Map<string, RouteDurations>();

  record(route: string, durationMs: number, nowMs: number): void {
    this.#advance(nowMs);
    const { requests, longestMs } = this.#current.get(route) ?? NO_DURATIONS;
    this.#current.set(route, {
      requests: requests + 1,
      longestMs: Math.max(longestMs, durationMs),
    });
  }

  /** Undefined if too few requests of the route are known. */
  getLongestMs(route: string, nowMs: number): number | undefined {
    this.#advance(nowMs);
    const current = this.#current.get(route) ?? NO_DURATIONS;
    const previous = this.#previous.get(route) ?? NO_DURATIONS;
    return current.requests + previous.requests < MIN_REQUESTS
      ? undefined
      : Math.max(current.longestMs, previous.longestMs);
  }

  #advance(nowMs: number): void {
    const elapsedMs = nowMs - this.#periodStartedAtMs;
    if (elapsedMs < PERIOD_MS) {
      return;
    }
    this.#previous = elapsedMs < 2 * PERIOD_MS ? this.#current : new Map();
    this.#current = new Map();
    this.#periodStartedAtMs = nowMs;
  }
}
