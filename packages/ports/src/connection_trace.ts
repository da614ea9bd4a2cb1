/** Identifies the connection that carried a request, for log lines. */

export interface ConnectionTrace {
  /** Number of the connection in this process, from 1. */
  readonly connection: number;
  /** Local TCP port; undefined if the connection was lost before it was read. */
  readonly localPort: number | undefined;
  /** Number of the request among those of its connection, from 1. */
  readonly position: number;
  /** Bytes of the request that were passed to the kernel. */
  readonly writtenBytes: number;
}
