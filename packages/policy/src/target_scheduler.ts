/**
 * One queue for one target's places: whom it serves next, who waits, who is
 * refused, and when a refused caller should come back. One queue for all
 * places of a target follows section 3.2 of "New Techniques to Curtail Tail
 * Latency in Stream Processing Systems".
 *
 * It answers overload (early refusal by predicted wait), a caller that takes
 * more than its share (fair queueing, and the newest job of the most greedy
 * yields), long jobs among short ones (one place is kept from long jobs), a
 * target that sustains less than it declares (a limit from own observations)
 * and callers that all come back at once (spread return times).
 */
import { Admission, type AdmissionBounds } from "./admission.ts";
import { ConcurrencyLimit } from "./concurrency_limit.ts";
import { CostModel } from "./cost_model.ts";
import type { QueuedJob } from "./account_queue.ts";
import { FairQueue } from "./fair_queue.ts";
import {
  computePlaceTimes,
  type OccupiedPlace,
  type PlaceTimes,
} from "./place_times.ts";
import { ReturnSchedule } from "./return_schedule.ts";
import type {
  NextStep,
  OfferResult,
  RefusalReason,
  ScheduledJob,
  ServiceObservation,
} from "./scheduled_job.ts";
import { computeWaitMs } from "./wait_estimate.ts";

export type {
  AdmissionDecision,
  NextStep,
  OfferResult,
  RefusalReason,
  ScheduledJob,
  ServiceObservation,
} from "./scheduled_job.ts";

/** Predictions are renewed for waiting jobs no more often than this. */
const RECHECK_MS = 20;
/** A waiting job is given up when its predicted wait passes its time by this. */
const GIVE_UP_SHARE = 1.1;
/** A long job may take the last place once this share of its time has passed. */
const LONG_AGED_SHARE = 0.75;

export interface TargetSchedulerOptions extends AdmissionBounds {
  /** Requests that the target runs at a time, as declared. */
  readonly places: number;
  /** True for a target that has just started; it begins with one place. */
  readonly cold?: boolean;
  /** Service time assumed before the first observation. */
  readonly priorServiceMs?: number;
  /** Places that long jobs may hold at a time; by default all but one. */
  readonly longJobPlaces?: number;
  /** How often waiting jobs are looked through for those that will be late. */
  readonly recheckMs?: number;
}

export interface SchedulerDescription {
  readonly queued: number;
  readonly running: number;
  readonly concurrencyLimit: number;
  /** Typical (geometric mean) service time of late. */
  readonly estimatedServiceMs: number;
  /** Wait that a job behind everything queued would have. */
  readonly estimatedWaitMs: number;
}

interface RunningJob {
  readonly queued: QueuedJob;
  readonly startedAtMs: number;
}

export class TargetScheduler {
  readonly #options: TargetSchedulerOptions;
  readonly #costs: CostModel;
  readonly #admission: Admission;
  readonly #limit: ConcurrencyLimit;
  readonly #queue = new FairQueue();
  readonly #returns = new ReturnSchedule();
  readonly #running = new Map<string, RunningJob>();
  #expired: ScheduledJob[] = [];
  #checkedAtMs = -Infinity;
  readonly #recheckMs: number;

  constructor(options: TargetSchedulerOptions) {
    this.#options = options;
    this.#recheckMs = options.recheckMs ?? RECHECK_MS;
    this.#costs = new CostModel(
      options.priorServiceMs === undefined
        ? {}
        : { priorMs: options.priorServiceMs },
    );
    this.#admission = new Admission(options, this.#costs);
    this.#limit = new ConcurrencyLimit(options.places, {
      cold: options.cold ?? false,
    });
  }

  /** Decides at once whether a job may wait. */
  offer(job: ScheduledJob, nowMs: number): OfferResult {
    const times = this.#computePlaceTimes(nowMs);
    const shortWorkMs = this.#queue.workMs - this.#queue.longWorkMs;
    const backlogMs = computeWaitMs(times.short, shortWorkMs);
    this.#admission.observeBacklog(job, backlogMs, nowMs);
    const described = this.#admission.describeJob(job);
    const queued = this.#isIdle()
      ? { ...described, latestStartMs: job.deadlineAtMs }
      : described;
    const place = this.#queue.locateNew(queued);
    const waitMs = estimateWaitMs(queued, place.likeAheadMs, times);
    const reason = this.#admission.checkWait(queued, waitMs, nowMs);
    if (reason !== null) {
      return this.#refuse(job, reason, nowMs);
    }
    if (this.#queue.size < this.#options.maxQueued) {
      this.#queue.add(queued);
      return { kind: "admitted", shed: [] };
    }
    return this.#offerToFullQueue(queued, place.finishTag, nowMs);
  }

  /** The next job to start, if a place is free for one. */
  take(nowMs: number): NextStep {
    if (nowMs < this.#limit.pausedUntilMs) {
      return { kind: "idle", wakeAtMs: this.#limit.pausedUntilMs };
    }
    while (this.#running.size < this.#limit.places) {
      const queued = this.#queue.takeNext((each, lagMs) =>
        this.#mayRun(each, lagMs, nowMs)
      );
      if (queued === undefined) {
        break;
      }
      if (nowMs <= queued.latestStartMs) {
        this.#running.set(queued.job.id, { queued, startedAtMs: nowMs });
        return { kind: "run", job: queued.job };
      }
      this.#queue.settle(queued.job.clientAccount, -queued.costMs);
      this.#expired.push(queued.job);
    }
    return { kind: "idle", wakeAtMs: this.#computeWakeAt(nowMs) };
  }

  /**
   * Waiting jobs that can no longer be served in time; answer them at once.
   * A target that has become slower since they were admitted shows here before
   * their time is up.
   */
  takeExpired(nowMs: number): readonly ScheduledJob[] {
    const expired = this.#expired;
    this.#expired = [];
    if (nowMs - this.#checkedAtMs < this.#recheckMs) {
      return expired;
    }
    this.#checkedAtMs = nowMs;
    const times = this.#computePlaceTimes(nowMs);
    const overdueRatio = this.#computeOverdueRatio(nowMs);
    const late = this.#queue.takeLate((queued, likeAheadMs) => {
      const slowdown = Math.max(
        overdueRatio,
        this.#costs.typicalMs / queued.typicalMs,
      );
      const waitMs = estimateWaitMs(queued, likeAheadMs * slowdown, times);
      const leftMs = queued.latestStartMs - nowMs;
      return leftMs < 0 || waitMs > leftMs * GIVE_UP_SHARE;
    });
    return [...expired, ...late.map((queued) => queued.job)];
  }

  /** Frees the place of a started job and learns from how it went. */
  settle(
    jobId: string,
    observation: ServiceObservation,
    nowMs: number,
  ): void {
    const running = this.#running.get(jobId);
    if (running === undefined) {
      return;
    }
    this.#running.delete(jobId);
    const { queued } = running;
    this.#limit.observe(observation.kind, nowMs);
    switch (observation.kind) {
      case "completed":
      case "timed-out":
        this.#costs.observe(queued.job, observation.serviceMs);
        break;
      case "failed":
      case "shed-by-target":
        break;
    }
    const extraMs = observation.serviceMs - queued.costMs;
    this.#queue.settle(queued.job.clientAccount, extraMs);
  }

  /** Withdraws a job whose caller has gone; true if it was still waiting. */
  cancel(jobId: string, _nowMs: number): boolean {
    return this.#queue.takeWhere(({ job }) => job.id === jobId).length > 0;
  }

  /** Withdraws the waiting jobs of a unit that moves away. */
  removeUnit(template: string, unit: string): readonly ScheduledJob[] {
    return this.#queue
      .takeWhere(({ job }) => job.template === template && job.unit === unit)
      .map((queued) => queued.job);
  }

  /** Withdraws all waiting jobs. */
  removeAll(): readonly ScheduledJob[] {
    return this.#queue.takeWhere(() => true).map((queued) => queued.job);
  }

  /** Time of a place that a job is expected to take, by observation. */
  estimateCostMs(job: ScheduledJob): number {
    return this.#costs.estimate(job).meanMs;
  }

  /** When a caller whose job was given up should come back, in milliseconds. */
  assignReturnMs(job: ScheduledJob, nowMs: number): number {
    const { meanMs } = this.#costs.estimate(job);
    const sharers = Math.max(1, this.#queue.backloggedAccounts);
    return this.#returns.assign(job.clientAccount, {
      nowMs,
      backlogMs: this.#estimateBacklogMs(nowMs),
      intervalMs: meanMs * sharers / this.#limit.places,
    });
  }

  describe(nowMs: number): SchedulerDescription {
    return {
      queued: this.#queue.size,
      running: this.#running.size,
      concurrencyLimit: this.#limit.places,
      estimatedServiceMs: this.#costs.typicalMs,
      estimatedWaitMs: this.#estimateBacklogMs(nowMs),
    };
  }

  /**
   * An idle target is always tried. After a freeze the estimate may exceed
   * every deadline; were jobs refused for it alone, no job would run, none
   * would be observed, and the target would stay shut for ever.
   */
  #isIdle(): boolean {
    return this.#running.size === 0 && this.#queue.size === 0;
  }

  #offerToFullQueue(
    queued: QueuedJob,
    finishTag: number,
    nowMs: number,
  ): OfferResult {
    const worst = this.#queue.findMostOverShare();
    if (worst === null || worst.account === queued.job.clientAccount) {
      return this.#refuse(queued.job, "account-over-share", nowMs);
    }
    if (worst.finishTag <= finishTag) {
      return this.#refuse(queued.job, "queue-full", nowMs);
    }
    const yielded = this.#queue.takeNewest(worst.account);
    this.#queue.add(queued);
    return {
      kind: "admitted",
      shed: yielded === undefined ? [] : [yielded.job],
    };
  }

  #refuse(
    job: ScheduledJob,
    reason: RefusalReason,
    nowMs: number,
  ): OfferResult {
    return {
      kind: "refused",
      reason,
      limit: this.#admission.formatLimit(job, reason),
      retryAfterMs: this.assignReturnMs(job, nowMs),
      shed: [],
    };
  }

  /**
   * Two long jobs in two places make every short one wait for a long one. So
   * the last place is kept from them, until one has aged or its account has
   * fallen behind by more than the job itself.
   */
  #mayRun(queued: QueuedJob, lagMs: number, nowMs: number): boolean {
    if (!queued.long || this.#countLongRunning() < this.#longJobPlaces) {
      return true;
    }
    const { job } = queued;
    const allowedMs = queued.latestStartMs - job.arrivedAtMs;
    const aged = nowMs - job.arrivedAtMs >= allowedMs * LONG_AGED_SHARE;
    return aged || lagMs > queued.costMs;
  }

  /** All places but one, unless there is only one. */
  get #longJobPlaces(): number {
    return this.#options.longJobPlaces ?? Math.max(1, this.#limit.places - 1);
  }

  #countLongRunning(): number {
    let count = 0;
    for (const { queued } of this.#running.values()) {
      count += queued.long ? 1 : 0;
    }
    return count;
  }

  /** How long all that waits keeps the target busy. */
  #estimateBacklogMs(nowMs: number): number {
    return computeWaitMs(
      this.#computePlaceTimes(nowMs).all,
      this.#queue.workMs,
    );
  }

  /**
   * How much longer than expected all running jobs take, at least 1. One that
   * is overdue says little; when every place's is, the target has slowed down,
   * and this shows before any of them has ended.
   */
  #computeOverdueRatio(nowMs: number): number {
    if (this.#running.size < 2 || this.#running.size < this.#limit.places) {
      return 1;
    }
    let least = Infinity;
    for (const { queued, startedAtMs } of this.#running.values()) {
      least = Math.min(least, (nowMs - startedAtMs) / queued.costMs);
    }
    return Math.max(1, least);
  }

  #computePlaceTimes(nowMs: number): PlaceTimes {
    const occupied: OccupiedPlace[] = [];
    for (const { queued, startedAtMs } of this.#running.values()) {
      occupied.push({
        long: queued.long,
        estimateMs: queued.costMs,
        elapsedMs: nowMs - startedAtMs,
      });
    }
    return computePlaceTimes(occupied, {
      places: this.#limit.places,
      longPlaces: this.#longJobPlaces,
      pauseMs: Math.max(0, this.#limit.pausedUntilMs - nowMs),
      longWaiting: this.#queue.longWorkMs > 0,
    });
  }

  #computeWakeAt(nowMs: number): number | null {
    return this.#queue.size === 0 ? null : nowMs + this.#recheckMs;
  }
}

function estimateWaitMs(
  queued: QueuedJob,
  likeAheadMs: number,
  times: PlaceTimes,
): number {
  return computeWaitMs(queued.long ? times.long : times.short, likeAheadMs);
}
