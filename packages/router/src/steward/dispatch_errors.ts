/** What a caller is told when a steward could not get its answer. */
import {
  makeRequestError,
  type Outcome,
  type RequestError,
} from "@lentilspur/outcomes/error_kinds";
import type { DispatchFailure } from "@lentilspur/ports/target";
import type { PlaceDecision } from "./target_queue.ts";

/** Where a target named no time: about the length of a restart's first step. */
const UNREACHABLE_RETRY_MS = 250;

type Refusal = Extract<PlaceDecision, { readonly kind: "refused" }>;

export function makeRefusalError(refusal: Refusal): RequestError {
  const { retryAfterMs } = refusal;
  switch (refusal.reason) {
    case "queue-full":
      return makeRequestError(
        "queue-full",
        `The queue refused the request: ${refusal.limit}`,
        { retryAfterMs },
      );
    case "deadline-too-short":
      return makeRequestError(
        "deadline-too-short",
        `The request could not be answered within ${refusal.limit}`,
        { retryAfterMs },
      );
    case "account-over-share":
      return makeRequestError(
        "account-over-limit",
        `The request was over ${refusal.limit}`,
        { retryAfterMs },
      );
    case "deadline-passed":
      return makeRequestError(
        "deadline-passed",
        "The deadline passed while the request waited for the target",
        { outcome: "not-run", retryAfterMs },
      );
  }
}

export function makeDispatchError(
  failure: DispatchFailure,
  target: string,
): RequestError {
  switch (failure.kind) {
    case "not-run":
      return makeNotRunError(failure, target);
    case "unknown":
      return makeUnknownError(failure, target);
  }
}

function makeNotRunError(
  failure: Extract<DispatchFailure, { readonly kind: "not-run" }>,
  target: string,
): RequestError {
  const message = `Target '${target}' did not run it: ${failure.message}`;
  const retryAfterMs = failure.retryAfterMs ?? UNREACHABLE_RETRY_MS;
  switch (failure.cause) {
    case "unreachable":
      return makeRequestError("target-unreachable", message, { retryAfterMs });
    case "refused":
    case "fenced":
    case "shed":
    case "draining":
      return makeRequestError("target-refused", message, { retryAfterMs });
  }
}

function makeUnknownError(
  failure: Extract<DispatchFailure, { readonly kind: "unknown" }>,
  target: string,
): RequestError {
  const message = `Target '${target}' may have run it: ${failure.message}`;
  switch (failure.cause) {
    case "silent":
      return makeRequestError("target-silent", message);
    case "reset":
    case "cut":
      return makeRequestError("answer-cut", message);
    case "too-large":
      return makeRequestError("answer-too-large", message);
    case "cancelled":
      return makeCancelledError("unknown");
  }
}

export function makeCancelledError(outcome: Outcome): RequestError {
  return makeRequestError("cancelled", "The caller closed the connection", {
    outcome,
  });
}
