/**
 * Retry budget of one service, shared by all instances.
 *
 * Failure: targets become slow or refuse requests, every request is retried,
 * and the load grows when capacity is lowest. All instances together may send
 * `ratio` times the requests of a window plus a reserve beyond the first send
 * of each request.
 *
 * The first part needs no exchange: if each instance keeps to the share that
 * its own requests earn, all of them do. Each uses an equal part of the
 * reserve.
 *
 * A process forgets what its earlier life has sent, and all processes may start
 * again within one window. Therefore what is earned is used from a bucket that
 * holds at most `BURST_SHARE` of a window's earnings, and a new process earns
 * nothing for as long as that takes to fill: what an earlier life has sent
 * beyond its earnings, the next one does without.
 */
import type { Random } from "@lentilspur/ports/clock";
import { SlidingCount } from "./sliding_count.ts";

export interface RetryLimits {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Additional retries in a window, over all instances. */
  readonly reserve: number;
  readonly windowMs: number;
}

/** Which part of the budget a retry is taken from. */
export type RetryPart = "earned" | "reserve";

/** A decision on a retry, with the figures that it was made from. */
export type RetryClaim =
  & (
    | { readonly kind: "granted"; readonly part: RetryPart }
    | { readonly kind: "refused" }
  )
  & {
    /** Retries of this instance in the window, with this one if granted. */
    readonly retries: number;
    /** Requests for the service at this instance in the window. */
    readonly requests: number;
    /**
     * Number of instances among which the reserve was divided; null if unknown.
     */
    readonly instances: number | null;
    /** Share of this instance's budget that was kept from the request. */
    readonly keptShare: number;
  };

/**
 * Used share of what is earned and of the reserve. The rest is for sends and
 * requests that others count in another window, since they are some
 * milliseconds on their way, and for repeats by requests that changed their
 * service.
 */
const EARNED_FRACTION = 0.95;
const RESERVE_FRACTION = 0.9;
/**
 * Share of the earned retries that fills the bucket. It is below the share that
 * may be used, so that the bucket runs empty in a lasting load and its level
 * shows what is left.
 */
const FILL_FRACTION = 0.92;
/** Largest part of a window's earnings that may be used at once. */
const BURST_SHARE = 0.4;
/** Lets an instance with few requests collect a whole retry. */
const MIN_BURST = 1;

export class RetryBudget {
  #limits: RetryLimits;
  readonly #startedAtMs: number;
  /**
   * Fraction of a retry that this instance may use beyond its part. Parts are
   * not whole numbers, and hundreds of instances that round down would leave
   * much of the budget unused; by random fractions, their sum stays the same.
   */
  readonly #fraction: number;
  readonly #requests = new SlidingCount();
  readonly #sent = {
    earned: new SlidingCount(),
    reserve: new SlidingCount(),
  };
  /** Retries that were granted and are not sent yet. */
  readonly #pending = { earned: 0, reserve: 0 };
  /** Earned retries that can be used. */
  #earnings: number;

  /** `startedAtMs`: when this process started. */
  constructor(
    limits: RetryLimits,
    { startedAtMs, random }: {
      readonly startedAtMs: number;
      readonly random: Random;
    },
  ) {
    this.#limits = limits;
    this.#startedAtMs = startedAtMs;
    this.#fraction = random.draw();
    this.#earnings = this.#fraction;
  }

  /** Replaces the limits; what was counted before still counts. */
  setLimits(limits: RetryLimits): void {
    this.#limits = limits;
  }

  /** Records a request for the service, whether or not it will be sent. */
  recordRequest(nowMs: number): void {
    const { ratio, windowMs } = this.#limits;
    this.#requests.add(nowMs, windowMs);
    if (nowMs - this.#startedAtMs >= BURST_SHARE * windowMs) {
      this.#earnings += FILL_FRACTION * ratio;
    }
  }

  /**
   * Takes one retry from the budget. `instances` share the reserve; `keptShare`
   * of either part is left to requests that need it more.
   */
  claimRetry(
    instances: number | null,
    nowMs: number,
    keptShare = 0,
  ): RetryClaim {
    const { ratio, windowMs } = this.#limits;
    const requests = this.#requests.countAtLeast(nowMs, windowMs);
    const earned = EARNED_FRACTION * ratio * requests;
    const reserve = RESERVE_FRACTION * this.#computeReserve(instances, nowMs);
    const used = this.#countUsed("earned", nowMs);
    const usedReserve = this.#countUsed("reserve", nowMs);
    const burst = Math.max(MIN_BURST, BURST_SHARE * earned);
    this.#earnings = Math.min(this.#earnings, burst);
    const retries = used + usedReserve;
    const figures = { requests, instances, keptShare };
    if (retries + 1 > earned + reserve + this.#fraction) {
      return { kind: "refused", retries, ...figures };
    }
    const leftReserve = reserve + this.#fraction - usedReserve;
    const part = mayTake(this.#earnings, keptShare * burst)
      ? "earned"
      : mayTake(leftReserve, keptShare * reserve)
      ? "reserve"
      : undefined;
    if (part === undefined) {
      return { kind: "refused", retries, ...figures };
    }
    this.#pending[part]++;
    this.#earnings -= part === "earned" ? 1 : 0;
    return { kind: "granted", part, retries: retries + 1, ...figures };
  }

  /** Records that a granted retry is sent. */
  recordRetry(part: RetryPart, nowMs: number): void {
    this.#pending[part]--;
    this.#sent[part].add(nowMs, this.#limits.windowMs);
  }

  /** Records a send beyond the first of its request that was not claimed. */
  recordUnclaimedRetry(nowMs: number): void {
    this.#sent.earned.add(nowMs, this.#limits.windowMs);
  }

  /** Takes back a granted retry that is not sent. */
  releaseRetry(part: RetryPart): void {
    this.#pending[part]--;
    this.#earnings += part === "earned" ? 1 : 0;
  }

  #countUsed(part: RetryPart, nowMs: number): number {
    return this.#pending[part] +
      this.#sent[part].countAtMost(nowMs, this.#limits.windowMs);
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

/**
 * Whether a part has a retry left, of which some are kept. The retry itself may
 * be one of those kept: else a part of one retry would never be used.
 */
function mayTake(left: number, kept: number): boolean {
  return left >= Math.max(1, kept);
}
