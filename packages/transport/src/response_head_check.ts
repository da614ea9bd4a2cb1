/**
 * Checks the head of a response for what the HTTP parser accepts although it is
 * no valid response to this client (RFC 9110 and 9112).
 */
import type { ResponseHead } from "./http_exchange.ts";

/**
 * The reason phrase may be missing, also with the blank before it, and may have
 * no control bytes.
 */
const STATUS_LINE = /^HTTP\/1\.[01] \d{3}( [\t\x20-\x7e\x80-\xff]*)?$/;
/** The version that has no transfer codings. */
const HTTP_1_0 = "HTTP/1.0 ";
const FIRST_INTERIM_STATUS = 100;
const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;
/** An upgrade, which this client never asks for, and not an interim response. */
const SWITCHING_PROTOCOLS = 101;
const MAX_QUOTED_LENGTH = 64;

/** Whether another response to the same request follows. */
export function isInterim(status: number): boolean {
  return status >= FIRST_INTERIM_STATUS && status < FIRST_FINAL_STATUS &&
    status !== SWITCHING_PROTOCOLS;
}

/** Describes the fault of a status line; undefined if it has none. */
export function findStatusLineFault(statusLine: string): string | undefined {
  return STATUS_LINE.test(statusLine)
    ? undefined
    : `The response has the status line ${formatQuoted(statusLine)}`;
}

/** Describes the fault of a final head; undefined if it has none. */
export function findHeadFault(
  statusLine: string,
  head: ResponseHead,
): string | undefined {
  return findStatusFault(head) ?? findCodingFault(statusLine, head);
}

function findStatusFault({ status }: ResponseHead): string | undefined {
  return status >= FIRST_FINAL_STATUS && status <= LAST_STATUS
    ? undefined
    : `The response has the status ${String(status).padStart(3, "0")}`;
}

/**
 * This client announces no transfer coding, so `chunked` is the only one that a
 * target may use. The parser recognizes it only in this form, and reads any
 * other response up to the end of the connection, or without decoding it.
 */
function findCodingFault(
  statusLine: string,
  { headers }: ResponseHead,
): string | undefined {
  const codings = headers
    .filter(({ name }) => name === "transfer-encoding")
    .map(({ value }) => value);
  const isChunked = codings.length === 1 && /^chunked *$/i.test(codings[0]!);
  const isAllowed = isChunked && !statusLine.startsWith(HTTP_1_0);
  return codings.length === 0 || isAllowed
    ? undefined
    : `The response has the transfer coding ${formatQuoted(codings.join())}`;
}

function formatQuoted(text: string): string {
  return JSON.stringify(text.slice(0, MAX_QUOTED_LENGTH));
}
