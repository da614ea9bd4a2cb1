/** A caller's request as this instance handles it, and the final answer to it. */
import type { ErrorKind } from "@lentilspur/outcomes/error_kinds";
import type { HeaderField } from "@lentilspur/ports/header_field";
import type { TargetResponse } from "@lentilspur/ports/request_sender";

/** Fields that callers send in headers; the adapter knows under which names. */
export interface RequestMetadata {
  /** Names one attempt of a caller. */
  readonly requestId: string | undefined;
  /** How long the caller waits, counted from when it sent. */
  readonly deadlineMs: number | undefined;
  /** What the request is about, where its service is keyed. */
  readonly key: number | undefined;
  /** What the caller shows to prove whose it is, as sent. */
  readonly credential: string | undefined;
}

export interface CallerRequest extends RequestMetadata {
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

export type FinalResponse =
  | (TargetResponse & { readonly kind: "answered" })
  | {
    readonly kind: "failed";
    readonly failure: ErrorKind;
    readonly message: string;
    /** After this a new attempt makes sense. */
    readonly retryAfterMs?: number;
  };
