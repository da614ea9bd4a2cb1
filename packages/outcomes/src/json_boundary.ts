/**
 * Decodes JSON that another program may have written: records of the store,
 * messages of peers and bodies of responses.
 *
 * A decoded value can be processed by any code: its size and nesting are
 * bounded, its numbers are finite, and copying it changes no prototype. What
 * its fields mean is checked by the decoder of the record, with the predicates
 * of this module. Error texts quote at most `MAX_QUOTED_LENGTH` characters of
 * the value.
 */
import { Err, Ok, type Result } from "./result.ts";

export interface JsonLimits {
  /** Maximum length of the text, in UTF-16 code units. */
  readonly maxLength: number;
}

/** The deepest record, a publication, has ten levels. */
export const MAX_NESTING = 32;
/** Characters of a refused value that an error text quotes. */
export const MAX_QUOTED_LENGTH = 100;
/** A key of a record, which names targets and instances, has at most 255 bytes. */
export const MAX_NAME_LENGTH = 255;
const LAST_PORT = 65_535;
const ENDPOINT = /^([\w.-]+):(\d{1,5})$/;

export function decodeJson(
  text: string,
  { maxLength }: JsonLimits,
): Result<unknown, string> {
  if (text.length > maxLength) {
    return Err(
      `is longer than ${maxLength} characters: it has ${text.length}`,
    );
  }
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    const message = error instanceof Error ? error.message : "";
    return Err(`is not valid JSON: ${message.slice(0, MAX_QUOTED_LENGTH)}`);
  }
  const fault = describeFault(value, MAX_NESTING);
  return fault === undefined ? Ok(value) : Err(fault);
}

/** Quotes a refused value in a text of bounded length. */
export function describeValue(value: unknown): string {
  if (typeof value === "string") {
    const quoted = JSON.stringify(value.slice(0, MAX_QUOTED_LENGTH));
    return value.length > MAX_QUOTED_LENGTH
      ? `${quoted}... of ${value.length} characters`
      : quoted;
  }
  if (value === undefined) {
    return "nothing";
  }
  if (Array.isArray(value)) {
    return `a list of ${value.length}`;
  }
  return isObject(value)
    ? "an object"
    : String(value).slice(0, MAX_QUOTED_LENGTH);
}

export function isObject(
  value: unknown,
): value is Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** The value if it is an object, otherwise an object without fields. */
export function toObject(value: unknown): Readonly<Record<string, unknown>> {
  return isObject(value) ? value : {};
}

export function isWhole(
  value: unknown,
  { min = 0, max }: { readonly min?: number; readonly max: number },
): value is number {
  return Number.isSafeInteger(value) && (value as number) >= min &&
    (value as number) <= max;
}

/** Whether the field is missing, or its value passes the check. */
export function isOptional<Value>(
  value: unknown,
  isValue: (value: unknown) => value is Value,
): value is Value | undefined {
  return value === undefined || isValue(value);
}

/** Whether the value is a number from 0 to `max`. */
export function isWithin(value: unknown, max: number): value is number {
  return typeof value === "number" && value >= 0 && value <= max;
}

export function isPort(value: unknown): value is number {
  return isWhole(value, { min: 1, max: LAST_PORT });
}

/** Whether the value is `host:port`. */
export function isEndpoint(value: unknown): value is string {
  const [, , port] = isName(value) ? ENDPOINT.exec(value) ?? [] : [];
  return isPort(Number(port));
}

/**
 * Whether the value is a name: a string that is neither empty nor too long. A
 * name may be a key of an object, so names that every object has are excluded.
 */
export function isName(value: unknown): value is string {
  return isText(value, MAX_NAME_LENGTH) && value !== "" &&
    !(value in Object.prototype);
}

export function isText(value: unknown, maxLength: number): value is string {
  return typeof value === "string" && value.length <= maxLength;
}

export function isBoolean(value: unknown): value is boolean {
  return typeof value === "boolean";
}

/** Whether the value is an object whose names and values pass the checks. */
export function isRecordOf<Item>(
  value: unknown,
  isItem: (item: unknown) => item is Item,
): value is Readonly<Record<string, Item>> {
  return isObject(value) &&
    Object.entries(value).every(([name, item]) => isName(name) && isItem(item));
}

export function isListOf<Item>(
  value: unknown,
  isItem: (item: unknown) => item is Item,
  maxLength: number,
): value is readonly Item[] {
  return Array.isArray(value) && value.length <= maxLength &&
    value.every(isItem);
}

/** The recursion ends at the nesting that is left. */
function describeFault(value: unknown, levelsLeft: number): string | undefined {
  if (typeof value === "number") {
    return Number.isFinite(value)
      ? undefined
      : "has a number that is too large";
  }
  if (typeof value !== "object" || value === null) {
    return undefined;
  }
  if (levelsLeft === 0) {
    return `is nested more than ${MAX_NESTING} levels deep`;
  }
  if (Object.hasOwn(value, "__proto__")) {
    return 'has a field "__proto__"';
  }
  for (const item of Array.isArray(value) ? value : Object.values(value)) {
    const fault = describeFault(item, levelsLeft - 1);
    if (fault !== undefined) {
      return fault;
    }
  }
  return undefined;
}
