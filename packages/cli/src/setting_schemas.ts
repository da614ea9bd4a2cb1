/** Schemas that parse settings from text. */
import { isIP } from "node:net";
import { z } from "zod";

interface Bounds {
  readonly min: number;
  readonly max: number;
}

const LABEL_PATTERN = /^[A-Za-z][A-Za-z0-9-]{0,31}$/;

/** Names of data centres and instances, which appear in ids and metrics. */
export const labelSchema = createTextSchema(
  (text) => LABEL_PATTERN.test(text) ? text : undefined,
  "1 to 32 letters, digits and -, beginning with a letter",
);

/** Processes connect by IP address; host names would need a resolver. */
export const hostSchema = createTextSchema(
  (text) => isIP(text) === 0 ? undefined : text,
  "an IP address such as 10.0.3.7",
);

export const portSchema = createCountSchema({ min: 0, max: 65_535 });

/** Address and port on which a process listens. */
export const addressSchema = createTextSchema(
  (text) => isAddress(text) ? text : undefined,
  "an IP address and a port such as 10.0.0.5:7000",
);

export function createCountSchema({ min, max }: Bounds) {
  return createTextSchema((text) => {
    const count = /^[0-9]{1,9}$/.test(text) ? Number(text) : NaN;
    return count >= min && count <= max ? count : undefined;
  }, `a whole number from ${min} to ${max}`);
}

export function createRatioSchema({ min, max }: Bounds) {
  return createTextSchema((text) => {
    const ratio = /^[0-9]+(\.[0-9]+)?$/.test(text) ? Number(text) : NaN;
    return ratio >= min && ratio <= max ? ratio : undefined;
  }, `a number from ${min} to ${max}`);
}

function createTextSchema<Value>(
  parse: (text: string) => Value | undefined,
  allowed: string,
) {
  return z.string().transform((text, context): Value => {
    const value = parse(text);
    if (value === undefined) {
      context.addIssue({ code: "custom", message: allowed });
      return z.NEVER;
    }
    return value;
  });
}

function isAddress(text: string): boolean {
  const [, host = "", port = ""] = /^(.+):([0-9]{1,5})$/.exec(text) ?? [];
  return isIP(host) !== 0 && Number(port) >= 1 && Number(port) <= 65_535;
}
