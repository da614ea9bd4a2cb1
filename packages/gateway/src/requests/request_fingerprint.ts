/** What the attempts of one request have in common: each has an id of its own. */
import { hash } from "node:crypto";
import type { Route } from "@lentilspur/ports/routing_table";
import type { CallerRequest } from "../entry/caller_request.ts";

/** 96 bits, in base64url: no two of a year's requests share one by chance. */
const FINGERPRINT_LENGTH = 16;

/**
 * Equal for requests of the same caller with the same method, path, key and
 * body, and the same host where that decides the route: otherwise it may be the
 * address of any instance. Other headers do not count, since many differ with
 * each attempt.
 */
export function computeFingerprint(
  request: CallerRequest,
  { match }: Pick<Route, "match">,
): string {
  const { method, path, key, credential, body } = request;
  const host = match.kind === "prefix" ? match.host : "";
  const head = JSON.stringify([method, host, path, key, credential]);
  const text = Buffer.concat([Buffer.from(head), body]);
  return hash("sha256", text, "base64url").slice(0, FINGERPRINT_LENGTH);
}
