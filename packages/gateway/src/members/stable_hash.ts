/** Numbers drawn from names: the same at every instance and at every start. */
import { createHash, hash } from "node:crypto";

const SHORT_LENGTH = 8;

/** 48 bits of text; names that are alike are far apart. */
export function hashToShortText(text: string): string {
  return hash("sha256", text, "base64url").slice(0, SHORT_LENGTH);
}

/** From 0 to 2^32 - 1; names that are alike are far apart. */
export function hashToUint32(text: string): number {
  return createHash("sha256").update(text).digest().readUInt32BE(0);
}
