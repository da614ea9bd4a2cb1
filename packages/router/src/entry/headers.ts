/** Which header fields the entry reads, and which it passes on. */
import type { HeaderField } from "@lentilspur/ports/target";

export const REQUEST_ID_HEADER = "lentilspur-request-id";
export const DEADLINE_HEADER = "lentilspur-deadline-ms";
export const OUTCOME_HEADER = "lentilspur-outcome";
export const RETRY_AFTER_HEADER = "retry-after-ms";

const OWN_PREFIX = "lentilspur-";

/**
 * Fields of one connection (RFC 9110, section 7.6.1), those that the body's
 * length decides anew, and the credential, which no target needs.
 */
const NOT_PASSED_ON: ReadonlySet<string> = new Set([
  "authorization",
  "connection",
  "content-length",
  "expect",
  "host",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** The first field of this name; names are in lower case. */
export function findHeader(
  headers: readonly HeaderField[],
  name: string,
): string | undefined {
  for (const field of headers) {
    if (field.name === name) {
      return field.value;
    }
  }
  return undefined;
}

/** The fields that belong to the request or answer itself. */
export function listPassedOn(
  headers: readonly HeaderField[],
): readonly HeaderField[] {
  return headers.filter(({ name }) =>
    !NOT_PASSED_ON.has(name) && !name.startsWith(OWN_PREFIX)
  );
}
