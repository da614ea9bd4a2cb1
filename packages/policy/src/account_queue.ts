/** The waiting jobs of one client account at one target, oldest first. */
import type { ScheduledJob } from "./scheduled_job.ts";

/** A waiting job with what was expected of it when it was admitted. */
export interface QueuedJob {
  readonly job: ScheduledJob;
  readonly costMs: number;
  readonly long: boolean;
  /** What a job of the target took typically when this one was admitted. */
  readonly typicalMs: number;
  /** Starting later than this would miss the deadline or the queue's bound. */
  readonly latestStartMs: number;
}

export class AccountQueue {
  readonly name: string;
  weight: number;
  /** The virtual time at which the account's next job is due. */
  startTag: number;
  running = 0;
  readonly #waiting: QueuedJob[] = [];
  #workMs = 0;
  #longWorkMs = 0;

  constructor(
    name: string,
    options: { readonly weight: number; readonly startTag: number },
  ) {
    this.name = name;
    this.weight = options.weight;
    this.startTag = options.startTag;
  }

  get waiting(): readonly QueuedJob[] {
    return this.#waiting;
  }

  /** Waiting work, in milliseconds of one place. */
  get workMs(): number {
    return this.#workMs;
  }

  /** The part of `workMs` that is long jobs. */
  get longWorkMs(): number {
    return this.#longWorkMs;
  }

  /** The virtual time at which all that waits would be done. */
  get finishTag(): number {
    return this.startTag + this.#workMs / this.weight;
  }

  add(queued: QueuedJob): void {
    this.#waiting.push(queued);
    this.#workMs += queued.costMs;
    this.#longWorkMs += queued.long ? queued.costMs : 0;
  }

  removeAt(index: number): QueuedJob {
    const [removed] = this.#waiting.splice(index, 1);
    const left = this.#waiting.length > 0;
    // Set to zero when empty, or rounding errors would add up for ever.
    this.#workMs = left ? this.#workMs - removed!.costMs : 0;
    const longMs = removed!.long ? removed!.costMs : 0;
    this.#longWorkMs = left ? this.#longWorkMs - longMs : 0;
    return removed!;
  }

  /** Waiting work of jobs as long, or as short, as asked for. */
  getLikeWorkMs(long: boolean): number {
    return long ? this.#longWorkMs : this.#workMs - this.#longWorkMs;
  }

  /** The part of that work which is due before a virtual time. */
  computeDueWorkMs(dueTag: number, long: boolean): number {
    const dueMs = (dueTag - this.startTag) * this.weight;
    return Math.min(Math.max(0, dueMs), this.getLikeWorkMs(long));
  }
}
