/** How an instance puts a request on a connection to a target, and what comes of it. */
import type { HeaderField } from "./header_field.ts";

/** From here on a status says that the target itself has failed. */
const FIRST_FAILED_STATUS = 500;

export interface OutgoingRequest {
  readonly targetId: string;
  readonly address: string;
  readonly maxConnections: number;
  readonly requestId: string;
  /** What it is about, where its service is keyed. */
  readonly key?: number;
  readonly method: string;
  readonly path: string;
  /** End-to-end fields as the caller sent them. */
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
  /** A larger answer is not read to its end. */
  readonly maxAnswerBytes?: number;
  /** How long the caller still waits; the target stops work after it. */
  readonly remainingMs: number;
  /** For this long an answer is waited for. */
  readonly timeoutMs: number;
  /** Whether the request may run more than once. */
  readonly idempotent: boolean;
  readonly signal: AbortSignal;
}

/** What a target said of its load along with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
}

/** What a target says of itself along with an answer. */
export interface TargetReport {
  readonly load?: ReportedLoad;
  /** Requests a second that it takes from all instances together, if it says so. */
  readonly limitPerSecond?: number;
}

/** A target's answer, as it is passed on. */
export interface TargetResponse {
  readonly status: number;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
  /**
   * Whether the answer said itself where it ends. If not, it ended with its
   * connection, and nobody can tell whether it is whole: it must not be given a
   * length on its way.
   */
  readonly isSelfDelimited: boolean;
}

export type SendOutcome =
  /** The target's whole answer, to be passed on unchanged. */
  | (TargetResponse & TargetReport & { readonly kind: "answered" })
  /** Proved not to have run, and never to run. */
  | (TargetReport & {
    readonly kind: "not-run";
    readonly cause: "unreachable" | "full" | "not-owner" | "replaced";
    readonly message: string;
  })
  /** It may have run. */
  | {
    readonly kind: "unknown";
    readonly cause: "silent" | "reset" | "cut" | "garbled" | "cancelled";
    readonly message: string;
  };

/** Whether a target ran it and did not fail at it. */
export function isSuccessful(outcome: SendOutcome): boolean {
  return outcome.kind === "answered" && outcome.status < FIRST_FAILED_STATUS;
}

export interface RequestSender {
  send(request: OutgoingRequest): Promise<SendOutcome>;
}
