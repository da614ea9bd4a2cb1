/**
 * Selects a subrange of an owner's keys that carries about a wanted part of its
 * load.
 */
import type { OwnedRange } from "./key_table.ts";
import type { CountedRate, KeyRateIndex } from "./key_rate_index.ts";

/**
 * A subrange with less than this share of the wanted rate is not worth moving.
 */
const MIN_RATE_SHARE = 0.4;
export interface Subrange {
  readonly from: number;
  readonly to: number;
  readonly perSecond: number;
}

export function isNarrower(
  left: Subrange,
  right: Subrange | undefined,
): boolean {
  return right === undefined || left.to - left.from < right.to - right.from;
}

/** A whole range. Moving it as it is creates no new ranges. */
export function toSubrange(
  rates: KeyRateIndex,
  { from, to }: OwnedRange,
): Subrange {
  return { from, to, perSecond: rates.computeSum(from, to) };
}

/**
 * Whether a subrange carries enough of the wanted rate, and not more than it.
 */
export function isCloseToRate(subrange: Subrange, wantedRate: number): boolean {
  return subrange.perSecond >= MIN_RATE_SHARE * wantedRate &&
    subrange.perSecond <= wantedRate;
}

/**
 * The subrange with the highest rate per key among those that carry about
 * `wantedRate`.
 */
export function findDensest(
  rates: KeyRateIndex,
  range: OwnedRange,
  wantedRate: number,
): Subrange | undefined {
  let best: Subrange | undefined;
  let sum = 0;
  let first = 0;
  const rangeRates = rates.list(range.from, range.to);
  for (const [last, rate] of rangeRates.entries()) {
    sum += rate.perSecond;
    while (sum > wantedRate && first < last) {
      sum -= rangeRates[first]!.perSecond;
      first++;
    }
    const subrange = {
      from: rangeRates[first]!.key,
      to: rate.key,
      perSecond: sum,
    };
    if (isCloseToRate(subrange, wantedRate) && isDenser(subrange, best)) {
      best = subrange;
    }
  }
  return best;
}

/**
 * The subrange at one end of a range that carries about `wantedRate`. Lasting
 * imbalances are reduced by moves from the ends: a cut from within splits a
 * range into three, each of which costs a renewal several times per hold. With
 * cuts from within, 19 targets had 130 ranges after 10 s, and the slowest
 * targets were left with twice the load that they could serve in time.
 */
export function findEdge(
  rates: KeyRateIndex,
  range: OwnedRange,
  wantedRate: number,
): Subrange | undefined {
  const rangeRates = rates.list(range.from, range.to);
  const first = takeUpTo(rangeRates, wantedRate);
  const last = takeUpTo([...rangeRates].reverse(), wantedRate);
  const edges = [
    { from: range.from, to: first.key, perSecond: first.perSecond },
    { from: last.key, to: range.to, perSecond: last.perSecond },
  ];
  return edges
    .filter(({ perSecond }) => perSecond >= MIN_RATE_SHARE * wantedRate)
    .filter((edge) => edge.from <= edge.to)
    .sort((left, right) => right.perSecond - left.perSecond)[0];
}

/** The last key up to which the rates add up to no more than `wantedRate`. */
function takeUpTo(
  rates: readonly CountedRate[],
  wantedRate: number,
): { readonly key: number; readonly perSecond: number } {
  let perSecond = 0;
  let key = NaN;
  for (const rate of rates) {
    if (perSecond + rate.perSecond > wantedRate) {
      break;
    }
    perSecond += rate.perSecond;
    key = rate.key;
  }
  return { key, perSecond };
}

/** Whether the left subrange has the higher rate per key. */
function isDenser(left: Subrange, right: Subrange | undefined): boolean {
  return right === undefined ||
    left.perSecond / (left.to - left.from + 1) >
      right.perSecond / (right.to - right.from + 1);
}
