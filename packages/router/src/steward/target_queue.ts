/**
 * The one queue in front of one target. The scheduler decides; this class
 * holds what waits, and tells each waiter its decision at once: its turn has
 * come, or it is given up and should come back at a stated time.
 */
import type { Clock } from "@lentilspur/ports/clock";
import {
  type RefusalReason,
  type ScheduledJob,
  type ServiceObservation,
  TargetScheduler,
} from "@lentilspur/policy/target_scheduler";

/** The bounds of a queue, as its template declares them. */
export interface QueueBounds {
  readonly places: number;
  readonly maxQueued: number;
  readonly maxQueueMs: number;
}

export type PlaceDecision =
  /** The job may be dispatched in this turn; `release` must follow. */
  | { readonly kind: "granted"; readonly queuedMs: number }
  | {
    readonly kind: "refused";
    readonly reason: RefusalReason | "deadline-passed";
    readonly limit: string;
    readonly retryAfterMs: number;
  }
  | { readonly kind: "cancelled" };

interface Waiter {
  readonly job: ScheduledJob;
  settle(decision: PlaceDecision): void;
}

export class TargetQueue {
  readonly #clock: Clock;
  readonly #waiters = new Map<string, Waiter>();
  #bounds: QueueBounds;
  #scheduler: TargetScheduler;
  /** Schedulers of earlier bounds; their running jobs still hold places. */
  #retired: TargetScheduler[] = [];
  #isWakeUpSet = false;

  constructor(bounds: QueueBounds, clock: Clock) {
    this.#clock = clock;
    this.#bounds = bounds;
    this.#scheduler = new TargetScheduler(bounds);
  }

  /** Waits until the job may be dispatched or is given up. */
  waitForPlace(job: ScheduledJob, signal: AbortSignal): Promise<PlaceDecision> {
    return new Promise((resolve) => {
      if (signal.aborted) {
        resolve({ kind: "cancelled" });
        return;
      }
      const cancelJob = (): void => this.#cancel(job.id);
      signal.addEventListener("abort", cancelJob, { once: true });
      this.#waiters.set(job.id, {
        job,
        settle: (decision) => {
          signal.removeEventListener("abort", cancelJob);
          resolve(decision);
        },
      });
      this.#offer(job);
      this.#advance();
    });
  }

  /** Gives the place of a granted job back and tells how it went. */
  release(jobId: string, observation: ServiceObservation): void {
    const now = this.#clock.readMs();
    for (const scheduler of [this.#scheduler, ...this.#retired]) {
      scheduler.settle(jobId, observation, now);
    }
    this.#retired = this.#retired.filter((scheduler) =>
      scheduler.describe(now).running > 0
    );
    this.#advance();
  }

  /** Follows the template; what waits is decided anew under the new bounds. */
  setBounds(bounds: QueueBounds): void {
    if (isSame(bounds, this.#bounds)) {
      return;
    }
    this.#bounds = bounds;
    const waiting = this.#scheduler.removeAll();
    if (this.#scheduler.describe(this.#clock.readMs()).running > 0) {
      this.#retired.push(this.#scheduler);
    }
    this.#scheduler = new TargetScheduler(bounds);
    waiting.forEach((job) => this.#offer(job));
    this.#advance();
  }

  /** When a caller that is turned away should come back, in milliseconds. */
  computeReturnMs(job: ScheduledJob): number {
    return this.#scheduler.assignReturnMs(job, this.#clock.readMs());
  }

  get queued(): number {
    return this.#waiters.size;
  }

  #offer(job: ScheduledJob): void {
    const offered = this.#scheduler.offer(job, this.#clock.readMs());
    for (const shed of offered.shed) {
      this.#refuse(shed, "account-over-share");
    }
    if (offered.kind === "refused") {
      this.#settle(job.id, offered);
    }
  }

  #cancel(jobId: string): void {
    if (this.#scheduler.cancel(jobId, this.#clock.readMs())) {
      this.#settle(jobId, { kind: "cancelled" });
      this.#advance();
    }
  }

  #advance(): void {
    const now = this.#clock.readMs();
    this.#refuseExpired(now);
    // Places of earlier bounds are still in use: the target would get more
    // than it can run if the new scheduler started beside them.
    if (this.#retired.length > 0) {
      return;
    }
    for (;;) {
      const step = this.#scheduler.take(now);
      switch (step.kind) {
        case "run": {
          const queuedMs = now - step.job.arrivedAtMs;
          this.#settle(step.job.id, { kind: "granted", queuedMs });
          break;
        }
        case "idle":
          this.#refuseExpired(now);
          this.#scheduleWakeUp(step.wakeAtMs, now);
          return;
      }
    }
  }

  #refuseExpired(now: number): void {
    for (const job of this.#scheduler.takeExpired(now)) {
      this.#refuse(
        job,
        now >= job.deadlineAtMs ? "deadline-passed" : "queue-full",
      );
    }
  }

  #refuse(job: ScheduledJob, reason: RefusalReason | "deadline-passed"): void {
    this.#settle(job.id, {
      kind: "refused",
      reason,
      limit: `${this.#bounds.maxQueued} requests in the target's queue`,
      retryAfterMs: this.computeReturnMs(job),
    });
  }

  #settle(jobId: string, decision: PlaceDecision): void {
    const waiter = this.#waiters.get(jobId);
    this.#waiters.delete(jobId);
    waiter?.settle(decision);
  }

  /** At most one timer stands; it looks at the queue again when it ends. */
  #scheduleWakeUp(atMs: number | null, now: number): void {
    if (atMs === null || this.#isWakeUpSet) {
      return;
    }
    this.#isWakeUpSet = true;
    void this.#clock.sleep(Math.max(1, atMs - now)).then(() => {
      this.#isWakeUpSet = false;
      this.#advance();
    });
  }
}

function isSame(left: QueueBounds, right: QueueBounds): boolean {
  return left.places === right.places && left.maxQueued === right.maxQueued &&
    left.maxQueueMs === right.maxQueueMs;
}
