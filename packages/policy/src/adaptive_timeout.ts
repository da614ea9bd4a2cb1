/**
 * How long a lookup may take at its target before it is given up there and
 * sent again on another connection; within the retry budget.
 *
 * Load pattern: something between the two ends has lost track of a connection,
 * and answers on it never come, while new connections work. Without this
 * timeout each such lookup holds one of the target's 2 places until its
 * deadline, a hundred times its service time, and its caller is told nothing.
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

export type TimeoutRule = (sortedMs: readonly number[]) => number;

export class AdaptiveTimeout {
  readonly #rule: TimeoutRule;
  #samples: number[] = [];
  #periodEndsAtMs = 0;
  #timeoutMs = Infinity;

  constructor(rule: TimeoutRule = computeTailTimeout) {
    this.#rule = rule;
  }

  /** Records how long an answered lookup took. */
  observe(serviceMs: number, nowMs: number): void {
    if (this.#samples.length < MAX_SAMPLES) {
      this.#samples.push(serviceMs);
    }
    if (nowMs >= this.#periodEndsAtMs && this.#samples.length >= MIN_SAMPLES) {
      const sortedMs = this.#samples.sort((left, right) => left - right);
      this.#timeoutMs = this.#rule(sortedMs);
      this.#samples = [];
      this.#periodEndsAtMs = nowMs + PERIOD_MS;
    }
  }

  /** Infinite until enough has been observed. */
  get timeoutMs(): number {
    return this.#timeoutMs;
  }
}

/** Algorithm 1 of the paper. */
export function computePaperTimeout(sortedMs: readonly number[]): number {
  const p90 = getPercentile(sortedMs, 0.9);
  const p95 = getPercentile(sortedMs, 0.95);
  const p99 = getPercentile(sortedMs, 0.99);
  const p999 = getPercentile(sortedMs, 0.999);
  if (p99 > 2 * p90) {
    return p90;
  }
  return p999 > 2 * p95 ? p95 : p999;
}

/** Beyond this many times the 99th percentile an answer is not coming. */
const TAIL_FACTOR = 3;

export function computeTailTimeout(sortedMs: readonly number[]): number {
  return TAIL_FACTOR * getPercentile(sortedMs, 0.99);
}

function getPercentile(sortedMs: readonly number[], share: number): number {
  const index = Math.ceil(share * sortedMs.length) - 1;
  return sortedMs[Math.max(0, index)]!;
}
