/**
 * The closed list of errors that a caller can be told, and the table from kind
 * to answer. docs/errors.md shows the same table; a test keeps them equal.
 */

/** What became of a request, as far as it can be proved. */
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

/** How one kind of error is answered over HTTP. */
export interface ErrorResponse {
  readonly status: number;
  /** `not-run` says that the request has not run and never will. */
  readonly outcome: Exclude<Outcome, "ran">;
  /** Whether a new attempt can succeed without a change to the request. */
  readonly mayResend: boolean;
  /** What to do next. */
  readonly advice: string;
}

const LATER = "Send again after Retry-After";
const ELSEWHERE = "Send again to another instance";
const LOOK_UP = "Look up whether it took effect";

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
  "too-slow": refuseForNow(408, "Send the whole request at once"),
  "body-too-large": refuse(413, "Send a smaller body"),
  "account-over-limit": refuseForNow(429, LATER),
  "caller-left": {
    status: 499,
    outcome: "unknown",
    mayResend: true,
    advice: "The caller closed the connection",
  },
  "answer-lost": failAsUnknown(502),
  "not-ready": refuseForNow(503, ELSEWHERE),
  "stopping": refuseForNow(503, ELSEWHERE),
  "no-target": refuseForNow(503, LATER),
  "owner-changing": refuseForNow(503, LATER),
  "overloaded": refuseForNow(503, LATER),
  "target-refused": refuseForNow(503, LATER),
  "target-unreachable": refuseForNow(503, LATER),
  "quarantined": refuseForNow(503, LATER),
  "deadline-passed": refuseForNow(503, "Allow more time"),
  "answer-late": failAsUnknown(504),
};

/** Not run, and sending the same again changes nothing. */
function refuse(status: number, advice: string): ErrorResponse {
  return { status, outcome: "not-run", mayResend: false, advice };
}

/** Not run, but a later attempt may. */
function refuseForNow(status: number, advice: string): ErrorResponse {
  return { status, outcome: "not-run", mayResend: true, advice };
}

/** It may have run: whether to send again is for the caller to decide. */
function failAsUnknown(status: number): ErrorResponse {
  return { status, outcome: "unknown", mayResend: false, advice: LOOK_UP };
}
