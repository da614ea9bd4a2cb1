/**
 * The complete list of errors that a caller can receive, and the table from
 * error kind to HTTP response. docs/errors.md shows the same table; a test
 * keeps the two equal.
 */

/** What is proved about the execution of a request. */
export type Outcome = "ran" | "not-run" | "unknown";

/** Every error that a caller can receive. */
export type ErrorKind =
  | "malformed"
  | "unauthenticated"
  | "forbidden-template"
  | "no-such-route"
  | "too-slow"
  | "body-too-large"
  | "account-over-limit"
  | "caller-left"
  | "answer-lost"
  | "not-ready"
  | "stopping"
  | "no-target"
  | "owner-changing"
  | "overloaded"
  | "target-refused"
  | "target-unreachable"
  | "quarantined"
  | "deadline-passed"
  | "answer-late";

/** The HTTP response for one kind of error. */
export interface ErrorResponse {
  readonly status: number;
  /** `not-run` means that the request has not run and never will. */
  readonly outcome: Exclude<Outcome, "ran">;
  /**
   * Whether the caller may send the request again as it is. False if it would
   * fail again, or if it may have run, so that the caller has to check its
   * effect first. Exception: `caller-left` is true although the request may
   * have run. After `deadline-passed`, a retry needs a later deadline.
   */
  readonly mayResend: boolean;
  /** What the caller or its operator can do next. */
  readonly advice: string;
}

const RETRY_LATER = "Send again after Retry-After";
const RETRY_ELSEWHERE = "Send again to another instance";
const CHECK_EFFECT = "Look up whether it took effect";

export const ERROR_RESPONSES: Readonly<Record<ErrorKind, ErrorResponse>> = {
  "malformed": refuse(400, "Correct the request"),
  "unauthenticated": refuse(
    401,
    "Send the credential of a client account as a bearer token",
  ),
  "forbidden-template": refuse(
    403,
    "Ask the operator to allow the template for this client account",
  ),
  "no-such-route": refuse(404, "Use a path that is configured"),
  "too-slow": refuseTemporarily(408, "Send the whole request at once"),
  "body-too-large": refuse(413, "Send a smaller body"),
  "account-over-limit": refuseTemporarily(429, RETRY_LATER),
  "caller-left": {
    status: 499,
    outcome: "unknown",
    mayResend: true,
    advice: "The caller closed the connection",
  },
  "answer-lost": failAsUnknown(502),
  "not-ready": refuseTemporarily(503, RETRY_ELSEWHERE),
  "stopping": refuseTemporarily(503, RETRY_ELSEWHERE),
  "no-target": refuseTemporarily(503, RETRY_LATER),
  "owner-changing": refuseTemporarily(503, RETRY_LATER),
  "overloaded": refuseTemporarily(503, RETRY_LATER),
  "target-refused": refuseTemporarily(503, RETRY_LATER),
  "target-unreachable": refuseTemporarily(503, RETRY_LATER),
  "quarantined": refuseTemporarily(503, RETRY_LATER),
  "deadline-passed": refuseTemporarily(503, "Allow more time"),
  "answer-late": failAsUnknown(504),
};

/**
 * The request did not run, and a retry of the unchanged request fails again.
 */
function refuse(status: number, advice: string): ErrorResponse {
  return { status, outcome: "not-run", mayResend: false, advice };
}

/** The request did not run, but a later retry may succeed. */
function refuseTemporarily(status: number, advice: string): ErrorResponse {
  return { status, outcome: "not-run", mayResend: true, advice };
}

/** The request may have run, so the caller decides whether to retry. */
function failAsUnknown(status: number): ErrorResponse {
  return { status, outcome: "unknown", mayResend: false, advice: CHECK_EFFECT };
}
