/**
 * Which keys should change owners, from where the owners are and how busy each
 * key is.
 *
 * Load pattern: a hot spell asks for several times what a target can do within
 * one target's range. Keys that move
 * cost their share of all keys, and a hot spell is narrow: so the narrowest
 * stretch that carries the excess is moved, and what earns little stays.
 */
import { hasOverlap } from "@lentilspur/ports/key_orders";
import type { KeyRate } from "./key_load.ts";
import {
  createTable,
  isSameEndpoint,
  type KeyTable,
  type OwnedRange,
  type Reassignment,
} from "./key_table.ts";
import { planMerges } from "./merge_plan.ts";
import { planOrphans } from "./orphan_plan.ts";
import {
  chooseLeastUtilized,
  computeAverageUtilization,
  computeCapacity,
  createOwnerLoads,
  createRateIndexes,
  type KeyRateIndexes,
  moveKeys,
  type OwnerCandidate,
  type OwnerLoad,
} from "./owner_load.ts";
import type { CountedRate, KeyRateIndex } from "./key_rate_index.ts";
import {
  findEdge,
  findNarrowest,
  isCloseToRate,
  isNarrower,
  type Subrange,
  toSubrange,
} from "./subrange_selection.ts";

/** Of a target with one place, the share that is to be free on average. */
const SINGLE_PLACE_HEADROOM = 0.57;
/** And only if it is this much busier than the average. */
const MIN_EXCESS = 1.15;
/** A key that asks for less than this share of its owner is only busy. */
const HOT_SHARE = 0.8;
/** Below this many times the owner's speed a move gains less than it breaks off. */
const MIN_GAIN = 1.3;
/** A range that carries less than this share of its owner's rate is no relief. */
const MIN_RELIEF = 0.03;
/** Moves in one plan, where there are few targets; one for each of many. */
const MIN_MOVES = 12;
/**
 * Each range costs a renewal a second. Beyond this many a target, what lasts is
 * evened out by whole ranges, and idle ranges are merged with their neighbours.
 */
const MAX_RANGES_PER_TARGET = 10;
/** Of all targets together: one keeper renews them all. */
const MAX_RANGES = 400;

export interface PlanOptions {
  /** Whether owners that have too much are relieved as well. */
  readonly rebalance: boolean;
}

/** Keys whose owner is gone or leaving, and keys of owners that have too much. */
export function planReassignments(
  table: KeyTable,
  candidates: readonly OwnerCandidate[],
  rates: readonly KeyRate[],
  { rebalance: balances }: PlanOptions = { rebalance: true },
): readonly Reassignment[] {
  if (candidates.length === 0) {
    return [];
  }
  if (balances && rates.length === 0 && hasNewTarget(table, candidates)) {
    return planEvenDistribution(table, candidates);
  }
  const lines = createRateIndexes(rates);
  const standings = createOwnerLoads(table, candidates, lines);
  const isCrowded = table.ranges.length >
    Math.min(MAX_RANGES, MAX_RANGES_PER_TARGET * candidates.length);
  const orphans = planOrphans(table, standings, lines.longTerm);
  if (!balances) {
    return orphans;
  }
  const moves = planBalance(standings, lines, isCrowded);
  const merges = isCrowded ? planMerges(table, standings, lines) : [];
  return [...orphans, ...moves, ...merges];
}

function hasNewTarget(
  table: KeyTable,
  candidates: readonly OwnerCandidate[],
): boolean {
  return candidates.some((candidate) =>
    !table.ranges.some(({ owner }) => isSameEndpoint(owner, candidate))
  );
}

/**
 * Before anything is asked for, a move breaks nothing off, and which keys will
 * be busy is not known: all are dealt out anew. Load pattern: targets register
 * over a second or two, and callers come some seconds later. A target that has
 * registered first would own all keys when they come, and for 4 to 18 s more
 * than half of the requests for keys would be refused.
 */
function planEvenDistribution(
  table: KeyTable,
  candidates: readonly OwnerCandidate[],
): readonly Reassignment[] {
  return createTable(candidates, 0).ranges
    .filter((dealt) =>
      table.ranges.some((range) =>
        hasOverlap(range, dealt) && !isSameEndpoint(range.owner, dealt.owner)
      )
    )
    .map(({ from, to, owner }) => ({ from, to, owner }));
}

function planBalance(
  standings: ReadonlyMap<string, OwnerLoad>,
  lines: KeyRateIndexes,
  isCrowded: boolean,
): readonly Reassignment[] {
  const changes: Reassignment[] = [];
  const maxMoves = Math.max(MIN_MOVES, standings.size);
  while (changes.length < maxMoves) {
    const change = planOneMove(standings, lines, isCrowded);
    if (change === undefined) {
      break;
    }
    changes.push(change);
  }
  return changes;
}

function planOneMove(
  standings: ReadonlyMap<string, OwnerLoad>,
  lines: KeyRateIndexes,
  isCrowded: boolean,
): Reassignment | undefined {
  const average = computeAverageUtilization(standings);
  const givers = [...standings.values()]
    .filter((one) => isOverloaded(one, average))
    .sort((left, right) => right.utilization - left.utilization);
  // One that nothing can be taken from must not keep the others from relief.
  for (const giver of givers) {
    const options = { giver, standings, lines, average, isCrowded };
    const change = planHotKey(options) ?? planRelief(options);
    if (change !== undefined) {
      return change;
    }
  }
  return planForNewTarget(standings, lines.longTerm, average);
}

interface ReliefOptions {
  readonly giver: OwnerLoad;
  readonly standings: ReadonlyMap<string, OwnerLoad>;
  readonly lines: KeyRateIndexes;
  /** Share of all places that is busy. */
  readonly average: number;
  readonly isCrowded: boolean;
}

/**
 * A key that alone asks for more than its owner can do goes to a target that
 * can do clearly more. Load pattern: two fifths of all lookups are about one
 * key for 5 s; an owner of 0.6 of the usual speed answers 10 a second of them,
 * one of 1.4 answers 23, and the rest are refused. What else the faster target
 * owns leaves it by the moves that follow, since it then has too much.
 */
function planHotKey(
  { giver, standings, lines }: ReliefOptions,
): Reassignment | undefined {
  const rates = chooseRates(giver, lines);
  const hot = findHottest(giver, rates);
  if (
    hot === undefined ||
    hot.perSecond < HOT_SHARE * computeCapacity(giver.candidate)
  ) {
    return undefined;
  }
  const receiver = chooseFastest(standings, rates);
  if (
    receiver === undefined ||
    computeCapacity(receiver.candidate) <
      MIN_GAIN * computeCapacity(giver.candidate)
  ) {
    return undefined;
  }
  const { key, perSecond } = hot;
  return moveKeys({ giver, receiver, keys: { from: key, to: key, perSecond } });
}

/** The fastest target that no hot key keeps busy already. */
function chooseFastest(
  standings: ReadonlyMap<string, OwnerLoad>,
  rates: KeyRateIndex,
): OwnerLoad | undefined {
  return [...standings.values()]
    .filter((one) => {
      const perSecond = findHottest(one, rates)?.perSecond ?? 0;
      return perSecond < HOT_SHARE * computeCapacity(one.candidate);
    })
    .sort((left, right) =>
      computeCapacity(right.candidate) - computeCapacity(left.candidate)
    )[0];
}

/** The key that an owner is asked for most; none of a range on its way. */
function findHottest(
  standing: OwnerLoad,
  rates: KeyRateIndex,
): CountedRate | undefined {
  let hottest: CountedRate | undefined;
  for (const { from, to } of listSettled(standing)) {
    for (const rate of rates.list(from, to)) {
      if (rate.perSecond > (hottest?.perSecond ?? 0)) {
        hottest = rate;
      }
    }
  }
  return hottest;
}

function planRelief(
  { giver, standings, lines, average, isCrowded }: ReliefOptions,
): Reassignment | undefined {
  const receiver = chooseLeastUtilized(standings);
  if (giver === receiver) {
    return undefined;
  }
  const excess = giver.utilization -
    Math.max(average, computeMaxUtilization(giver.candidate));
  const room = Math.max(average, computeMaxUtilization(receiver.candidate)) -
    receiver.utilization;
  const wanted = Math.min(
    excess * computeCapacity(giver.candidate),
    room * computeCapacity(receiver.candidate),
  );
  const rates = chooseRates(giver, lines);
  return moveSubrange({
    source: giver,
    destination: receiver,
    wantedRate: wanted,
    rates,
    hasTooManyRanges: isCrowded,
  });
}

/** A target that has joined and owns nothing gets half of the average at once. */
function planForNewTarget(
  standings: ReadonlyMap<string, OwnerLoad>,
  rates: KeyRateIndex,
  average: number,
): Reassignment | undefined {
  const receiver = [...standings.values()]
    .find((one) => one.ranges.length === 0);
  const giver = [...standings.values()]
    .filter((one) => one.ranges.length > 0)
    .sort((left, right) => right.utilization - left.utilization)[0];
  if (receiver === undefined || giver === undefined) {
    return undefined;
  }
  const wanted = Math.min(giver.utilization / 2, average / 2) *
    computeCapacity(giver.candidate);
  return moveSubrange({
    source: giver,
    destination: receiver,
    wantedRate: wanted,
    rates,
    hasTooManyRanges: false,
  });
}

interface SubrangeOptions {
  readonly source: OwnerLoad;
  readonly destination: OwnerLoad;
  /** Requests a second. */
  readonly wantedRate: number;
  readonly rates: KeyRateIndex;
  readonly hasTooManyRanges: boolean;
}

function moveSubrange(options: SubrangeOptions): Reassignment | undefined {
  const { source: giver, destination: receiver } = options;
  const keys = findNarrow(options) ?? findLargest(options);
  return keys === undefined ? undefined : moveKeys({ giver, receiver, keys });
}

/** The narrowest stretch or whole range that carries most of what is wanted. */
function findNarrow(
  { source: giver, wantedRate: wanted, rates, hasTooManyRanges: isCrowded }:
    SubrangeOptions,
): Subrange | undefined {
  let best: Subrange | undefined;
  for (const range of listSettled(giver)) {
    const whole = toSubrange(rates, range);
    const stretch = isCloseToRate(whole, wanted)
      ? whole
      : giver.isHotspot
      ? findNarrowest(rates, range, wanted)
      : isCrowded
      ? undefined
      : findEdge(rates, range, wanted);
    if (stretch !== undefined && isNarrower(stretch, best)) {
      best = stretch;
    }
  }
  return best;
}

/**
 * Where no single stretch carries that much: the whole range that carries most.
 * An owner of many narrow ranges is relieved of several of them.
 */
function findLargest(
  { source: giver, wantedRate: wanted, rates }: SubrangeOptions,
): Subrange | undefined {
  const least = MIN_RELIEF * computeCapacity(giver.candidate);
  return listSettled(giver)
    .map((range) => toSubrange(rates, range))
    .filter(({ perSecond }) => perSecond >= least && perSecond <= wanted)
    .sort((left, right) => right.perSecond - left.perSecond)[0];
}

/** The count by which an owner is busy. */
function chooseRates(
  { isHotspot: isSpell }: OwnerLoad,
  lines: KeyRateIndexes,
): KeyRateIndex {
  return isSpell ? lines.recent : lines.longTerm;
}

/** Ranges that are not on their way. */
function listSettled({ ranges }: OwnerLoad): readonly OwnedRange[] {
  return ranges.filter(({ former }) => former.length === 0);
}

function isOverloaded(standing: OwnerLoad, average: number): boolean {
  return standing.utilizationLowerBound >
      computeMaxUtilization(standing.candidate) &&
    standing.utilizationLowerBound > MIN_EXCESS * average;
}

/**
 * The share of its places that a target may keep busy: beyond it the wait for a
 * place grows faster than the work put on it. With more places it comes later.
 */
function computeMaxUtilization({ places }: OwnerCandidate): number {
  return 1 - SINGLE_PLACE_HEADROOM / Math.sqrt(Math.max(1, places));
}
