/** What a caller is told when its request did not get through to a steward. */
import {
  makeRequestError,
  type RequestError,
} from "@lentilspur/outcomes/error_kinds";
import type { PeerFailure } from "@lentilspur/ports/peer";
import type { KeyLocation } from "@lentilspur/state/view";

/** A take-over's steps take about this long. */
const CHANGE_RETRY_MS = 500;

export function makeUnownedError(
  location: KeyLocation | undefined,
): RequestError {
  const options = { retryAfterMs: CHANGE_RETRY_MS };
  return location?.target == null
    ? makeRequestError("no-owner", "No target owns the key yet", options)
    : makeRequestError(
      "owner-changing",
      "The target that owns the key has no steward yet",
      options,
    );
}

export function makeChangingError(): RequestError {
  return makeRequestError(
    "owner-changing",
    "The steward of the key's owner is changing",
    { retryAfterMs: CHANGE_RETRY_MS },
  );
}

export function makeLostError(
  steward: string,
  failure: PeerFailure,
): RequestError {
  return makeRequestError(
    "steward-lost",
    `Steward '${steward}' could not be asked: ${failure.message}`,
    {
      outcome: failure.kind === "not-sent" ? "not-run" : "unknown",
      retryAfterMs: CHANGE_RETRY_MS,
    },
  );
}

export function makeDeadlineError(): RequestError {
  return makeRequestError(
    "deadline-passed",
    "The deadline passed before a steward took the request",
    { outcome: "not-run" },
  );
}

export function makeCancelledError(lost: number): RequestError {
  return makeRequestError("cancelled", "The caller closed the connection", {
    outcome: lost > 0 ? "unknown" : "not-run",
  });
}
