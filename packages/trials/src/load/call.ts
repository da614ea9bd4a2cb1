/** One request of a simulated caller, and how it ended for that caller. */
import type { Stream } from "./patterns.ts";

export interface Call {
  readonly id: string;
  readonly stream: Stream;
  readonly account: number;
  readonly key: number;
  readonly idempotent: boolean;
  /** Time that it needs in a place of a healthy target. */
  readonly serviceMs: number;
  readonly bystander: boolean;
  /** The caller's first send of what this call repeats. */
  readonly sends: number;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  /** The entry instance that it reached. */
  readonly instance: number;
  /** Whether it counts as in the system there. */
  admitted: boolean;
  /** Dispatches so far. */
  attempt: number;
  /** Whether it is being given up on its present connection. */
  timedOut: boolean;
  target: string | null;
  unit: string;
  ended: boolean;
}

export type CallEnd =
  | { readonly kind: "answered" }
  /** Told "not run". */
  | { readonly kind: "refused"; readonly retryAfterMs: number }
  /** Told that it may have run. */
  | { readonly kind: "unknown" }
  /** Went away before its deadline. */
  | { readonly kind: "gone" }
  /** Told nothing until its deadline. */
  | { readonly kind: "unanswered" };
