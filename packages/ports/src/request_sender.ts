/** Interface for sending a request to a target, and the possible outcomes. */
import type { ConnectionTrace } from "./connection_trace.ts";
import type { HeaderField } from "./header_field.ts";
import type { ResponseStream } from "./response_stream.ts";

/** Statuses from this one on mean that the target itself has failed. */
const FIRST_FAILED_STATUS = 500;

export interface OutgoingRequest {
  readonly targetId: string;
  readonly address: string;
  readonly maxConnections: number;
  readonly requestId: string;
  /** The request's key, if its service is keyed. */
  readonly key?: number;
  readonly method: string;
  readonly path: string;
  /** End-to-end header fields as the caller sent them. */
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
  /** A larger response is not read to its end. */
  readonly maxAnswerBytes?: number;
  /** How long the caller still waits; the target stops working after that. */
  readonly remainingMs: number;
  /** How long to wait for the response. */
  readonly timeoutMs: number;
  /** Whether the request may run more than once. */
  readonly idempotent: boolean;
  /** Whether a large response may be returned while it still arrives. */
  readonly mayStream: boolean;
  /** Cancels the send until its response is returned. */
  readonly signal: AbortSignal;
}

/** Load that a target reported with a response. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
}

/** State that a target reported with a response. */
export interface TargetReport {
  readonly load?: ReportedLoad;
  /**
   * Requests per second that the target accepts from all instances, if it
   * reports a limit.
   */
  readonly limitPerSecond?: number;
  /** Set if the target reports that it is leaving. */
  readonly isLeaving?: true;
  /**
   * How long the target asks this instance to send it no more requests, in
   * milliseconds; given only with a refusal.
   */
  readonly backoffMs?: number;
}

/** A target's response, as it is forwarded to the caller. */
export interface TargetResponse {
  readonly status: number;
  readonly headers: readonly HeaderField[];
  /** The whole body; empty if there is a stream. */
  readonly body: Uint8Array;
  /** The body of a large response, which is read to its end or cancelled. */
  readonly stream?: ResponseStream;
  /**
   * Whether the response itself marks its end. If not, it ended when the
   * connection closed and may be incomplete, so it must not be forwarded with a
   * length.
   */
  readonly isSelfDelimited: boolean;
}

/** What proves that a request has not run, and never will. */
export type NotRunProof =
  /** There was no connection, so nothing could be written. */
  | "no-connection"
  /** The connection was lost before the first byte was written. */
  | "nothing-written"
  /**
   * The target refused the request; its response echoes the id, under which
   * nothing else was sent on the connection.
   */
  | "refusal-with-id"
  /** The same without an id; nothing else was sent on the connection. */
  | "refusal-without-id";

interface Traced {
  /** The connection that carried the request, if one did. */
  readonly trace?: ConnectionTrace;
}

export type SendOutcome =
  /**
   * The response of the target, to be forwarded unchanged; complete unless it
   * has a stream.
   */
  | (TargetResponse & TargetReport & Traced & { readonly kind: "answered" })
  /**
   * The request is proved not to have run, and never will: no connection to the
   * target could be opened (`unreachable`), none was free or one was lost before
   * any of it was sent (`not-sent`), the target refused it, usually for lack of room (`full`),
   * or does not hold its key (`not-owner`), or another process responds at the
   * address (`replaced`).
   */
  | (TargetReport & Traced & {
    readonly kind: "not-run";
    readonly cause:
      | "unreachable"
      | "not-sent"
      | "full"
      | "not-owner"
      | "replaced";
    readonly proof: NotRunProof;
    readonly message: string;
  })
  /**
   * The request may have run: no response in time (`silent`), the connection
   * broke before the response (`reset`) or during it (`cut`), the response is
   * too large or not a valid one to this request (`garbled`), or the send was
   * cancelled (`cancelled`).
   */
  | (Traced & {
    readonly kind: "unknown";
    readonly cause: "silent" | "reset" | "cut" | "garbled" | "cancelled";
    readonly message: string;
  });

/** Whether none of the request has left this instance. */
export function isUnsent(outcome: SendOutcome): boolean {
  return outcome.kind === "not-run" &&
    (outcome.cause === "unreachable" || outcome.cause === "not-sent");
}

/** Whether the target ran the request without failing. */
export function isSuccessful(outcome: SendOutcome): boolean {
  return outcome.kind === "answered" && outcome.status < FIRST_FAILED_STATUS;
}

export interface RequestSender {
  send(request: OutgoingRequest): Promise<SendOutcome>;
  /** Whether a connection to the address is open and not in use. */
  hasIdleConnection(address: string): boolean;
}
