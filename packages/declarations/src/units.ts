/**
 * Parses and formats quantities: a whole number followed by a unit, such as
 * `1500ms`, `64KiB` or `200/s`. A number without a unit is rejected, because
 * `timeout: 5` does not say whether seconds or milliseconds are meant.
 */

interface Unit {
  readonly name: string;
  /** Size of the unit, in base units (ms, bytes or seconds). */
  readonly factor: number;
}

/** Largest first, so that formatting finds the shortest representation. */
const DURATION_UNITS: readonly Unit[] = [
  { name: "h", factor: 3_600_000 },
  { name: "min", factor: 60_000 },
  { name: "s", factor: 1_000 },
  { name: "ms", factor: 1 },
];

const SIZE_UNITS: readonly Unit[] = [
  { name: "MiB", factor: 1_048_576 },
  { name: "KiB", factor: 1_024 },
  { name: "B", factor: 1 },
];

/** Rate periods in seconds. Smallest first, as `200/s` is the usual form. */
const RATE_PERIODS: readonly Unit[] = [
  { name: "s", factor: 1 },
  { name: "min", factor: 60 },
  { name: "h", factor: 3_600 },
];

/** At most 9 digits, so that every product is a safe integer. */
const QUANTITY_PATTERN = /^([0-9]{1,9})(\/?)([A-Za-z]+)$/;

/** Returns milliseconds, or `undefined` if `text` is not a duration. */
export function parseDuration(text: string): number | undefined {
  return parseQuantity(text, DURATION_UNITS);
}

export function formatDuration(ms: number): string {
  return formatQuantity(ms, DURATION_UNITS);
}

/** Returns bytes, or `undefined` if `text` is not a size. */
export function parseSize(text: string): number | undefined {
  return parseQuantity(text, SIZE_UNITS);
}

export function formatSize(bytes: number): string {
  return formatQuantity(bytes, SIZE_UNITS);
}

/** Returns events per second, or `undefined` if `text` is not a rate. */
export function parseRate(text: string): number | undefined {
  const match = QUANTITY_PATTERN.exec(text);
  if (match === null || match[2] !== "/") {
    return undefined;
  }
  const period = RATE_PERIODS.find((unit) => unit.name === match[3]);
  return period === undefined ? undefined : Number(match[1]) / period.factor;
}

/** Uses the shortest period in which the rate is a whole number. */
export function formatRate(perSecond: number): string {
  for (const { name, factor } of RATE_PERIODS) {
    const count = Math.round(perSecond * factor);
    if (count / factor === perSecond) {
      return `${count}/${name}`;
    }
  }
  return `${perSecond}/s`;
}

function parseQuantity(
  text: string,
  units: readonly Unit[],
): number | undefined {
  const match = QUANTITY_PATTERN.exec(text);
  if (match === null || match[2] !== "") {
    return undefined;
  }
  const unit = units.find(({ name }) => name === match[3]);
  return unit === undefined ? undefined : Number(match[1]) * unit.factor;
}

function formatQuantity(amount: number, units: readonly Unit[]): string {
  const unit = units.find(({ factor }) => amount % factor === 0);
  if (unit === undefined || amount === 0) {
    const smallest = units.at(-1)?.name ?? "";
    return `${amount}${smallest}`;
  }
  return `${amount / unit.factor}${unit.name}`;
}
