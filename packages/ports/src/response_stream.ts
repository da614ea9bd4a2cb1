/**
 * Interface for the body of a large response, which is passed on to the caller
 * while the target still sends it.
 */

export type StreamPart =
  | { readonly kind: "data"; readonly bytes: Uint8Array }
  /** All parts have been read. */
  | { readonly kind: "end" }
  /** The rest will not come; the caller must not take the response as whole. */
  | { readonly kind: "broken"; readonly message: string };

/** Why a response broke off. */
export type StreamBreak =
  /** The target's connection was lost. */
  | "cut"
  /** The response was not complete in time. */
  | "silent"
  | "too-large"
  /** The caller left or took nothing for too long. */
  | "cancelled"
  /**
   * As `cut` or `silent`, but this instance had to pause the read for want of
   * memory.
   */
  | "unread";

/** How a target's response ended. */
export type StreamEnd =
  | { readonly kind: "complete"; readonly bytes: number }
  | {
    readonly kind: "broken";
    readonly cause: StreamBreak;
    readonly message: string;
    /** Number of bytes that had arrived. */
    readonly bytes: number;
  };

export interface ResponseStream {
  /** Length that the target announced, if it did. */
  readonly length: number | undefined;
  /** Resolves when the target has sent the last byte, or never will. */
  readonly ended: Promise<StreamEnd>;
  /**
   * Resolves when the response should be read: with true if it has ended, with
   * false if it is large or memory is short.
   */
  readonly buffered: Promise<boolean>;
  /**
   * Waits for the next part. The memory of a part is counted until the next
   * call.
   */
  read(): Promise<StreamPart>;
  /** Stops the read, and the target's work on a response that has not ended. */
  cancel(message: string): void;
}
