/** Which stretch of an owner's keys carries about a wanted part of its load. */
import type { OwnedRange } from "./key_table.ts";
import type { CountedRate, KeyRateIndex } from "./key_rate_index.ts";

/** A stretch that carries less than this share of what is wanted is no help. */
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

/** A whole range, moved as it is: that makes no new ranges. */
export function toSubrange(
  rates: KeyRateIndex,
  { from, to }: OwnedRange,
): Subrange {
  return { from, to, perSecond: rates.computeSum(from, to) };
}

/** Whether a stretch carries most of what is wanted, and not more. */
export function isCloseToRate(stretch: Subrange, wanted: number): boolean {
  return stretch.perSecond >= MIN_RATE_SHARE * wanted &&
    stretch.perSecond <= wanted;
}

/** The narrowest stretch of a range that carries about `wanted`. */
export function findNarrowest(
  rates: KeyRateIndex,
  range: OwnedRange,
  wanted: number,
): Subrange | undefined {
  let best: Subrange | undefined;
  let sum = 0;
  let first = 0;
  const within = rates.list(range.from, range.to);
  for (const [last, rate] of within.entries()) {
    sum += rate.perSecond;
    while (sum > wanted && first < last) {
      sum -= within[first]!.perSecond;
      first++;
    }
    const stretch = {
      from: within[first]!.key,
      to: rate.key,
      perSecond: sum,
    };
    if (isCloseToRate(stretch, wanted) && isBetter(stretch, best)) {
      best = stretch;
    }
  }
  return best;
}

/**
 * The stretch at an end of a range that carries about `wanted`. What lasts is
 * moved from the ends: cut from within, a range becomes three, and each costs a
 * renewal several times in a hold. With stretches from within, 19 targets had
 * 130 ranges after 10 s, more than are allowed, and the slowest of them were
 * left with twice the work that they could do in time.
 */
export function findEdge(
  rates: KeyRateIndex,
  range: OwnedRange,
  wanted: number,
): Subrange | undefined {
  const within = rates.list(range.from, range.to);
  const first = takeUpTo(within, wanted);
  const last = takeUpTo([...within].reverse(), wanted);
  const edges = [
    { from: range.from, to: first.key, perSecond: first.perSecond },
    { from: last.key, to: range.to, perSecond: last.perSecond },
  ];
  return edges
    .filter(({ perSecond }) => perSecond >= MIN_RATE_SHARE * wanted)
    .filter((edge) => edge.from <= edge.to)
    .sort((left, right) => right.perSecond - left.perSecond)[0];
}

/** The last key up to which the rates add up to no more than `wanted`. */
function takeUpTo(
  rates: readonly CountedRate[],
  wanted: number,
): { readonly key: number; readonly perSecond: number } {
  let perSecond = 0;
  let key = NaN;
  for (const rate of rates) {
    if (perSecond + rate.perSecond > wanted) {
      break;
    }
    perSecond += rate.perSecond;
    key = rate.key;
  }
  return { key, perSecond };
}

/** More load a key first: the hottest part of the range. */
function isBetter(left: Subrange, right: Subrange | undefined): boolean {
  return right === undefined ||
    left.perSecond / (left.to - left.from + 1) >
      right.perSecond / (right.to - right.from + 1);
}
