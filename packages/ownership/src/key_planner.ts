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
  isSamePlace,
  type KeyTable,
  type OwnedRange,
  type Reassignment,
} from "./key_table.ts";
import { planMerges } from "./merge_plan.ts";
import { planOrphans } from "./orphan_plan.ts";
import {
  chooseIdlest,
  computeAverageBusy,
  computeRate,
  createLines,
  createStandings,
  moveKeys,
  type OwnerCandidate,
  type RateLines,
  type Standing,
} from "./owner_standing.ts";
import type { CountedRate, RateLine } from "./rate_line.ts";
import {
  findEdge,
  findNarrowest,
  isNarrower,
  isUseful,
  type Stretch,
  toWholeStretch,
} from "./stretch_choice.ts";

/** Of a target with one place, the share that is to be free on average. */
const CALM_MARGIN = 0.57;
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
  readonly balances: boolean;
}

/** Keys whose owner is gone or leaving, and keys of owners that have too much. */
export function planReassignments(
  table: KeyTable,
  candidates: readonly OwnerCandidate[],
  rates: readonly KeyRate[],
  { balances }: PlanOptions = { balances: true },
): readonly Reassignment[] {
  if (candidates.length === 0) {
    return [];
  }
  if (balances && rates.length === 0 && hasNewcomer(table, candidates)) {
    return planDeal(table, candidates);
  }
  const lines = createLines(rates);
  const standings = createStandings(table, candidates, lines);
  const isCrowded = table.ranges.length >
    Math.min(MAX_RANGES, MAX_RANGES_PER_TARGET * candidates.length);
  const orphans = planOrphans(table, standings, lines.usual);
  if (!balances) {
    return orphans;
  }
  const moves = planBalance(standings, lines, isCrowded);
  const merges = isCrowded ? planMerges(table, standings, lines) : [];
  return [...orphans, ...moves, ...merges];
}

function hasNewcomer(
  table: KeyTable,
  candidates: readonly OwnerCandidate[],
): boolean {
  return candidates.some((candidate) =>
    !table.ranges.some(({ owner }) => isSamePlace(owner, candidate))
  );
}

/**
 * Before anything is asked for, a move breaks nothing off, and which keys will
 * be busy is not known: all are dealt out anew. Load pattern: targets register
 * over a second or two, and callers come some seconds later. A target that has
 * registered first would own all keys when they come, and for 4 to 18 s more
 * than half of the requests for keys would be refused.
 */
function planDeal(
  table: KeyTable,
  candidates: readonly OwnerCandidate[],
): readonly Reassignment[] {
  return createTable(candidates, 0).ranges
    .filter((dealt) =>
      table.ranges.some((range) =>
        hasOverlap(range, dealt) && !isSamePlace(range.owner, dealt.owner)
      )
    )
    .map(({ from, to, owner }) => ({ from, to, owner }));
}

function planBalance(
  standings: ReadonlyMap<string, Standing>,
  lines: RateLines,
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
  standings: ReadonlyMap<string, Standing>,
  lines: RateLines,
  isCrowded: boolean,
): Reassignment | undefined {
  const average = computeAverageBusy(standings);
  const givers = [...standings.values()]
    .filter((one) => hasTooMuch(one, average))
    .sort((left, right) => right.busy - left.busy);
  // One that nothing can be taken from must not keep the others from relief.
  for (const giver of givers) {
    const options = { giver, standings, lines, average, isCrowded };
    const change = planHotKey(options) ?? planRelief(options);
    if (change !== undefined) {
      return change;
    }
  }
  return planForNewcomer(standings, lines.usual, average);
}

interface ReliefOptions {
  readonly giver: Standing;
  readonly standings: ReadonlyMap<string, Standing>;
  readonly lines: RateLines;
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
    hot.perSecond < HOT_SHARE * computeRate(giver.candidate)
  ) {
    return undefined;
  }
  const receiver = chooseFastest(standings, rates);
  if (
    receiver === undefined ||
    computeRate(receiver.candidate) < MIN_GAIN * computeRate(giver.candidate)
  ) {
    return undefined;
  }
  const { key, perSecond } = hot;
  return moveKeys({ giver, receiver, keys: { from: key, to: key, perSecond } });
}

/** The fastest target that no hot key keeps busy already. */
function chooseFastest(
  standings: ReadonlyMap<string, Standing>,
  rates: RateLine,
): Standing | undefined {
  return [...standings.values()]
    .filter((one) => {
      const perSecond = findHottest(one, rates)?.perSecond ?? 0;
      return perSecond < HOT_SHARE * computeRate(one.candidate);
    })
    .sort((left, right) =>
      computeRate(right.candidate) - computeRate(left.candidate)
    )[0];
}

/** The key that an owner is asked for most; none of a range on its way. */
function findHottest(
  standing: Standing,
  rates: RateLine,
): CountedRate | undefined {
  let hottest: CountedRate | undefined;
  for (const { from, to } of listStill(standing)) {
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
  const receiver = chooseIdlest(standings);
  if (giver === receiver) {
    return undefined;
  }
  const excess = giver.busy -
    Math.max(average, computeCalmShare(giver.candidate));
  const room = Math.max(average, computeCalmShare(receiver.candidate)) -
    receiver.busy;
  const wanted = Math.min(
    excess * computeRate(giver.candidate),
    room * computeRate(receiver.candidate),
  );
  const rates = chooseRates(giver, lines);
  return moveStretch({ giver, receiver, wanted, rates, isCrowded });
}

/** A target that has joined and owns nothing gets half of the average at once. */
function planForNewcomer(
  standings: ReadonlyMap<string, Standing>,
  rates: RateLine,
  average: number,
): Reassignment | undefined {
  const receiver = [...standings.values()]
    .find((one) => one.ranges.length === 0);
  const giver = [...standings.values()]
    .filter((one) => one.ranges.length > 0)
    .sort((left, right) => right.busy - left.busy)[0];
  if (receiver === undefined || giver === undefined) {
    return undefined;
  }
  const wanted = Math.min(giver.busy / 2, average / 2) *
    computeRate(giver.candidate);
  return moveStretch({ giver, receiver, wanted, rates, isCrowded: false });
}

interface StretchOptions {
  readonly giver: Standing;
  readonly receiver: Standing;
  /** Requests a second. */
  readonly wanted: number;
  readonly rates: RateLine;
  readonly isCrowded: boolean;
}

function moveStretch(options: StretchOptions): Reassignment | undefined {
  const { giver, receiver } = options;
  const keys = findNarrow(options) ?? findLargest(options);
  return keys === undefined ? undefined : moveKeys({ giver, receiver, keys });
}

/** The narrowest stretch or whole range that carries most of what is wanted. */
function findNarrow(
  { giver, wanted, rates, isCrowded }: StretchOptions,
): Stretch | undefined {
  let best: Stretch | undefined;
  for (const range of listStill(giver)) {
    const whole = toWholeStretch(rates, range);
    const stretch = isUseful(whole, wanted)
      ? whole
      : giver.isSpell
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
  { giver, wanted, rates }: StretchOptions,
): Stretch | undefined {
  const least = MIN_RELIEF * computeRate(giver.candidate);
  return listStill(giver)
    .map((range) => toWholeStretch(rates, range))
    .filter(({ perSecond }) => perSecond >= least && perSecond <= wanted)
    .sort((left, right) => right.perSecond - left.perSecond)[0];
}

/** The count by which an owner is busy. */
function chooseRates({ isSpell }: Standing, lines: RateLines): RateLine {
  return isSpell ? lines.recent : lines.usual;
}

/** Ranges that are not on their way. */
function listStill({ ranges }: Standing): readonly OwnedRange[] {
  return ranges.filter(({ former }) => former.length === 0);
}

function hasTooMuch(standing: Standing, average: number): boolean {
  return standing.certainBusy > computeCalmShare(standing.candidate) &&
    standing.certainBusy > MIN_EXCESS * average;
}

/**
 * The share of its places that a target may keep busy: beyond it the wait for a
 * place grows faster than the work put on it. With more places it comes later.
 */
function computeCalmShare({ places }: OwnerCandidate): number {
  return 1 - CALM_MARGIN / Math.sqrt(Math.max(1, places));
}
