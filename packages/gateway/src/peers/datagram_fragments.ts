/**
 * Compresses values that are longer than a datagram, and splits them into
 * fragments. Ids and addresses repeat: ten moves of keys take 3 KB as JSON and
 * 1 KB compressed.
 */
import {
  decodeJson,
  isText,
  isWhole,
  toObject,
} from "@lentilspur/outcomes/json_boundary";
import { deflateRawSync, inflateRawSync } from "node:zlib";

/**
 * Maximum characters of a fragment's text; the rest of the message takes about
 * 150 bytes of the datagram.
 */
export const MAX_FRAGMENT_LENGTH = 1_100;
/**
 * With more fragments than this, the loss of at least one becomes too frequent.
 */
const MAX_FRAGMENTS = 12;
/**
 * Far above any value that fits compressed into the maximum number of
 * fragments.
 */
const MAX_INFLATED_BYTES = 256 * 1024;

/**
 * Compresses a value and splits it into fragments; undefined if it is too long.
 * With 150 targets the moves of a plan take three to six fragments. If 58
 * instances had to read the table instead, they would all do so at once,
 * several times a second. These reads would be nine tenths of 156 calls a
 * second.
 */
export function encodeValue(value: unknown): readonly Fragment[] | undefined {
  const text = deflateRawSync(JSON.stringify(value)).toString("base64");
  const texts: string[] = [];
  for (let start = 0; start < text.length; start += MAX_FRAGMENT_LENGTH) {
    texts.push(text.slice(start, start + MAX_FRAGMENT_LENGTH));
  }
  const pieces = texts.length;
  return pieces > MAX_FRAGMENTS
    ? undefined
    : texts.map((part, piece) => ({ text: part, piece, pieces }));
}

/**
 * Decodes the joined text of all fragments; undefined if `encodeValue` did not
 * produce it.
 */
export function decodeValue(text: string): unknown {
  try {
    const compressed = Buffer.from(text, "base64");
    const inflated = inflateRawSync(compressed, {
      maxOutputLength: MAX_INFLATED_BYTES,
    });
    const decoded = decodeJson(inflated.toString("utf8"), {
      maxLength: MAX_INFLATED_BYTES,
    });
    return decoded.ok ? decoded.val : undefined;
  } catch {
    // The text is truncated or was not encoded here; the caller obtains the
    // value in another way.
    return undefined;
  }
}

/** Fragment number `piece` of `pieces` of a value, counted from 0. */
export interface Fragment {
  readonly text: string;
  readonly piece: number;
  readonly pieces: number;
}

export function isFragment(value: unknown): value is Fragment {
  const { text, piece, pieces } = toObject(value);
  return isText(text, MAX_FRAGMENT_LENGTH) &&
    isWhole(pieces, { min: 1, max: MAX_FRAGMENTS }) &&
    isWhole(piece, { max: pieces - 1 });
}

interface PartialValue {
  /**
   * Version of the value; fragments of another version replace those of this
   * one.
   */
  readonly version: number;
  readonly texts: Map<number, string>;
}

/** Joins values from fragments that arrive in any order. */
export class FragmentAssembler {
  readonly #partialValues = new Map<string, PartialValue>();

  /**
   * Adds a fragment. Returns the whole text once all fragments of a version
   * have arrived; a lost fragment leaves the version incomplete.
   */
  add(
    name: string,
    version: number,
    { text, piece, pieces }: Fragment,
  ): string | undefined {
    if (pieces === 1) {
      return text;
    }
    const known = this.#partialValues.get(name);
    const partial = known?.version === version
      ? known
      : { version, texts: new Map<number, string>() };
    this.#partialValues.set(name, partial);
    partial.texts.set(piece, text);
    if (partial.texts.size < pieces) {
      return undefined;
    }
    this.#partialValues.delete(name);
    return [...partial.texts]
      .sort(([left], [right]) => left - right)
      .map(([, part]) => part)
      .join("");
  }
}
