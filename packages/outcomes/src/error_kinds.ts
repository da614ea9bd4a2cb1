/**
 * The closed list of errors that a caller can be told, and the table from kind
 * to answer. docs/errors.md shows the same table; a test keeps them equal.
 */

/** What became of a request, as far as it can be proved. */
export type Outcome = "ran" | "not-run" | "unknown";

/** Every error that a caller can receive. */
export type ErrorKind =
  | "malformed-request"
  | "body-too-large"
  | "request-too-slow"
  | "unauthenticated"
  | "forbidden-template"
  | "no-such-route"
  | "bad-request-id"
  | "account-over-limit"
  | "queue-full"
  | "deadline-too-short"
  | "deadline-passed"
  | "no-owner"
  | "owner-changing"
  | "not-ready"
  | "resend-not-remembered"
  | "already-ran"
  | "target-refused"
  | "target-unreachable"
  | "target-silent"
  | "answer-cut"
  | "answer-too-large"
  | "steward-lost"
  | "cancelled"
  | "internal";

/** How one kind of error is answered over HTTP. */
export interface ErrorAnswer {
  readonly status: number;
  /**
   * `not-run` stands only where it is proved. `not-run-of-first` is proved for
   * the first send of a request id; of a resend it says nothing, so that is
   * told `unknown` (see `toResendError`). `either` means that the place that
   * raises the error must state the outcome itself.
   */
  readonly outcome: Outcome | "not-run-of-first" | "either";
  /** Whether the same request may be sent again as it is. */
  readonly mayResend: boolean;
  /** One sentence that says what happened and what to do next. */
  readonly advice: string;
}

export const ERROR_ANSWERS: Readonly<Record<ErrorKind, ErrorAnswer>> = {
  "malformed-request": {
    status: 400,
    outcome: "not-run",
    mayResend: false,
    advice: "Correct the request as the message says",
  },
  "body-too-large": {
    status: 413,
    outcome: "not-run",
    mayResend: false,
    advice: "Send a body within the limit of the template",
  },
  "request-too-slow": {
    status: 408,
    outcome: "not-run",
    mayResend: true,
    advice: "Send the whole request within the time limit",
  },
  "unauthenticated": {
    status: 401,
    outcome: "not-run",
    mayResend: false,
    advice: "Send the credential of a client account as a bearer token",
  },
  "forbidden-template": {
    status: 403,
    outcome: "not-run",
    mayResend: false,
    advice: "Ask the operator to allow the template for this client account",
  },
  "no-such-route": {
    status: 404,
    outcome: "not-run",
    mayResend: false,
    advice: "Use a path and method that a template declares",
  },
  "bad-request-id": {
    status: 400,
    outcome: "not-run",
    mayResend: false,
    advice: "Take request ids from POST /request-ids, or send none",
  },
  "account-over-limit": {
    status: 429,
    outcome: "not-run-of-first",
    mayResend: true,
    advice: "Send again after the time in retry-after-ms",
  },
  "queue-full": {
    status: 503,
    outcome: "not-run-of-first",
    mayResend: true,
    advice: "Send again after the time in retry-after-ms",
  },
  "deadline-too-short": {
    status: 503,
    outcome: "not-run-of-first",
    mayResend: true,
    advice: "Send again later or allow more time",
  },
  "deadline-passed": {
    status: 504,
    outcome: "either",
    mayResend: true,
    advice: "Send again with the same request id to learn what became of it",
  },
  "no-owner": {
    status: 503,
    outcome: "not-run-of-first",
    mayResend: true,
    advice: "Send again after the time in retry-after-ms",
  },
  "owner-changing": {
    status: 503,
    outcome: "not-run-of-first",
    mayResend: true,
    advice: "Send again after the time in retry-after-ms",
  },
  "not-ready": {
    status: 503,
    outcome: "not-run-of-first",
    mayResend: true,
    advice: "Send again to another instance",
  },
  "resend-not-remembered": {
    status: 409,
    outcome: "unknown",
    mayResend: false,
    advice: "Look up whether the earlier send of this id took effect",
  },
  "already-ran": {
    status: 409,
    outcome: "ran",
    mayResend: false,
    advice: "Look up the result; the first answer to this id is not kept",
  },
  "target-refused": {
    status: 503,
    outcome: "not-run",
    mayResend: true,
    advice: "Send again after the time in retry-after-ms",
  },
  "target-unreachable": {
    status: 503,
    outcome: "not-run",
    mayResend: true,
    advice: "Send again after the time in retry-after-ms",
  },
  "target-silent": {
    status: 504,
    outcome: "unknown",
    mayResend: true,
    advice: "Send again with the same request id to learn what became of it",
  },
  "answer-cut": {
    status: 502,
    outcome: "unknown",
    mayResend: true,
    advice: "Look up whether the request took effect",
  },
  "answer-too-large": {
    status: 502,
    outcome: "unknown",
    mayResend: false,
    advice: "Ask the operator to raise the answer limit of the template",
  },
  "steward-lost": {
    status: 503,
    outcome: "either",
    mayResend: true,
    advice: "Send again with the same request id to learn what became of it",
  },
  "cancelled": {
    status: 499,
    outcome: "either",
    mayResend: true,
    advice: "The caller closed the connection",
  },
  "internal": {
    status: 500,
    outcome: "either",
    mayResend: true,
    advice: "Report the request id to the operators",
  },
};

/** An error on its way to a caller. */
export interface RequestError {
  readonly kind: ErrorKind;
  readonly outcome: Outcome;
  /** One sentence without a period, for people. */
  readonly message: string;
  /** Milliseconds after which a resend makes sense; absent when none does. */
  readonly retryAfterMs?: number;
}

/** Makes an error whose outcome the table fixes. */
export function makeRequestError(
  kind: ErrorKind,
  message: string,
  options: { readonly outcome?: Outcome; readonly retryAfterMs?: number } = {},
): RequestError {
  return {
    kind,
    outcome: chooseOutcome(kind, options.outcome),
    message,
    ...(options.retryAfterMs === undefined
      ? {}
      : { retryAfterMs: Math.ceil(options.retryAfterMs) }),
  };
}

/**
 * The same error for a resend, where nobody has looked whether an earlier send
 * of the same request id ran.
 *
 * Guards against a caller that is told `unknown`, sends again through another
 * entry, and is refused there before the steward's memory was asked: "not run"
 * would be true of the second send and false of the request.
 */
export function toResendError(error: RequestError): RequestError {
  const fixed = ERROR_ANSWERS[error.kind].outcome;
  return fixed === "not-run-of-first" || fixed === "either"
    ? { ...error, outcome: "unknown" }
    : error;
}

function chooseOutcome(kind: ErrorKind, stated: Outcome | undefined): Outcome {
  const { outcome } = ERROR_ANSWERS[kind];
  switch (outcome) {
    case "either":
      return stated ?? "unknown";
    case "not-run-of-first":
      return "not-run";
    case "ran":
    case "not-run":
    case "unknown":
      return outcome;
  }
}
