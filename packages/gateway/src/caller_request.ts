/** A caller's request as this instance handles it, and the final answer to it. */
import type { HeaderField } from "@lentilspur/ports/target";

/** Fields that callers send in headers; the adapter knows under which names. */
export interface CallerFields {
  /** Names one attempt of a caller. */
  readonly requestId: string | undefined;
  /** How long the caller waits, counted from when it sent. */
  readonly deadlineMs: number | undefined;
  /** What the request is about, where its service is keyed. */
  readonly key: number | undefined;
}

export interface CallerRequest extends CallerFields {
  readonly requestId: string;
  readonly method: string;
  readonly host: string;
  /** Path and query, as sent. */
  readonly path: string;
  /** As sent, all of them, in lower case. */
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
  readonly arrivedAtMs: number;
  /** Aborts when the caller has left. */
  readonly signal: AbortSignal;
}

/**
 * Why a request has no answer of a target. Those with a status of 408, 429 or
 * 503 say that it has not run and never will.
 */
export type FailureKind =
  | "malformed"
  | "no-such-route"
  | "body-too-large"
  | "too-slow"
  | "not-ready"
  | "stopping"
  | "no-target"
  | "owner-changing"
  | "overloaded"
  | "target-refused"
  | "target-unreachable"
  | "deadline-passed"
  | "answer-lost"
  | "answer-late"
  | "caller-left";

export interface FailureAnswer {
  readonly status: number;
  readonly advice: string;
}

export const FAILURE_ANSWERS: Readonly<Record<FailureKind, FailureAnswer>> = {
  "malformed": { status: 400, advice: "Correct the request" },
  "no-such-route": { status: 404, advice: "Use a path that is configured" },
  "body-too-large": { status: 413, advice: "Send a smaller body" },
  "too-slow": { status: 408, advice: "Send the whole request at once" },
  "not-ready": { status: 503, advice: "Send again to another instance" },
  "stopping": { status: 503, advice: "Send again to another instance" },
  "no-target": { status: 503, advice: "Send again after Retry-After" },
  "owner-changing": { status: 503, advice: "Send again after Retry-After" },
  "overloaded": { status: 503, advice: "Send again after Retry-After" },
  "target-refused": { status: 503, advice: "Send again after Retry-After" },
  "target-unreachable": { status: 503, advice: "Send again after Retry-After" },
  "deadline-passed": { status: 503, advice: "Allow more time" },
  "answer-lost": { status: 502, advice: "Look up whether it took effect" },
  "answer-late": { status: 504, advice: "Look up whether it took effect" },
  "caller-left": { status: 499, advice: "The caller closed the connection" },
};

export type FinalAnswer =
  | {
    readonly kind: "answered";
    readonly status: number;
    readonly headers: readonly HeaderField[];
    readonly body: Uint8Array;
    /** Whether the target's answer said where it ends. */
    readonly isFramed: boolean;
  }
  | {
    readonly kind: "failed";
    readonly failure: FailureKind;
    readonly message: string;
    /** After this a new attempt makes sense. */
    readonly retryAfterMs?: number;
  };
