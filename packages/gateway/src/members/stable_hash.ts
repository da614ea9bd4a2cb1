/**
 * Hashes names to values that are the same at every instance and every start.
 */
import { createHash, hash } from "node:crypto";

const SHORT_LENGTH = 8;

/** Returns 48 bits as text; similar names get unrelated values. */
export function hashToShortText(text: string): string {
  return hash("sha256", text, "base64url").slice(0, SHORT_LENGTH);
}

/** Returns 0 to 2^32 - 1; similar names get unrelated values. */
export function hashToUint32(text: string): number {
  return createHash("sha256").update(text).digest().readUInt32BE(0);
}
