/**
 * Spaces requests out to a rate, and says how long the next one has to wait.
 *
 * Load pattern: a target takes two requests a second and is asked for seven. A
 * request that has to wait longer than it can is refused when it comes, and is
 * told when its turn would have been.
 */

export type PermitDecision =
  | { readonly kind: "granted"; readonly waitMs: number }
  | { readonly kind: "refused"; readonly retryAfterMs: number };

/** What was not used in this time may be made up for. */
const BURST_MS = 500;
/** Slower than this, it would take too long to see that a limit is lifted. */
const MIN_PER_SECOND = 0.1;

export class RequestPacer {
  /** When the next request would be due at an even pace; own clock. */
  #dueMs = -Infinity;

  get dueMs(): number {
    return this.#dueMs;
  }

  /** Takes the next turn, unless it comes later than `maxWaitMs` from now. */
  reserve(
    perSecond: number,
    maxWaitMs: number,
    nowMs: number,
  ): PermitDecision {
    const waitMs = Math.max(0, this.#dueMs - BURST_MS - nowMs);
    if (waitMs > maxWaitMs) {
      return { kind: "refused", retryAfterMs: waitMs };
    }
    const gapMs = 1_000 / Math.max(MIN_PER_SECOND, perSecond);
    this.#dueMs = Math.max(this.#dueMs, nowMs) + gapMs;
    return { kind: "granted", waitMs };
  }
}
