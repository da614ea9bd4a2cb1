/**
 * Second sends of one service, bounded over all instances together.
 *
 * Load pattern: targets turn slow or refuse, every request is sent again, and
 * the load doubles when there is least room. The allowance is a share of the
 * first sends that this instance made, plus its part of a fixed reserve, both
 * over a sliding window; the parts of all instances add up to the whole
 * whatever their number.
 */

export interface RetryLimits {
  /** Second sends for each first one. */
  readonly ratio: number;
  /** Second sends in a window that all instances may make besides. */
  readonly reserve: number;
  readonly windowMs: number;
}

/** Other instances count what they count: only this much of the limit is used. */
const USED_SHARE = 0.6;

export class RetryBudget {
  #limits: RetryLimits;
  #firstSends: number[] = [];
  #retries: number[] = [];

  constructor(limits: RetryLimits) {
    this.#limits = limits;
  }

  /** What was counted before goes on counting. */
  setLimits(limits: RetryLimits): void {
    this.#limits = limits;
  }

  recordFirstAttempt(nowMs: number): void {
    this.#firstSends.push(nowMs);
  }

  /** Takes one second send; `instances` share the reserve. */
  claimRetry(instances: number, nowMs: number): boolean {
    const oldest = nowMs - this.#limits.windowMs;
    this.#firstSends = removeBefore(this.#firstSends, oldest);
    this.#retries = removeBefore(this.#retries, oldest);
    const earned = this.#limits.ratio * this.#firstSends.length;
    const reserve = this.#limits.reserve / Math.max(1, instances);
    if (this.#retries.length + 1 > USED_SHARE * (earned + reserve)) {
      return false;
    }
    this.#retries.push(nowMs);
    return true;
  }
}

/** Times are in order, so those that stay are a tail. */
function removeBefore(times: number[], oldest: number): number[] {
  const index = times.findIndex((time) => time >= oldest);
  return index < 0 ? [] : index === 0 ? times : times.slice(index);
}
