/** What a caller gets: the target's whole answer, or an error that states its outcome. */
import {
  ERROR_ANSWERS,
  type RequestError,
} from "@lentilspur/outcomes/error_kinds";
import type { HeaderField, TargetAnswer } from "@lentilspur/ports/target";
import type { CallerAnswer } from "./caller.ts";
import {
  listPassedOn,
  OUTCOME_HEADER,
  REQUEST_ID_HEADER,
  RETRY_AFTER_HEADER,
} from "./headers.ts";

export function makeTargetAnswer(
  answer: TargetAnswer,
  requestId: string,
): CallerAnswer {
  return {
    status: answer.status,
    headers: [
      ...listPassedOn(answer.headers),
      { name: OUTCOME_HEADER, value: "ran" },
      { name: REQUEST_ID_HEADER, value: requestId },
    ],
    body: answer.body,
  };
}

/** `requestId` is absent where the request was refused before it had one. */
export function makeErrorAnswer(
  error: RequestError,
  requestId?: string,
): CallerAnswer {
  const { status, mayResend, advice } = ERROR_ANSWERS[error.kind];
  const body = JSON.stringify({
    error: { ...error, mayResend, advice, requestId },
  });
  const headers: HeaderField[] = [
    { name: "content-type", value: "application/json" },
    { name: OUTCOME_HEADER, value: error.outcome },
  ];
  if (requestId !== undefined) {
    headers.push({ name: REQUEST_ID_HEADER, value: requestId });
  }
  if (error.retryAfterMs !== undefined) {
    const value = String(error.retryAfterMs);
    headers.push({ name: RETRY_AFTER_HEADER, value });
  }
  return { status, headers, body: Buffer.from(body) };
}
