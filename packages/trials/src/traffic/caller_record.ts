/** Defines what a caller records of one attempt. */

export type CallerOutcome =
  | "ran"
  | "not-run"
  | "unknown"
  /** No complete response with a valid outcome arrived. */
  | "none";

/** One attempt at a request and its result. */
export interface CallerRecord {
  readonly clientAccount: string;
  readonly template: string;
  readonly key: string;
  readonly method: string;
  readonly path: string;
  readonly idempotent: boolean;
  /** The deadline that the caller named; the template's default if missing. */
  readonly deadlineMs?: number;
  /** Id of the caller's request; all attempts at it have the same. */
  readonly wantedId: string;
  /** Id in the response; absent without a response. */
  readonly requestId?: string;
  /** `host:port` of the instance that the attempt was sent to. */
  readonly entry: string;
  readonly outcome: CallerOutcome;
  /** Whether the instance refused the connection, so that nothing was sent. */
  readonly isConnectionRefused?: true;
  /** Why no complete response arrived, as the client library names it. */
  readonly cause?: string;
  readonly status?: number;
  /** Set where lentilspur refused or failed the request. */
  readonly errorKind?: string;
  /** Whether the error response says that another attempt makes sense. */
  readonly mayResend?: boolean;
  /**
   * Whether the body of the target's response names this request's id and path.
   */
  readonly isOwnAnswer?: boolean;
  /** SHA-256 of the body, in hex. */
  readonly answerDigest?: string;
  /** Milliseconds on the machine's monotonic clock. */
  readonly sentAtMs: number;
  readonly receivedAtMs: number;
}
