/**
 * Computes after which time a response is overdue, so that the request is
 * better sent again, from the response times of a route.
 *
 * Load pattern: of an idempotent request's runs, a few in a hundred take seven
 * times as long as the others, and a second run takes the usual time. If the
 * first run is given up only after a fixed multiple of the usual time, the
 * second one ends after the goal. Given up too early, requests that were about
 * to be answered run twice.
 *
 * Response times are kept as multiples of the time that was expected of the
 * target, so targets of different speed and load share one distribution. The
 * timeout is the one with which most requests are answered within their goal,
 * in the first or the second run, if the second runs help enough callers.
 * Adaptive timeouts for stragglers: Du and Gupta, "New Techniques to Curtail the
 * Tail Latency in Stream Processing Systems", DCC 2016.
 */

/** The timeout while the distribution is not known, or has no long tail. */
export const DEFAULT_RESTART_RATIO = 4;
/** No response is overdue earlier, whatever the distribution. */
const MIN_RESTART_RATIO = 1.5;
/** Upper bound of the first bucket, and the factor between two bounds. */
const FIRST_BOUND = 0.25;
const BOUND_FACTOR = 2 ** 0.25;
const BUCKETS = 24;
/** Below this number of responses the distribution is not known. */
const MIN_SAMPLES = 30;
/** At this number all counts are halved, so that the newest ones prevail. */
const MAX_SAMPLES = 400;
/** Requests that must be in time because of a second run, for each of them. */
const MIN_GAIN_PER_REPEAT = 1 / 3;
/**
 * Largest share of responses that may be overdue: half of the usual retry
 * budget, since refused requests need the other half.
 */
const MAX_OVERDUE_SHARE = 0.1;
/** Weight of a new response time in the usual one. */
const SAMPLE_WEIGHT = 0.05;

/**
 * Response times of one route at one service, and the timeout that follows from
 * them.
 */
export class RestartTimeout {
  readonly #answered = new Float64Array(BUCKETS);
  readonly #aborted = new Float64Array(BUCKETS);
  #samples = 0;
  #usualMs = 0;
  /** Shares of unanswered requests; undefined if they have to be computed. */
  #unanswered: Float64Array | undefined;

  /** Whether enough responses are known. */
  get isKnown(): boolean {
    return this.#samples >= MIN_SAMPLES;
  }

  /**
   * Estimates the response time at a target, which is not below the route's
   * usual one: an instance may know the target from a few short requests of
   * other routes.
   */
  estimateResponseMs(targetMs: number): number {
    return Math.max(targetMs, this.#usualMs);
  }

  /** Records a response that arrived after `elapsedMs`. */
  recordResponse(elapsedMs: number, expectedMs: number): void {
    const weight = Math.max(SAMPLE_WEIGHT, 1 / (this.#samples + 1));
    this.#usualMs += weight * (elapsedMs - this.#usualMs);
    this.#record(this.#answered, elapsedMs, expectedMs);
  }

  /** Records a send that was given up without a response after `elapsedMs`. */
  recordAborted(elapsedMs: number, expectedMs: number): void {
    this.#record(this.#aborted, elapsedMs, expectedMs);
  }

  /**
   * Chooses the timeout, as a multiple of the expected response time; the goal
   * is such a multiple, too.
   */
  chooseRatio(goalRatio: number): number {
    if (!this.isKnown) {
      return DEFAULT_RESTART_RATIO;
    }
    const inTimeWithoutRepeat = 1 - this.#getUnanswered(goalRatio);
    let best = { ratio: DEFAULT_RESTART_RATIO, gain: 0 };
    for (let bucket = 0; bucket < BUCKETS; bucket++) {
      const ratio = computeBound(bucket);
      const repeats = this.#getUnanswered(ratio);
      if (
        ratio < MIN_RESTART_RATIO || ratio > goalRatio ||
        repeats > MAX_OVERDUE_SHARE
      ) {
        continue;
      }
      const inTime = 1 - repeats * this.#getUnanswered(goalRatio - ratio);
      const gain = inTime - inTimeWithoutRepeat;
      if (gain > best.gain && gain >= MIN_GAIN_PER_REPEAT * repeats) {
        best = { ratio, gain };
      }
    }
    return best.ratio;
  }

  #record(counts: Float64Array, elapsedMs: number, expectedMs: number): void {
    if (expectedMs <= 0) {
      return;
    }
    counts[findBucket(elapsedMs / expectedMs)]! += 1;
    this.#samples += 1;
    this.#unanswered = undefined;
    if (this.#samples >= MAX_SAMPLES) {
      this.#expireHalf();
    }
  }

  #expireHalf(): void {
    for (let bucket = 0; bucket < BUCKETS; bucket++) {
      this.#answered[bucket]! /= 2;
      this.#aborted[bucket]! /= 2;
    }
    this.#samples /= 2;
  }

  /** The share of requests that are not answered after a time. */
  #getUnanswered(ratio: number): number {
    this.#unanswered ??= this.#estimateUnanswered();
    const bucket = findBucket(ratio);
    return ratio >= computeBound(bucket)
      ? this.#unanswered[bucket]!
      : this.#unanswered[bucket - 1] ?? 1;
  }

  /**
   * Estimates the distribution by the product-limit method, since sends that
   * were given up only show that the response takes longer.
   */
  #estimateUnanswered(): Float64Array {
    const shares = new Float64Array(BUCKETS);
    let atRisk = this.#samples;
    let unanswered = 1;
    for (let bucket = 0; bucket < BUCKETS; bucket++) {
      const answered = this.#answered[bucket]!;
      unanswered *= atRisk > 0 ? 1 - answered / atRisk : 1;
      atRisk -= answered + this.#aborted[bucket]!;
      shares[bucket] = unanswered;
    }
    return shares;
  }
}

function computeBound(bucket: number): number {
  return FIRST_BOUND * BOUND_FACTOR ** bucket;
}

function findBucket(ratio: number): number {
  const bucket = Math.ceil(
    Math.log(Math.max(ratio, FIRST_BOUND) / FIRST_BOUND) /
      Math.log(BOUND_FACTOR),
  );
  return Math.min(BUCKETS - 1, bucket);
}
