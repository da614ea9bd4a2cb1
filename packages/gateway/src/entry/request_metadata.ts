/**
 * Reads the request headers of lentilspur's own interface: the credential of
 * the client account, and optionally how long the caller waits. The caller
 * receives the id of its request in return.
 */
import type { HeaderField } from "@lentilspur/ports/header_field";
import type { RequestMetadata } from "./caller_request.ts";

const REQUEST_ID_HEADER = "lentilspur-request-id";
const DEADLINE_HEADER = "lentilspur-deadline-ms";
const CREDENTIAL_HEADER = "authorization";

/**
 * Gives each request a new id. Returns no id for a request that brings one; the
 * server then refuses it as malformed. Its caller may expect that a retry under
 * the same id counts as the first request, which a router without a record of
 * past requests cannot ensure for work that may run only once.
 */
export function parseRequestMetadata(
  headers: readonly HeaderField[],
  mintId: () => string,
): RequestMetadata {
  const findHeader = (wanted: string): string | undefined =>
    headers.find(({ name }) => name === wanted)?.value;
  return {
    requestId: findHeader(REQUEST_ID_HEADER) === undefined
      ? mintId()
      : undefined,
    deadlineMs: parseDeadline(findHeader(DEADLINE_HEADER)),
    key: undefined,
    credential: findHeader(CREDENTIAL_HEADER),
  };
}

/**
 * Returns undefined for an invalid deadline, so that the route's default
 * applies.
 */
function parseDeadline(text: string | undefined): number | undefined {
  return text !== undefined && /^[0-9]{1,9}$/.test(text)
    ? Number(text)
    : undefined;
}
