/**
 * Paces requests to a rate and computes how long the next one has to wait.
 *
 * Load pattern: a target accepts two requests per second and seven arrive. A
 * request whose wait would be too long is refused on arrival, with the time
 * until its permit as its Retry-After.
 */

export type PermitDecision =
  | { readonly kind: "granted"; readonly waitMs: number }
  | { readonly kind: "refused"; readonly retryAfterMs: number };

/** Requests may be sent this much ahead of an even pace, as a burst. */
const BURST_MS = 500;
/**
 * Lower rates are raised to this one: otherwise it would take too long to
 * notice that a limit was lifted.
 */
const MIN_PER_SECOND = 0.1;

export class RequestPacer {
  /**
   * When the next request would be due at an even pace; this instance's clock.
   */
  #dueMs = -Infinity;

  get dueMs(): number {
    return this.#dueMs;
  }

  /** Reserves the next permit, unless the wait for it exceeds `maxWaitMs`. */
  reserve(
    perSecond: number,
    maxWaitMs: number,
    nowMs: number,
  ): PermitDecision {
    const waitMs = Math.max(0, this.#dueMs - BURST_MS - nowMs);
    if (waitMs > maxWaitMs) {
      return { kind: "refused", retryAfterMs: waitMs };
    }
    const intervalMs = 1_000 / Math.max(MIN_PER_SECOND, perSecond);
    this.#dueMs = Math.max(this.#dueMs, nowMs) + intervalMs;
    return { kind: "granted", waitMs };
  }
}
