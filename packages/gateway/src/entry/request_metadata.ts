/**
 * The headers of the project's own interface. A caller shows the credential of
 * its client account, may say how long it waits, and is told the request's id.
 */
import type { HeaderField } from "@lentilspur/ports/header_field";
import type { RequestMetadata } from "./caller_request.ts";

const REQUEST_ID = "lentilspur-request-id";
const DEADLINE = "lentilspur-deadline-ms";
const CREDENTIAL = "authorization";

/**
 * Each attempt gets an id of its own. A caller that brings one is refused: it
 * may be asking for a second attempt to count as the first, which a router that
 * keeps nothing of ended requests cannot do for work that may run once only.
 */
export function parseRequestMetadata(
  headers: readonly HeaderField[],
  mintId: () => string,
): RequestMetadata {
  const find = (wanted: string): string | undefined =>
    headers.find(({ name }) => name === wanted)?.value;
  return {
    requestId: find(REQUEST_ID) === undefined ? mintId() : undefined,
    deadlineMs: parseDeadline(find(DEADLINE)),
    key: undefined,
    credential: find(CREDENTIAL),
  };
}

/** What is no number of milliseconds leaves the template's default. */
function parseDeadline(text: string | undefined): number | undefined {
  return text !== undefined && /^[0-9]{1,9}$/.test(text)
    ? Number(text)
    : undefined;
}
