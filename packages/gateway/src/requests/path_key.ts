/** Hashes a key in a request's path to the number by which targets own it. */
import { hash } from "node:crypto";
import { LAST_KEY } from "@lentilspur/ports/key_orders";

const HEX_DIGITS = 8;

/**
 * Returns the same number on every instance, and for every spelling of a path
 * segment: `case%2D9` and `case-9` name one key, which must not have two
 * owners.
 */
export function hashPathKey(text: string): number {
  const digest = hash("sha256", decodeSegment(text), "hex");
  return parseInt(digest.slice(0, HEX_DIGITS), 16) % (LAST_KEY + 1);
}

function decodeSegment(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    // A segment with an invalid escape sequence has no other spelling.
    return text;
  }
}
