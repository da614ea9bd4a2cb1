/**
 * All decisions, all but one, and the plain baselines. A decision is left out
 * by what the simulation tells the modules or does with their answers, so the
 * modules under test are the ones that run in production.
 */
import type {
  OfferResult,
  ScheduledJob,
  ServiceObservation,
} from "@lentilspur/policy/scheduled_job";
import { TargetScheduler } from "@lentilspur/policy/target_scheduler";
import { PLACES_PER_TARGET } from "./deployments.ts";
import { PLAIN_RETURN_MS, PlainQueue } from "./plain_queue.ts";
import type { TargetQueue } from "./target_queue.ts";

export interface Variant {
  readonly name: string;
  createQueue(options: { readonly cold: boolean }): TargetQueue;
  /** Limits of client accounts at the entries. */
  readonly limitsAccounts: boolean;
  /** Requests whose caller has gone are withdrawn. */
  readonly cancels: boolean;
  /** Lookups that failed are sent again within a budget, or without one. */
  readonly retries: "budgeted" | "unbounded";
  /** An answer may be given up before its deadline. */
  readonly adaptsTimeout: boolean;
  readonly placement: "weighed" | "trusting-reports" | "fixed" | "round-robin";
  /** A unit's load: the time that it takes of places, or its requests. */
  readonly measuresLoadBy: "time" | "requests";
  readonly placesHotKeys: boolean;
  /** A target that joins is given its part by and by. */
  readonly startsSlowly: boolean;
}

/** The defaults of a template declaration. */
const MAX_QUEUED = 64;
const MAX_QUEUE_MS = 1_000;

/** What runs in production. */
export const ALL: Variant = {
  name: "all decisions",
  createQueue: ({ cold }) => createScheduler({ cold }),
  limitsAccounts: true,
  cancels: true,
  retries: "budgeted",
  adaptsTimeout: true,
  placement: "weighed",
  measuresLoadBy: "time",
  placesHotKeys: true,
  startsSlowly: true,
};

export const VARIANTS: readonly Variant[] = [
  ALL,
  {
    ...ALL,
    name: "- early refusal",
    createQueue: ({ cold }) => new PatientQueue(createScheduler({ cold })),
  },
  {
    ...ALL,
    name: "- giving up waiting jobs",
    createQueue: ({ cold }) => createScheduler({ cold, recheckMs: Infinity }),
  },
  {
    ...ALL,
    name: "- fair queueing",
    createQueue: ({ cold }) =>
      new RelabelledQueue(createScheduler({ cold }), (job) => ({
        ...job,
        clientAccount: "everyone",
      })),
  },
  { ...ALL, name: "- account limits", limitsAccounts: false },
  {
    ...ALL,
    name: "- fair queueing, account limits",
    limitsAccounts: false,
    createQueue: ({ cold }) =>
      new RelabelledQueue(createScheduler({ cold }), (job) => ({
        ...job,
        clientAccount: "everyone",
      })),
  },
  {
    ...ALL,
    name: "- cost classes",
    createQueue: ({ cold }) =>
      new RelabelledQueue(createScheduler({ cold }), (job) => ({
        ...job,
        costClass: "any",
        key: "any",
      })),
  },
  {
    ...ALL,
    name: "- place kept for short jobs",
    createQueue: ({ cold }) =>
      createScheduler({ cold, longJobPlaces: PLACES_PER_TARGET }),
  },
  {
    ...ALL,
    name: "- concurrency limit",
    createQueue: () => new UnlimitedQueue(createScheduler({ cold: false })),
  },
  {
    ...ALL,
    name: "- spread return times",
    createQueue: ({ cold }) => new HastyReturnQueue(createScheduler({ cold })),
  },
  {
    ...ALL,
    name: "- one queue for both places",
    createQueue: ({ cold }) => new QueuePerPlace(cold),
  },
  { ...ALL, name: "- cancellation", cancels: false },
  { ...ALL, name: "- retry budget", retries: "unbounded" },
  { ...ALL, name: "- adaptive timeout", adaptsTimeout: false },
  { ...ALL, name: "- hot key placement", placesHotKeys: false },
  { ...ALL, name: "- balancing", placement: "fixed" },
  { ...ALL, name: "- latency feedback", measuresLoadBy: "requests" },
  { ...ALL, name: "- slow start", startsSlowly: false },
  { ...ALL, name: "- own observations", placement: "trusting-reports" },
  makeBaseline("first come first served", {
    places: PLACES_PER_TARGET,
    maxQueued: MAX_QUEUED,
  }),
  makeBaseline("unbounded queue", {
    places: PLACES_PER_TARGET,
    maxQueued: Infinity,
  }),
  {
    ...ALL,
    name: "round robin",
    placement: "round-robin",
    placesHotKeys: false,
  },
  makeBaseline("no limits", { places: Infinity, maxQueued: Infinity }),
];

function makeBaseline(
  name: string,
  options: { readonly places: number; readonly maxQueued: number },
): Variant {
  return {
    ...ALL,
    name,
    createQueue: () => new PlainQueue(options),
    limitsAccounts: false,
    cancels: false,
    retries: "unbounded",
    adaptsTimeout: false,
    placement: "fixed",
    placesHotKeys: false,
    startsSlowly: false,
  };
}

function createScheduler(options: {
  readonly cold: boolean;
  readonly recheckMs?: number;
  readonly longJobPlaces?: number;
}): TargetScheduler {
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
class RelabelledQueue extends ForwardingQueue {
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
class PatientQueue extends RelabelledQueue {
  constructor(inner: TargetQueue) {
    super(inner, (job) => ({
      ...job,
      arrivedAtMs: Number.MAX_SAFE_INTEGER,
      deadlineAtMs: Number.MAX_SAFE_INTEGER,
    }));
  }
}

/** Hides that a target refuses. */
class UnlimitedQueue extends ForwardingQueue {
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
class HastyReturnQueue extends ForwardingQueue {
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
class QueuePerPlace implements TargetQueue {
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
