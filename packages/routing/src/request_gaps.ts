/**
 * Recognizes requests that reach an instance late. While no bytes of callers
 * get through, their requests wait; then those of a longer time arrive at once.
 *
 * An interval without requests that is many times as long as usual is unlikely
 * to be chance. Requests that follow it at a far higher rate than usual may have
 * been sent at its beginning. Otherwise, callers had stopped to send.
 */

/** By chance, one interval in 3,000 is longer than this many mean ones. */
const GAP_FACTOR = 8;
/** A shorter interval moves few requests into another window. */
const MIN_GAP_MS = 200;
/** Callers seldom wait longer for a response. */
const MAX_LATENESS_MS = 5_000;
/** Weight of one interval in the mean. */
const INTERVAL_WEIGHT = 1 / 64;

/** Callers who come back after refusals send up to twice as often as usual. */
const MAX_GROWTH = 2;
/** Requests at that rate are seldom more by this many deviations. */
const CHANCE_DEVIATIONS = 2;

interface RequestGap {
  readonly fromMs: number;
  readonly toMs: number;
  /** Until when requests of the gap may arrive. */
  readonly untilMs: number;
  /** Requests since the end of the gap. */
  followers: number;
}

export class RequestGaps {
  #lastAtMs: number | undefined;
  #meanIntervalMs: number | undefined;
  #gap: RequestGap | undefined;

  /**
   * Records a request for any service. Returns the first moment at which its
   * caller may have sent it.
   */
  recordRequest(nowMs: number): number {
    const lastAtMs = this.#lastAtMs;
    this.#lastAtMs = nowMs;
    if (lastAtMs === undefined) {
      return nowMs;
    }
    const intervalMs = nowMs - lastAtMs;
    const meanMs = this.#meanIntervalMs ?? Math.max(MIN_GAP_MS, intervalMs);
    if (intervalMs >= MIN_GAP_MS && intervalMs > GAP_FACTOR * meanMs) {
      const latenessMs = Math.min(intervalMs, MAX_LATENESS_MS);
      this.#gap = {
        fromMs: nowMs - latenessMs,
        toMs: nowMs,
        untilMs: nowMs + latenessMs,
        followers: 0,
      };
    }
    if (this.#gap === undefined || nowMs >= this.#gap.untilMs) {
      this.#meanIntervalMs = meanMs + INTERVAL_WEIGHT * (intervalMs - meanMs);
      return nowMs;
    }
    this.#gap.followers++;
    const expected = MAX_GROWTH * (nowMs - this.#gap.toMs) / meanMs;
    const most = expected + CHANCE_DEVIATIONS * Math.sqrt(expected) + 1;
    return this.#gap.followers > most ? this.#gap.fromMs : nowMs;
  }
}
