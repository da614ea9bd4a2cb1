/**
 * What a target's queue is told about a request, and what it decides. Nothing
 * here holds a body or a connection, so a decision can be replayed from these
 * values alone. All times are milliseconds of the caller's monotonic clock.
 */

/** One request that waits for a place of its target. */
export interface ScheduledJob {
  readonly id: string;
  readonly clientAccount: string;
  /** Share under contention, relative to other client accounts; above 0. */
  readonly weight: number;
  readonly template: string;
  readonly unit: string;
  readonly key: string;
  readonly idempotent: boolean;
  /**
   * Requests that cost about the same, such as the declared route's method and
   * path. Without one, lookups make one class and all others a second.
   */
  readonly costClass?: string;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  /** 1 for the first send. */
  readonly attempt: number;
}

export type RefusalReason =
  | "queue-full"
  | "deadline-too-short"
  | "account-over-share";

export type AdmissionDecision =
  | { readonly kind: "admitted" }
  | {
    readonly kind: "refused";
    readonly reason: RefusalReason;
    /** Which limit refused it, for the log line and the caller's message. */
    readonly limit: string;
    readonly retryAfterMs: number;
  };

/** A decision on one job, with the jobs that had to yield to it. */
export type OfferResult = AdmissionDecision & {
  /** Waiting jobs given up in favour of a fairer share; answer them at once. */
  readonly shed: readonly ScheduledJob[];
};

export type NextStep =
  | { readonly kind: "run"; readonly job: ScheduledJob }
  /** Nothing may start now; call again at this time, or after any event. */
  | { readonly kind: "idle"; readonly wakeAtMs: number | null };

/**
 * What became of a job that was started. One whose caller went away is
 * "failed": it says nothing about the target. "timed-out" is for one that the
 * target did not finish before its deadline.
 */
export interface ServiceObservation {
  readonly kind: "completed" | "failed" | "shed-by-target" | "timed-out";
  /** From dispatch to the end of the answer. */
  readonly serviceMs: number;
}
