/**
 * Retry budget of one service, shared by all instances.
 *
 * Failure: targets become slow or refuse requests, every request is retried,
 * and the load doubles when capacity is lowest. The budget is a fraction of the
 * first attempts of this instance plus its part of a fixed reserve, both over a
 * sliding window. The budgets of all instances add up to less than the
 * configured total, whatever the number of instances.
 */

export interface RetryLimits {
  /** Retries allowed per first attempt. */
  readonly ratio: number;
  /** Additional retries in a window, over all instances. */
  readonly reserve: number;
  readonly windowMs: number;
}

/** A decision on a retry, with the figures that it was made from. */
export interface RetryClaim {
  readonly kind: "granted" | "refused";
  /** Retries of this instance in the window, with this one if granted. */
  readonly retries: number;
  /** First attempts of this instance in the window. */
  readonly firstAttempts: number;
  /**
   * Number of instances among which the reserve was divided; null if unknown.
   */
  readonly instances: number | null;
}

/**
 * Each instance uses this fraction of its budget: instances count their sends
 * separately, so their sum needs a margin below the total.
 */
const BUDGET_FRACTION = 0.6;

export class RetryBudget {
  #limits: RetryLimits;
  readonly #startedAtMs: number;
  #firstAttempts: number[] = [];
  #retries: number[] = [];

  /** `startedAtMs`: when this process started. */
  constructor(limits: RetryLimits, startedAtMs: number) {
    this.#limits = limits;
    this.#startedAtMs = startedAtMs;
  }

  /** Replaces the limits; sends that were counted before still count. */
  setLimits(limits: RetryLimits): void {
    this.#limits = limits;
  }

  recordFirstAttempt(nowMs: number): void {
    this.#firstAttempts.push(nowMs);
  }

  /** Takes one retry from the budget; `instances` share the reserve. */
  claimRetry(instances: number | null, nowMs: number): RetryClaim {
    const oldest = nowMs - this.#limits.windowMs;
    this.#firstAttempts = removeBefore(this.#firstAttempts, oldest);
    this.#retries = removeBefore(this.#retries, oldest);
    const earned = this.#limits.ratio * this.#firstAttempts.length;
    const reserve = this.#computeReserve(instances, nowMs);
    const isGranted =
      this.#retries.length + 1 <= BUDGET_FRACTION * (earned + reserve);
    if (isGranted) {
      this.#retries.push(nowMs);
    }
    return {
      kind: isGranted ? "granted" : "refused",
      retries: this.#retries.length,
      firstAttempts: this.#firstAttempts.length,
      instances,
    };
  }

  /**
   * Computes this instance's part of the reserve. There is none while the
   * number of instances is unknown. In the first window after the start there
   * is none either, since an earlier incarnation may have used the part within
   * the same window.
   */
  #computeReserve(instances: number | null, nowMs: number): number {
    const { reserve, windowMs } = this.#limits;
    return instances === null || nowMs - this.#startedAtMs < windowMs
      ? 0
      : reserve / Math.max(1, instances);
  }
}

/** Times are in ascending order, so the remaining ones are a suffix. */
function removeBefore(times: number[], oldest: number): number[] {
  const index = times.findIndex((time) => time >= oldest);
  return index < 0 ? [] : index === 0 ? times : times.slice(index);
}
