/**
 * Schemas of single fields. The error text of each schema describes the allowed
 * values, so that a fault can report both the allowed and the found value.
 */
import { z } from "zod";
import {
  formatDuration,
  formatSize,
  parseDuration,
  parseRate,
  parseSize,
} from "./units.ts";

interface Bounds {
  readonly min: number;
  readonly max: number;
}

/**
 * Names appear in metric labels, log lines and store keys, so they are limited
 * to characters that need no quoting in any of these.
 */
const NAME_PATTERN = /^[a-z][a-z0-9-]{0,62}$/;

/** No instance can serve a higher rate, so a higher value is a mistake. */
const MAX_RATE_PER_SECOND = 1_000_000;

export const NAME_ALLOWED =
  "a name of 1 to 63 characters a-z, 0-9 and -, starting with a letter";

export const nameSchema = z
  .string({ error: NAME_ALLOWED })
  .regex(NAME_PATTERN, { error: NAME_ALLOWED });

export const booleanSchema = z.boolean({ error: "true or false" });

/** Accepts a mapping that has no fields other than those of `shape`. */
export function createObjectSchema<Shape extends z.ZodRawShape>(shape: Shape) {
  const fields = Object.keys(shape).join(", ");
  return z.strictObject(shape, {
    error: (issue) =>
      issue.code === "unrecognized_keys"
        ? `one of the fields ${fields}`
        : `a mapping with the fields ${fields}`,
  });
}

export function createIntegerSchema({ min, max }: Bounds) {
  const error = `a whole number from ${min} to ${max}`;
  return z.int({ error }).min(min, { error }).max(max, { error });
}

export function createNumberSchema({ min, max }: Bounds) {
  const error = `a number from ${min} to ${max}`;
  return z.number({ error }).min(min, { error }).max(max, { error });
}

/** Accepts a duration with a unit; the output is in milliseconds. */
export function createDurationSchema(bounds: Bounds) {
  const range = `${formatDuration(bounds.min)} to ${
    formatDuration(bounds.max)
  }`;
  return createQuantitySchema(
    parseDuration,
    bounds,
    `a duration from ${range}, a whole number followed by ms, s, min or h`,
  );
}

/** Accepts a size with a unit; the output is in bytes. */
export function createSizeSchema(bounds: Bounds) {
  const range = `${formatSize(bounds.min)} to ${formatSize(bounds.max)}`;
  return createQuantitySchema(
    parseSize,
    bounds,
    `a size from ${range}, a whole number followed by B, KiB or MiB`,
  );
}

/** Accepts a rate, such as `200/s`; the output is in events per second. */
export function createRateSchema() {
  return createQuantitySchema(
    parseRate,
    { min: 1 / 3_600, max: MAX_RATE_PER_SECOND },
    `a rate from 1/h to ${MAX_RATE_PER_SECOND}/s, a whole number followed by /s, /min or /h`,
  );
}

function createQuantitySchema(
  parse: (text: string) => number | undefined,
  bounds: Bounds,
  allowed: string,
) {
  return z.unknown().transform((value, context): number => {
    const amount = typeof value === "string" ? parse(value) : undefined;
    if (amount === undefined || amount < bounds.min || amount > bounds.max) {
      context.addIssue({ code: "custom", message: allowed });
      return z.NEVER;
    }
    return amount;
  });
}
