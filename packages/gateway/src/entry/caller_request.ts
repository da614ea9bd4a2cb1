/** Defines a caller's request and the final response to it. */
import type { ErrorKind } from "@lentilspur/outcomes/error_kinds";
import type { HeaderField } from "@lentilspur/ports/header_field";
import type { TargetResponse } from "@lentilspur/ports/request_sender";

/**
 * Values that callers send in headers; the adapter defines the headers' names.
 */
export interface RequestMetadata {
  /**
   * Identifies the caller's request; a retry by the caller has another id.
   * Undefined if the request must be refused as malformed.
   */
  readonly requestId: string | undefined;
  /** How long the caller waits, counted from when it sent the request. */
  readonly deadlineMs: number | undefined;
  /** The key that the request is for, if its service is keyed. */
  readonly key: number | undefined;
  /** Proof of the caller's client account, as sent. */
  readonly credential: string | undefined;
}

export interface CallerRequest extends RequestMetadata {
  readonly requestId: string;
  readonly method: string;
  readonly host: string;
  /** Path and query, as sent. */
  readonly path: string;
  /** All headers as sent, with names in lower case. */
  readonly headers: readonly HeaderField[];
  /** May be put together from its parts each time it is read. */
  readonly body: Uint8Array;
  readonly arrivedAtMs: number;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
}

export type FinalResponse =
  | (TargetResponse & { readonly kind: "answered" })
  | {
    readonly kind: "failed";
    readonly failure: ErrorKind;
    readonly message: string;
    /** Delay after which a retry by the caller may succeed. */
    readonly retryAfterMs?: number;
  };
