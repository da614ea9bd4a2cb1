/**
 * After how long an answer is not expected any more. A lookup is then given up
 * and, within the retry budget, sent again on another connection. Any other
 * request goes on waiting, but the place that it holds counts as free.
 *
 * Load pattern: something between the two ends has lost track of a connection,
 * and answers on it never come, while new connections work. Without this
 * timeout each such request holds one of the target's 2 places until its
 * deadline, a hundred times its service time, and its caller is told nothing.
 * Should the target still work on it, it refuses what exceeds its places.
 *
 * After "New Techniques to Curtail Tail Latency in Stream Processing Systems",
 * section 3.1: once a second the timeout follows the latencies of late. The
 * paper replays to another task; a key has one owner, so here the replay goes
 * to the same target and competes for its places.
 */

/** The paper's adjustment period. */
const PERIOD_MS = 1_000;
/** Samples kept; a target does not do more in a period. */
const MAX_SAMPLES = 1_000;
/** Fewer than this say nothing about a tail; they wait for the next period. */
const MIN_SAMPLES = 100;

/**
 * Beyond this many times the 99th percentile an answer is not coming. With 2,
 * some that were only slow were given up; docs/design/decisions-under-load.md
 * has the figures, and those of the paper's own rule.
 */
const TAIL_FACTOR = 3;

export class AdaptiveTimeout {
  #samples: number[] = [];
  #periodEndsAtMs = 0;
  #timeoutMs = Infinity;

  /** Records how long an answered request took. */
  observe(serviceMs: number, nowMs: number): void {
    if (this.#samples.length < MAX_SAMPLES) {
      this.#samples.push(serviceMs);
    }
    if (nowMs >= this.#periodEndsAtMs && this.#samples.length >= MIN_SAMPLES) {
      const sortedMs = this.#samples.sort((left, right) => left - right);
      this.#timeoutMs = TAIL_FACTOR * getPercentile(sortedMs, 0.99);
      this.#samples = [];
      this.#periodEndsAtMs = nowMs + PERIOD_MS;
    }
  }

  /** Infinite until enough has been observed. */
  get timeoutMs(): number {
    return this.#timeoutMs;
  }
}

function getPercentile(sortedMs: readonly number[], share: number): number {
  const index = Math.ceil(share * sortedMs.length) - 1;
  return sortedMs[Math.max(0, index)]!;
}
