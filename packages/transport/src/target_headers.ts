/** Which headers go to a target with a request, and which come back. */
import type { DispatchRequest, HeaderField } from "@lentilspur/ports/target";

/** Headers that concern one connection only, or that the client writes. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
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
const OWN_PREFIX = "lentilspur-";

/** The caller's own headers, then what the target is told by the system. */
export function buildDispatchHeaders(
  request: DispatchRequest,
): readonly HeaderField[] {
  return [
    ...listEndToEndFields(request.headers),
    { name: "lentilspur-request-id", value: request.requestId },
    { name: "lentilspur-client-account", value: request.clientAccount },
    { name: "lentilspur-key", value: encodeURIComponent(request.key) },
    { name: "lentilspur-unit", value: encodeURIComponent(request.unit) },
    {
      name: "lentilspur-steward-token",
      value: String(request.stewardToken),
    },
    { name: "lentilspur-unit-token", value: String(request.unitToken) },
    {
      name: "lentilspur-deadline-ms",
      value: String(Math.max(0, Math.floor(request.remainingMs))),
    },
  ];
}

/** Leaves out what concerns one connection, and the system's own headers. */
export function listEndToEndFields(
  headers: readonly HeaderField[],
): readonly HeaderField[] {
  return headers.filter((field) => {
    const name = field.name.toLowerCase();
    return !CONNECTION_HEADERS.has(name) && !name.startsWith(OWN_PREFIX);
  });
}

export function findField(
  headers: readonly HeaderField[],
  name: string,
): string | undefined {
  return headers.find((field) => field.name.toLowerCase() === name)?.value;
}
