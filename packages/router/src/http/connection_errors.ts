/**
 * Answers what never became a request: malformed heads, and heads that take
 * too long. The parser has given the connection up, so the answer is written
 * to the socket as it is.
 */
import {
  makeRequestError,
  type RequestError,
} from "@lentilspur/outcomes/error_kinds";
import { STATUS_CODES } from "node:http";
import type { Duplex } from "node:stream";
import { makeErrorAnswer } from "../entry/answers.ts";

interface ConnectionError extends Error {
  readonly code?: string;
}

export function answerConnectionError(
  error: ConnectionError,
  socket: Duplex,
): void {
  if (error.code === "ECONNRESET" || !socket.writable) {
    socket.destroy();
    return;
  }
  const answer = makeErrorAnswer(toRequestError(error));
  const head = [
    `HTTP/1.1 ${answer.status} ${STATUS_CODES[answer.status] ?? "Error"}`,
    ...answer.headers.map(({ name, value }) => `${name}: ${value}`),
    `content-length: ${answer.body.byteLength}`,
    "connection: close",
  ];
  socket.write(`${head.join("\r\n")}\r\n\r\n`);
  socket.end(answer.body);
}

function toRequestError(error: ConnectionError): RequestError {
  return error.code === "ERR_HTTP_REQUEST_TIMEOUT"
    ? makeRequestError(
      "request-too-slow",
      "The head of the request was not complete in time",
    )
    : makeRequestError(
      "malformed-request",
      `The request could not be parsed: ${error.message}`,
    );
}
