/**
 * Values that are longer than a datagram, packed and in pieces. Ids and addresses
 * come again and again: ten moves of keys are 3 KB as they are and 1 KB packed.
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";

/** Characters; what surrounds them takes some 150 bytes of a datagram. */
export const MAX_FRAGMENT_LENGTH = 1_100;
/** Beyond this many, one of them is lost too often. */
const MAX_FRAGMENTS = 12;
/** Far above any value that fits packed into that many. */
const MAX_INFLATED_BYTES = 256 * 1024;

/**
 * Undefined where it is too long. With 150 targets a plan's moves take three to
 * six; told to read instead, 58 instances read the table at once, several times
 * a second: nine tenths of 156 calls a second.
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
    : texts.map((one, piece) => ({ text: one, piece, pieces }));
}

/** Undefined where the text is none that `encodeValue` gave. */
export function decodeValue(text: string): unknown {
  try {
    const packed = Buffer.from(text, "base64");
    const unpacked = inflateRawSync(packed, {
      maxOutputLength: MAX_INFLATED_BYTES,
    });
    return JSON.parse(unpacked.toString("utf8")) as unknown;
  } catch {
    // Cut or foreign bytes: the caller finds what it lacks in another way.
    return undefined;
  }
}

/** One of the pieces of a value. */
export interface Fragment {
  readonly text: string;
  readonly piece: number;
  readonly pieces: number;
}

interface PartialValue {
  /** Of the value: another one replaces it. */
  readonly version: number;
  readonly texts: Map<number, string>;
}

/** Puts values together from pieces that come in any order. */
export class FragmentAssembler {
  readonly #partialValues = new Map<string, PartialValue>();

  /** The whole text, once all of a version have come; one may be lost. */
  add(
    name: string,
    version: number,
    { text, piece, pieces }: Fragment,
  ): string | undefined {
    if (pieces === 1) {
      return text;
    }
    const known = this.#partialValues.get(name);
    const gathered = known?.version === version
      ? known
      : { version, texts: new Map<number, string>() };
    this.#partialValues.set(name, gathered);
    gathered.texts.set(piece, text);
    if (gathered.texts.size < pieces) {
      return undefined;
    }
    this.#partialValues.delete(name);
    return [...gathered.texts]
      .sort(([left], [right]) => left - right)
      .map(([, one]) => one)
      .join("");
  }
}
