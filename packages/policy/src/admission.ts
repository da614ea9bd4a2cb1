/**
 * What a job needs and how long it may wait: the part of a target's decisions
 * that looks at one job and its deadline.
 *
 * Load pattern: more is asked for than the target can do. Without these bounds
 * every caller waits its whole time and most are then told nothing, while the
 * places work on requests whose callers have gone.
 */
import type { CostModel } from "./cost_model.ts";
import type { QueuedJob } from "./account_queue.ts";
import type { RefusalReason, ScheduledJob } from "./scheduled_job.ts";
import { StandingQueue } from "./standing_queue.ts";

/**
 * Admit only what is predicted to start within this share of the time that it
 * may wait: predictions err by about a fifth where service times vary by half.
 */
const ADMISSION_SHARE = 0.8;
/** Deviations above the mean service time that must fit before the deadline. */
const ADMISSION_DEVIATIONS = 2;

export interface AdmissionBounds {
  /** Bound on waiting jobs, over all client accounts. */
  readonly maxQueued: number;
  /** Bound on the time that a job waits. */
  readonly maxQueueMs: number;
}

export class Admission {
  readonly #bounds: AdmissionBounds;
  readonly #costs: CostModel;
  readonly #standing = new StandingQueue();

  constructor(bounds: AdmissionBounds, costs: CostModel) {
    this.#bounds = bounds;
    this.#costs = costs;
  }

  /** Records how long the waiting short jobs keep the places busy. */
  observeBacklog(job: ScheduledJob, waitMs: number, nowMs: number): void {
    const { typicalMs } = this.#costs;
    this.#standing.observe(job, { waitMs, typicalMs }, nowMs);
  }

  /** What is expected of a job, and how late it may start. */
  describeJob(job: ScheduledJob): QueuedJob {
    const allowedMs = this.#computeAllowedWaitMs(job);
    return {
      job,
      costMs: this.#costs.estimate(job).meanMs,
      long: this.#costs.isLong(job),
      typicalMs: this.#costs.typicalMs,
      latestStartMs: Math.min(
        this.#computeLastStartMs(job),
        job.arrivedAtMs + allowedMs,
      ),
    };
  }

  /** Why a job that would start after `waitMs` is refused; null if it is not. */
  checkWait(
    queued: QueuedJob,
    waitMs: number,
    nowMs: number,
  ): RefusalReason | null {
    const leftMs = queued.latestStartMs - nowMs;
    if (waitMs <= leftMs * ADMISSION_SHARE) {
      return null;
    }
    const { job, latestStartMs } = queued;
    return waitMs > leftMs && latestStartMs >= this.#computeLastStartMs(job)
      ? "deadline-too-short"
      : "queue-full";
  }

  /** Names the limit that refused a job, for its caller and the log. */
  formatLimit(job: ScheduledJob, reason: RefusalReason): string {
    switch (reason) {
      case "queue-full": {
        const waitMs = Math.round(this.#computeAllowedWaitMs(job));
        return `${this.#bounds.maxQueued} jobs or ${waitMs} ms in the target's queue`;
      }
      case "deadline-too-short": {
        const allowedMs = Math.round(job.deadlineAtMs - job.arrivedAtMs);
        return `the deadline of ${allowedMs} ms`;
      }
      case "account-over-share":
        return `the share of client account "${job.clientAccount}" in the target's queue`;
    }
  }

  #computeLastStartMs(job: ScheduledJob): number {
    const { meanMs, deviationMs } = this.#costs.estimate(job);
    return job.deadlineAtMs - meanMs - ADMISSION_DEVIATIONS * deviationMs;
  }

  /** A standing queue of short jobs says nothing about how long ones wait. */
  #computeAllowedWaitMs(job: ScheduledJob): number {
    const { maxQueueMs } = this.#bounds;
    const { typicalMs } = this.#costs;
    return this.#costs.isLong(job)
      ? maxQueueMs
      : this.#standing.computeAllowedWaitMs(job, { maxQueueMs, typicalMs });
  }
}
