/**
 * Queues that leave one decision out: each wraps the scheduler and changes
 * what it is told, or what is made of its answers.
 */
import type {
  OfferResult,
  ScheduledJob,
  ServiceObservation,
} from "@lentilspur/policy/scheduled_job";
import { TargetScheduler } from "@lentilspur/policy/target_scheduler";
import { PLACES_PER_TARGET } from "./deployments.ts";
import { PLAIN_RETURN_MS } from "./plain_queue.ts";
import type { TargetQueue } from "./target_queue.ts";

/** The defaults of a template declaration. */
export const MAX_QUEUED = 64;
const MAX_QUEUE_MS = 1_000;

export interface SchedulerVariation {
  readonly cold: boolean;
  readonly recheckMs?: number;
  readonly longJobPlaces?: number;
}

/** What runs in production, but for what is varied. */
export function createScheduler(options: SchedulerVariation): TargetScheduler {
  return new TargetScheduler({
    places: PLACES_PER_TARGET,
    maxQueued: MAX_QUEUED,
    maxQueueMs: MAX_QUEUE_MS,
    ...options,
  });
}

/** Passes everything on; each variant changes one thing. */
class ForwardingQueue implements TargetQueue {
  protected readonly inner: TargetQueue;

  constructor(inner: TargetQueue) {
    this.inner = inner;
  }

  offer(job: ScheduledJob, nowMs: number): OfferResult {
    return this.inner.offer(job, nowMs);
  }

  take(nowMs: number): ReturnType<TargetQueue["take"]> {
    return this.inner.take(nowMs);
  }

  takeExpired(nowMs: number): readonly ScheduledJob[] {
    return this.inner.takeExpired(nowMs);
  }

  settle(jobId: string, seen: ServiceObservation, nowMs: number): void {
    this.inner.settle(jobId, seen, nowMs);
  }

  cancel(jobId: string, nowMs: number): boolean {
    return this.inner.cancel(jobId, nowMs);
  }

  removeUnit(template: string, unit: string): readonly ScheduledJob[] {
    return this.inner.removeUnit(template, unit);
  }

  estimateCostMs(job: ScheduledJob): number {
    return this.inner.estimateCostMs(job);
  }

  assignReturnMs(job: ScheduledJob, nowMs: number): number {
    return this.inner.assignReturnMs(job, nowMs);
  }
}

/** Hides something about each job from the scheduler. */
export class RelabelledQueue extends ForwardingQueue {
  readonly #relabel: (job: ScheduledJob) => ScheduledJob;

  constructor(
    inner: TargetQueue,
    relabel: (job: ScheduledJob) => ScheduledJob,
  ) {
    super(inner);
    this.#relabel = relabel;
  }

  override offer(job: ScheduledJob, nowMs: number): OfferResult {
    return super.offer(this.#relabel(job), nowMs);
  }
}

/** Hides deadlines, so that only the queue's length refuses. */
export class PatientQueue extends RelabelledQueue {
  constructor(inner: TargetQueue) {
    super(inner, (job) => ({
      ...job,
      arrivedAtMs: Number.MAX_SAFE_INTEGER,
      deadlineAtMs: Number.MAX_SAFE_INTEGER,
    }));
  }
}

/** Hides that a target refuses. */
export class UnlimitedQueue extends ForwardingQueue {
  override settle(
    jobId: string,
    seen: ServiceObservation,
    nowMs: number,
  ): void {
    const kind = seen.kind === "completed" ? "completed" : "failed";
    super.settle(jobId, { ...seen, kind }, nowMs);
  }
}

/** Tells every refused caller the same short time. */
export class HastyReturnQueue extends ForwardingQueue {
  override offer(job: ScheduledJob, nowMs: number): OfferResult {
    const result = super.offer(job, nowMs);
    return result.kind === "refused"
      ? { ...result, retryAfterMs: PLAIN_RETURN_MS }
      : result;
  }

  override assignReturnMs(): number {
    return PLAIN_RETURN_MS;
  }
}

/** A queue of its own for each place of a target; jobs go to them in turn. */
export class QueuePerPlace implements TargetQueue {
  readonly #queues: readonly TargetScheduler[];
  #offered = 0;

  constructor(cold: boolean) {
    this.#queues = Array.from(
      { length: PLACES_PER_TARGET },
      () =>
        new TargetScheduler({
          places: 1,
          maxQueued: MAX_QUEUED / PLACES_PER_TARGET,
          maxQueueMs: MAX_QUEUE_MS,
          cold,
        }),
    );
  }

  offer(job: ScheduledJob, nowMs: number): OfferResult {
    this.#offered++;
    const queue = this.#queues[this.#offered % this.#queues.length]!;
    return queue.offer(job, nowMs);
  }

  take(nowMs: number): ReturnType<TargetQueue["take"]> {
    let wakeAtMs: number | null = null;
    for (const queue of this.#queues) {
      const step = queue.take(nowMs);
      if (step.kind === "run") {
        return step;
      }
      wakeAtMs = step.wakeAtMs ?? wakeAtMs;
    }
    return { kind: "idle", wakeAtMs };
  }

  takeExpired(nowMs: number): readonly ScheduledJob[] {
    return this.#queues.flatMap((queue) => queue.takeExpired(nowMs));
  }

  settle(jobId: string, seen: ServiceObservation, nowMs: number): void {
    for (const queue of this.#queues) {
      queue.settle(jobId, seen, nowMs);
    }
  }

  cancel(jobId: string, nowMs: number): boolean {
    return this.#queues.some((queue) => queue.cancel(jobId, nowMs));
  }

  removeUnit(template: string, unit: string): readonly ScheduledJob[] {
    return this.#queues.flatMap((queue) => queue.removeUnit(template, unit));
  }

  estimateCostMs(job: ScheduledJob): number {
    return this.#queues[0]!.estimateCostMs(job);
  }

  assignReturnMs(job: ScheduledJob, nowMs: number): number {
    return this.#queues[0]!.assignReturnMs(job, nowMs);
  }
}
