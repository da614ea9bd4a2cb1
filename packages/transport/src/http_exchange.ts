/** One request on a connection, and how it can end. */
import type { HeaderField } from "@lentilspur/ports/header_field";
import type { ResponseLimits } from "./response_timeout.ts";

/** Its limits count from the start of the write. */
export interface HttpRequest extends ResponseLimits {
  readonly method: string;
  readonly path: string;
  readonly headers?: readonly HeaderField[];
  readonly body?: Uint8Array;
  readonly maxAnswerBytes: number;
  /**
   * Whether an answer may end with its connection. It is whole only if the peer
   * closed in order; one that was reset is cut.
   */
  readonly acceptsCloseDelimited?: boolean;
  readonly signal?: AbortSignal;
  /** Told of each part of the answer's body, in bytes. */
  readonly onData?: (bytes: number) => void;
  /** Asked right before the first byte is written; false keeps it all back. */
  readonly mayStart?: () => boolean;
}

export interface HttpResponse {
  readonly status: number;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
  /** Whether it said itself where it ends, by a length or a last chunk. */
  readonly isSelfDelimited: boolean;
}

export type SendFailureCause =
  | "silent"
  | "reset"
  | "cut"
  | "too-large"
  | "cancelled";

export interface SendFailure {
  /** False proves that no byte of the request was given to the kernel. */
  readonly written: boolean;
  readonly cause: SendFailureCause;
  readonly message: string;
}
