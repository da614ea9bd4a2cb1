/** One request of a simulated caller, and how it ended for that caller. */
import type { ScheduledJob } from "@lentilspur/policy/scheduled_job";
import type { Stream } from "./patterns.ts";

/** What a caller asks for; a repeated call has the same subject. */
export interface CallSubject {
  readonly stream: Stream;
  readonly account: number;
  readonly key: number;
  readonly idempotent: boolean;
  /** Time that it needs in a place of a healthy target. */
  readonly serviceMs: number;
  readonly bystander: boolean;
}

export interface Call {
  readonly id: string;
  readonly subject: CallSubject;
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

/** The default of a template declaration, and its maximum. */
const DEADLINE_MS = 2_000;
export const LONG_DEADLINE_MS = 10_000;

export function makeCall(
  subject: CallSubject,
  fields: Pick<Call, "id" | "sends" | "instance" | "arrivedAtMs">,
): Call {
  const allowedMs = subject.stream.costClass === "long"
    ? LONG_DEADLINE_MS
    : DEADLINE_MS;
  return {
    id: fields.id,
    subject,
    sends: fields.sends,
    instance: fields.instance,
    admitted: false,
    arrivedAtMs: fields.arrivedAtMs,
    deadlineAtMs: fields.arrivedAtMs + allowedMs,
    attempt: 0,
    timedOut: false,
    target: null,
    unit: "",
    ended: false,
  };
}

/** What a target's queue is told of a call. */
export function toScheduledJob(call: Call, template: string): ScheduledJob {
  const { subject } = call;
  return {
    id: call.id,
    clientAccount: String(subject.account),
    weight: 1,
    template,
    unit: call.unit,
    key: String(subject.key),
    idempotent: subject.idempotent,
    costClass: subject.stream.costClass,
    arrivedAtMs: call.arrivedAtMs,
    deadlineAtMs: call.deadlineAtMs,
    attempt: call.attempt + 1,
  };
}

/** A caller that returns sends this often at most. */
const MAX_SENDS = 5;
/** When callers come back who were told nothing. */
const UNTOLD_RETURN_MS = 1_000;

/** After how long a caller that returns sends again; null if it does not. */
export function computeReturnMs(call: Call, end: CallEnd): number | null {
  if (end.kind === "answered" || call.sends >= MAX_SENDS) {
    return null;
  }
  return end.kind === "refused" ? end.retryAfterMs : UNTOLD_RETURN_MS;
}
