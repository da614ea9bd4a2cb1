/**
 * Computes a fingerprint that is the same for a caller's request and its
 * retries, which have different request ids.
 */
import { hash } from "node:crypto";
import type { Route } from "@lentilspur/ports/routing_table";
import type { CallerRequest } from "../entry/caller_request.ts";

/** 96 bits in base64url: no two requests of a year collide by chance. */
const FINGERPRINT_LENGTH = 16;

/**
 * Returns the same value for requests of one caller with the same method, path,
 * key and body. The host counts only if the route matches by host; otherwise it
 * may be the address of any instance. Other headers do not count, since many of
 * them differ with each retry.
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
