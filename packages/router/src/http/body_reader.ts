/**
 * Collects the body of one HTTP request within a size and a time.
 *
 * Guards against a sender that trickles or stops: it shows as a connection
 * that stays open with a request that never becomes whole. The time limit
 * covers the whole body, so bytes now and then do not extend it.
 */
import {
  makeRequestError,
  type RequestError,
} from "@lentilspur/outcomes/error_kinds";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { IncomingMessage } from "node:http";
import { type BodySource, makeBodyTooLargeError } from "../entry/caller.ts";

const EMPTY_BODY: Result<Uint8Array, RequestError> = Ok(new Uint8Array(0));

export class IncomingBody implements BodySource {
  readonly #message: IncomingMessage;
  readonly #timeoutMs: number;

  constructor(message: IncomingMessage, timeoutMs: number) {
    this.#message = message;
    this.#timeoutMs = timeoutMs;
  }

  read(maxBytes: number): Promise<Result<Uint8Array, RequestError>> {
    const { headers } = this.#message;
    const declared = headers["content-length"];
    if (declared === undefined && headers["transfer-encoding"] === undefined) {
      return Promise.resolve(EMPTY_BODY);
    }
    if (Number(declared ?? 0) > maxBytes) {
      return Promise.resolve(Err(makeBodyTooLargeError(maxBytes)));
    }
    return this.#collect(maxBytes);
  }

  #collect(maxBytes: number): Promise<Result<Uint8Array, RequestError>> {
    const message = this.#message;
    const chunks: Buffer[] = [];
    let size = 0;
    return new Promise((resolve) => {
      const settle = (result: Result<Uint8Array, RequestError>): void => {
        clearTimeout(timer);
        message.off("data", addChunk);
        message.off("end", handleEnd);
        message.off("close", handleClose);
        resolve(result);
      };
      const addChunk = (chunk: Buffer): void => {
        size += chunk.byteLength;
        chunks.push(chunk);
        if (size > maxBytes) {
          message.pause();
          settle(Err(makeBodyTooLargeError(maxBytes)));
        }
      };
      const handleEnd = (): void =>
        settle(Ok(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)));
      const handleClose = (): void => settle(Err(makeCutError()));
      const timer = setTimeout(() => {
        message.pause();
        settle(Err(makeSlowError(this.#timeoutMs)));
      }, this.#timeoutMs);
      message.on("data", addChunk);
      message.on("end", handleEnd);
      message.on("close", handleClose);
    });
  }
}

function makeSlowError(timeoutMs: number): RequestError {
  return makeRequestError(
    "request-too-slow",
    `The body was not complete within ${timeoutMs} ms`,
  );
}

function makeCutError(): RequestError {
  return makeRequestError(
    "cancelled",
    "The caller closed the connection before the body was complete",
    { outcome: "not-run" },
  );
}
