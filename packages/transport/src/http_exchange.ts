/** Types of one HTTP request, its response and its failures. */
import type { ConnectionTrace } from "@lentilspur/ports/connection_trace";
import type { HeaderField } from "@lentilspur/ports/header_field";
import type { ResponseStream } from "@lentilspur/ports/response_stream";
import type { ReadAheadBudget } from "./read_ahead_budget.ts";
import type { ResponseLimits } from "./response_timeout.ts";

export interface ResponseHead {
  readonly status: number;
  readonly headers: readonly HeaderField[];
}

/** Whose response has arrived. */
export type ResponseVerdict =
  /** That of the request. */
  | "own"
  /** The same; the request may be sent again under its id after it. */
  | "own-repeatable"
  /**
   * The same; a late copy of it could pass for the response to any request, so
   * the connection carries no further one.
   */
  | "own-last"
  /** It may belong to another request or to none. */
  | "foreign";

/**
 * Attributes a response to a request. A faulty peer may send a response twice,
 * and the copy may arrive where the response to the next request is expected.
 */
export interface ResponseIdentity {
  /**
   * The request is not sent on a connection that has brought an `own-repeatable`
   * response for this id, since a late copy of it would have the same id.
   */
  readonly id?: string;
  /** Whether the request is sent only on a connection that has carried none. */
  readonly needsNewConnection?: boolean;
  /**
   * Decides whose response has arrived, as soon as its head has; `isFirst` tells
   * whether the connection has carried nothing before, so that nothing else can
   * have been sent on it. The send fails if the response is `foreign`. If this is
   * missing, each response counts as `own`.
   */
  readonly checkResponse?: (
    head: ResponseHead,
    connection: { readonly isFirst: boolean },
  ) => ResponseVerdict;
}

/**
 * `timeoutMs` counts from the call of `HttpConnection.send`, `stallTimeoutMs`
 * from the last data received.
 */
export interface HttpRequest extends ResponseLimits, ResponseIdentity {
  readonly method: string;
  readonly path: string;
  readonly headers?: readonly HeaderField[];
  readonly body?: Uint8Array;
  /**
   * Creates the body right before it is sent, in place of `body`, for a body
   * that contains times.
   */
  readonly createBody?: () => Uint8Array;
  readonly maxResponseBytes: number;
  /**
   * Whether the response may end with its connection. Such a response is
   * complete only if the peer closed the connection; a reset truncates it.
   */
  readonly acceptsCloseDelimited?: boolean;
  /**
   * If it is set, a large response is returned while it still arrives, with the
   * body as a stream that is read ahead into this budget.
   */
  readonly readAhead?: ReadAheadBudget;
  /** Cancels the request until its response is returned. */
  readonly signal?: AbortSignal;
  /** Called with the size of each part of the response body that arrives. */
  readonly onData?: (bytes: number) => void;
  /**
   * Called right before the first byte is written; on false nothing is written.
   */
  readonly mayStart?: () => boolean;
}

export interface HttpResponse {
  readonly status: number;
  readonly headers: readonly HeaderField[];
  /** The whole body; empty if there is a stream. */
  readonly body: Uint8Array;
  /**
   * The body of a large response. Its reader reads it to its end or cancels it;
   * its connection is in use until then.
   */
  readonly stream?: ResponseStream;
  /** Whether the response marks its own end, by a length or a last chunk. */
  readonly isSelfDelimited: boolean;
  readonly trace: ConnectionTrace;
}

export type SendFailureCause =
  /** No complete response within the time limit, or a stalled response. */
  | "silent"
  /**
   * The connection was lost before the head of a final response, or the request
   * could not be written.
   */
  | "reset"
  /**
   * The response is truncated or may be: its connection was lost within it, or
   * it has no length and `acceptsCloseDelimited` is not set.
   */
  | "cut"
  | "too-large"
  /** The head that arrived is not that of a valid response. */
  | "malformed"
  /** The response may belong to another request or to none. */
  | "foreign"
  | "cancelled";

export interface SendFailure {
  /** False proves that no byte of the request was passed to the kernel. */
  readonly written: boolean;
  readonly cause: SendFailureCause;
  readonly message: string;
  readonly trace: ConnectionTrace;
}
