/** What the attempts of one request have in common: each has an id of its own. */
import { hash } from "node:crypto";
import type { CallerRequest } from "./caller_request.ts";

/** 96 bits, in base64url: no two of a year's requests share one by chance. */
const FINGERPRINT_LENGTH = 16;

/**
 * Equal for requests of the same caller with the same method, host, path, key
 * and body. Other headers do not count, since many differ with each attempt.
 */
export function computeFingerprint(request: CallerRequest): string {
  const { method, host, path, key, credential, body } = request;
  const head = JSON.stringify([method, host, path, key, credential]);
  const text = Buffer.concat([Buffer.from(head), body]);
  return hash("sha256", text, "base64url").slice(0, FINGERPRINT_LENGTH);
}
