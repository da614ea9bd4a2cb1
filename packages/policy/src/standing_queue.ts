/**
 * Tells a burst, which a queue is there to absorb, from a standing queue,
 * which only adds its length to everybody's wait.
 *
 * Load pattern: callers ask for twice what the target can do, for minutes.
 * With a bound on the queue alone, it fills to that bound and stays there:
 * whoever is served has waited the longest time allowed, and no more is served
 * than with a short queue. So once the backlog has lasted, the time that a new
 * job may wait falls to a part of its deadline, as CoDel (Nichols and Jacobson
 * 2012) does for packets.
 */
import type { ScheduledJob } from "./scheduled_job.ts";

/** A backlog that outlasts this is no burst; CoDel's interval, scaled to jobs. */
const INTERVAL_MS = 500;
/**
 * In a standing queue a job waits this share of its deadline, so that one that
 * is given up is told within a tenth of it, ways there and back included.
 */
const WAIT_SHARE = 0.08;
/** Less than this many services in the queue would leave places idle by chance. */
const MIN_SERVICES = 2;
/** A backlog below this part of the allowed wait is none. */
const CLEAR_SHARE = 0.5;
/** The state ends when there was no backlog for this long: overload has gaps. */
const CLEAR_MS = 1_000;

export class StandingQueue {
  #aboveSinceMs: number | null = null;
  #lastAboveMs = -Infinity;
  #standing = false;

  /** Records what is waiting, as the time that it keeps the places busy. */
  observe(
    job: ScheduledJob,
    backlog: { readonly waitMs: number; readonly typicalMs: number },
    nowMs: number,
  ): void {
    const clearMs = CLEAR_SHARE * computeShortWaitMs(job, backlog.typicalMs);
    if (backlog.waitMs < clearMs) {
      this.#aboveSinceMs = null;
      this.#standing &&= nowMs - this.#lastAboveMs < CLEAR_MS;
      return;
    }
    this.#lastAboveMs = nowMs;
    this.#aboveSinceMs ??= nowMs;
    this.#standing ||= nowMs - this.#aboveSinceMs >= INTERVAL_MS;
  }

  /** How long a new job may wait, at most `maxQueueMs`. */
  computeAllowedWaitMs(
    job: ScheduledJob,
    options: { readonly maxQueueMs: number; readonly typicalMs: number },
  ): number {
    return this.#standing
      ? Math.min(
        options.maxQueueMs,
        computeShortWaitMs(job, options.typicalMs),
      )
      : options.maxQueueMs;
  }
}

function computeShortWaitMs(job: ScheduledJob, typicalMs: number): number {
  const share = WAIT_SHARE * (job.deadlineAtMs - job.arrivedAtMs);
  return Math.max(share, MIN_SERVICES * typicalMs);
}
