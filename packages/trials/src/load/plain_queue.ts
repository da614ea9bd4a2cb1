/**
 * The plain baselines: one queue in order of arrival, bounded by length or
 * not at all, with as many running as places or without a limit.
 */
import type {
  NextStep,
  OfferResult,
  ScheduledJob,
} from "@lentilspur/policy/scheduled_job";
import type { TargetQueue } from "./target_queue.ts";

/** What a refused caller is told, whatever the load. */
export const PLAIN_RETURN_MS = 100;

/** It learns nothing of costs; its loads serve no planner. */
const PLAIN_COST_MS = 1;

export class PlainQueue implements TargetQueue {
  readonly #places: number;
  readonly #maxQueued: number;
  #waiting: ScheduledJob[] = [];
  #head = 0;
  readonly #running = new Set<string>();

  constructor(
    options: { readonly places: number; readonly maxQueued: number },
  ) {
    this.#places = options.places;
    this.#maxQueued = options.maxQueued;
  }

  offer(job: ScheduledJob): OfferResult {
    if (this.#waiting.length - this.#head >= this.#maxQueued) {
      return {
        kind: "refused",
        reason: "queue-full",
        limit: `${this.#maxQueued} jobs`,
        retryAfterMs: PLAIN_RETURN_MS,
        shed: [],
      };
    }
    this.#waiting.push(job);
    return { kind: "admitted", shed: [] };
  }

  take(): NextStep {
    const job = this.#waiting[this.#head];
    if (job === undefined || this.#running.size >= this.#places) {
      return { kind: "idle", wakeAtMs: null };
    }
    this.#head++;
    if (this.#head > 1_000) {
      this.#waiting = this.#waiting.slice(this.#head);
      this.#head = 0;
    }
    this.#running.add(job.id);
    return { kind: "run", job };
  }

  takeExpired(): readonly ScheduledJob[] {
    return [];
  }

  settle(jobId: string): void {
    this.#running.delete(jobId);
  }

  cancel(): boolean {
    return false;
  }

  removeUnit(template: string, unit: string): readonly ScheduledJob[] {
    const waiting = this.#waiting.slice(this.#head);
    this.#head = 0;
    this.#waiting = waiting.filter((job) =>
      job.unit !== unit || job.template !== template
    );
    return waiting.filter((job) =>
      job.unit === unit && job.template === template
    );
  }

  estimateCostMs(): number {
    return PLAIN_COST_MS;
  }

  assignReturnMs(): number {
    return PLAIN_RETURN_MS;
  }
}
