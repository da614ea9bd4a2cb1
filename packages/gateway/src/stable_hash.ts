/** Numbers drawn from names: the same at every instance and at every start. */
import { createHash } from "node:crypto";

/** From 0 to 2^32 - 1; names that are alike are far apart. */
export function hashText(text: string): number {
  return createHash("sha256").update(text).digest().readUInt32BE(0);
}
