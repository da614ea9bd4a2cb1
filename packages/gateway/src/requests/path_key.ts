/** The number by which a service's key that stands in a path is owned. */
import { hash } from "node:crypto";
import { LAST_KEY } from "@lentilspur/ports/key_orders";

const HEX_DIGITS = 8;

/**
 * The same at every instance. Spellings of one path segment give one number:
 * `case%2D9` and `case-9` name one key, which must not have two owners.
 */
export function hashPathKey(text: string): number {
  const digest = hash("sha256", decodeSegment(text), "hex");
  return parseInt(digest.slice(0, HEX_DIGITS), 16) % (LAST_KEY + 1);
}

function decodeSegment(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    // No valid escape, so it has no other spelling either.
    return text;
  }
}
