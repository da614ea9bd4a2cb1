/**
 * Plans which keys change owners, based on their current owners and on the
 * request rate of each key.
 *
 * Load pattern: a hotspot inside one target's range receives several times the
 * requests that the target can serve. The cost of a move grows with the share
 * of all keys that it moves, and a hotspot is narrow. So the plan moves the
 * narrowest subrange that carries the excess, and no keys that would bring
 * little relief.
 */
import { hasOverlap } from "@lentilspur/ports/key_orders";
import type { KeyRate } from "./key_load.ts";
import {
  createKeyTable,
  isSameEndpoint,
  type KeyTable,
  type OwnedRange,
} from "./key_table.ts";
import { planMerges } from "./merge_plan.ts";
import { planOrphans } from "./orphan_plan.ts";
import {
  chooseLeastUtilized,
  computeAverageUtilization,
  computeCapacity,
  computeThroughput,
  createOwnerLoads,
  createRateIndexes,
  type KeyRateIndexes,
  moveKeys,
  type OwnerCandidate,
  type OwnerLoad,
} from "./owner_load.ts";
import type { CountedRate, KeyRateIndex } from "./key_rate_index.ts";
import {
  findDensest,
  findEdge,
  isCloseToRate,
  isNarrower,
  type Subrange,
  toSubrange,
} from "./subrange_selection.ts";
import {
  createWeightedCandidates,
  MIN_WEIGHTED_PLACES,
} from "./weighted_capacity.ts";
import type { MoveReason, PlannedMove } from "./planned_move.ts";

/** Share of a target with one place that should be free on average. */
const SINGLE_PLACE_HEADROOM = 0.57;
/**
 * The same for targets with several places. Service times are those without
 * queueing at usual speed, and a fifth of the time a target is three times
 * slower: what looks like 0.7 of its capacity is all of it. Few places leave no
 * choice.
 */
const SEVERAL_PLACES_HEADROOM = 1.1;
/**
 * An owner is relieved only if its utilization exceeds the average by this
 * factor.
 */
const MIN_OVERLOAD_RATIO = 1.15;
/**
 * A key is hot if its requests take at least this share of its owner's
 * capacity.
 */
const HOT_KEY_SHARE = 0.8;
/**
 * A hot key moves only to a target with at least this many times the owner's
 * capacity. Below that, the move gains less than it loses by interrupting
 * requests.
 */
const MIN_SPEEDUP = 1.3;
/**
 * A range with less than this share of its owner's capacity is not worth
 * moving.
 */
const MIN_RELIEF_SHARE = 0.03;
/**
 * Maximum number of moves in one plan with up to this many targets; with more
 * targets, one move per target.
 */
const DEFAULT_MAX_MOVES = 12;
/**
 * Each range costs one renewal per `renewIntervalMs`. Above this many ranges
 * per target, lasting imbalances are reduced by moving whole ranges only, and
 * idle ranges are merged with their neighbours.
 */
const MAX_RANGES_PER_TARGET = 10;
/** Limit over all targets together, since one keeper renews all ranges. */
const MAX_RANGES = 400;

export interface PlanOptions {
  /** Whether keys of overloaded owners are moved as well. */
  readonly rebalance: boolean;
}

/**
 * Plans moves of keys whose owner is gone or leaving, and of keys of overloaded
 * owners.
 */
export function planReassignments(
  table: KeyTable,
  targets: readonly OwnerCandidate[],
  rates: readonly KeyRate[],
  { rebalance }: PlanOptions = { rebalance: true },
): readonly PlannedMove[] {
  if (targets.length === 0) {
    return [];
  }
  const candidates = createWeightedCandidates(targets);
  if (rebalance && rates.length === 0 && hasNewTarget(table, candidates)) {
    return planEvenDistribution(table, candidates);
  }
  const rateIndexes = createRateIndexes(rates);
  const ownerLoads = createOwnerLoads(table, candidates, rateIndexes);
  const hasTooManyRanges = table.ranges.length >
    Math.min(MAX_RANGES, MAX_RANGES_PER_TARGET * candidates.length);
  const orphans = planOrphans(table, ownerLoads, rateIndexes.longTerm);
  if (!rebalance) {
    return orphans;
  }
  const moves = planBalance(ownerLoads, rateIndexes, hasTooManyRanges);
  const merges = hasTooManyRanges
    ? planMerges(table, ownerLoads, rateIndexes)
    : [];
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
 * Distributes all keys anew before any key is requested: a move interrupts no
 * requests yet, and the busy keys are not known yet. Load pattern: targets
 * register over a second or two, and callers arrive some seconds later. Without
 * this, the target that registered first would own all keys when callers
 * arrive, and for 4 to 18 s more than half of the requests for keys would be
 * rejected.
 */
function planEvenDistribution(
  table: KeyTable,
  candidates: readonly OwnerCandidate[],
): readonly PlannedMove[] {
  return createKeyTable(candidates, 0).ranges
    .filter((assigned) =>
      table.ranges.some((range) =>
        hasOverlap(range, assigned) &&
        !isSameEndpoint(range.owner, assigned.owner)
      )
    )
    .map(({ from, to, owner }) => ({
      from,
      to,
      owner,
      reason: "undistributed",
    }));
}

function planBalance(
  ownerLoads: ReadonlyMap<string, OwnerLoad>,
  rateIndexes: KeyRateIndexes,
  hasTooManyRanges: boolean,
): readonly PlannedMove[] {
  const changes: PlannedMove[] = [];
  const maxMoves = Math.max(DEFAULT_MAX_MOVES, ownerLoads.size);
  while (changes.length < maxMoves) {
    const change = planOneMove(ownerLoads, rateIndexes, hasTooManyRanges);
    if (change === undefined) {
      break;
    }
    changes.push(change);
  }
  return changes;
}

function planOneMove(
  ownerLoads: ReadonlyMap<string, OwnerLoad>,
  rateIndexes: KeyRateIndexes,
  hasTooManyRanges: boolean,
): PlannedMove | undefined {
  const average = computeAverageUtilization(ownerLoads);
  const sources = [...ownerLoads.values()]
    .filter((ownerLoad) => isOverloaded(ownerLoad, average))
    .sort((left, right) => right.utilization - left.utilization);
  // An owner that cannot be relieved must not block the relief of the others.
  for (const source of sources) {
    const options = {
      source,
      ownerLoads,
      rateIndexes,
      average,
      hasTooManyRanges,
    };
    const change = planHotKey(options) ?? planRelief(options);
    if (change !== undefined) {
      return change;
    }
  }
  return planForNewTarget(ownerLoads, rateIndexes.longTerm, average);
}

interface ReliefOptions {
  readonly source: OwnerLoad;
  readonly ownerLoads: ReadonlyMap<string, OwnerLoad>;
  readonly rateIndexes: KeyRateIndexes;
  /** Average utilization of all candidates. */
  readonly average: number;
  readonly hasTooManyRanges: boolean;
}

/**
 * Moves a key whose requests alone take at least `HOT_KEY_SHARE` of its owner's
 * capacity to a target with at least `MIN_SPEEDUP` times that capacity. Load
 * pattern: two fifths of all lookups are for one key for 5 s. An owner with 0.6
 * of the usual speed answers 10 of them per second, one with 1.4 answers 23,
 * and the rest are rejected. The faster target is then overloaded, so the
 * following moves take its other keys away.
 */
function planHotKey(
  { source, ownerLoads, rateIndexes }: ReliefOptions,
): PlannedMove | undefined {
  const rates = chooseRates(source, rateIndexes);
  const hot = findHottest(source, rates);
  if (
    hot === undefined ||
    hot.perSecond < HOT_KEY_SHARE * computeThroughput(source.candidate)
  ) {
    return undefined;
  }
  const destination = chooseFastest(ownerLoads, rates);
  if (
    destination === undefined ||
    computeThroughput(destination.candidate) <
      MIN_SPEEDUP * computeThroughput(source.candidate)
  ) {
    return undefined;
  }
  const { key, perSecond } = hot;
  return moveKeys({
    source,
    destination,
    keys: { from: key, to: key, perSecond },
    reason: "hot-key",
  });
}

/** The target with the highest throughput that does not yet own a hot key. */
function chooseFastest(
  ownerLoads: ReadonlyMap<string, OwnerLoad>,
  rates: KeyRateIndex,
): OwnerLoad | undefined {
  return [...ownerLoads.values()]
    .filter((ownerLoad) => {
      const perSecond = findHottest(ownerLoad, rates)?.perSecond ?? 0;
      return perSecond < HOT_KEY_SHARE * computeThroughput(ownerLoad.candidate);
    })
    .sort((left, right) =>
      computeThroughput(right.candidate) - computeThroughput(left.candidate)
    )[0];
}

/**
 * The most requested key of an owner, except in ranges that are in transfer.
 */
function findHottest(
  ownerLoad: OwnerLoad,
  rates: KeyRateIndex,
): CountedRate | undefined {
  let hottest: CountedRate | undefined;
  for (const { from, to } of listSettled(ownerLoad)) {
    for (const rate of rates.list(from, to)) {
      if (rate.perSecond > (hottest?.perSecond ?? 0)) {
        hottest = rate;
      }
    }
  }
  return hottest;
}

function planRelief(
  { source, ownerLoads, rateIndexes, average, hasTooManyRanges }: ReliefOptions,
): PlannedMove | undefined {
  const destination = chooseLeastUtilized(ownerLoads);
  if (source === destination) {
    return undefined;
  }
  const excess = source.utilization -
    Math.max(average, computeMaxUtilization(source.candidate));
  const headroom =
    Math.max(average, computeMaxUtilization(destination.candidate)) -
    destination.utilization;
  const wantedRate = Math.min(
    excess * computeCapacity(source.candidate),
    headroom * computeCapacity(destination.candidate),
  );
  const rates = chooseRates(source, rateIndexes);
  return moveSubrange({
    source,
    destination,
    wantedRate,
    rates,
    hasTooManyRanges,
    reason: source.isHotspot ? "hot-range" : "overload",
  });
}

/**
 * Moves up to half of the average load at once to a target that owns no keys.
 */
function planForNewTarget(
  ownerLoads: ReadonlyMap<string, OwnerLoad>,
  rates: KeyRateIndex,
  average: number,
): PlannedMove | undefined {
  const destination = [...ownerLoads.values()]
    .find((ownerLoad) => ownerLoad.ranges.length === 0);
  const source = [...ownerLoads.values()]
    .filter((ownerLoad) => ownerLoad.ranges.length > 0)
    .sort((left, right) => right.utilization - left.utilization)[0];
  if (destination === undefined || source === undefined) {
    return undefined;
  }
  const wantedRate = Math.min(source.utilization / 2, average / 2) *
    computeCapacity(source.candidate);
  return moveSubrange({
    source,
    destination,
    wantedRate,
    rates,
    hasTooManyRanges: false,
    reason: "new-target",
  });
}

interface SubrangeOptions {
  readonly source: OwnerLoad;
  readonly destination: OwnerLoad;
  /** Requests per second to move. */
  readonly wantedRate: number;
  readonly rates: KeyRateIndex;
  readonly hasTooManyRanges: boolean;
  readonly reason: MoveReason;
}

function moveSubrange(options: SubrangeOptions): PlannedMove | undefined {
  const { source, destination, reason } = options;
  const keys = findNarrowestSufficient(options) ?? findBusiestRange(options);
  return keys === undefined
    ? undefined
    : moveKeys({ source, destination, keys, reason });
}

/**
 * The narrowest subrange or whole range that carries enough of the wanted rate.
 */
function findNarrowestSufficient(
  { source, wantedRate, rates, hasTooManyRanges }: SubrangeOptions,
): Subrange | undefined {
  let best: Subrange | undefined;
  for (const range of listSettled(source)) {
    const wholeRange = toSubrange(rates, range);
    const subrange = isCloseToRate(wholeRange, wantedRate)
      ? wholeRange
      : source.isHotspot
      ? findDensest(rates, range, wantedRate)
      : hasTooManyRanges
      ? undefined
      : findEdge(rates, range, wantedRate);
    if (subrange !== undefined && isNarrower(subrange, best)) {
      best = subrange;
    }
  }
  return best;
}

/**
 * If no single subrange carries enough: the whole range with the highest rate
 * up to `wantedRate`. An owner of many narrow ranges is relieved of several of
 * them.
 */
function findBusiestRange(
  { source, wantedRate, rates }: SubrangeOptions,
): Subrange | undefined {
  const minRate = MIN_RELIEF_SHARE * computeCapacity(source.candidate);
  return listSettled(source)
    .map((range) => toSubrange(rates, range))
    .filter(({ perSecond }) => perSecond >= minRate && perSecond <= wantedRate)
    .sort((left, right) => right.perSecond - left.perSecond)[0];
}

/** The rates that determine an owner's utilization. */
function chooseRates(
  { isHotspot }: OwnerLoad,
  rateIndexes: KeyRateIndexes,
): KeyRateIndex {
  return isHotspot ? rateIndexes.recent : rateIndexes.longTerm;
}

/** Ranges that are not in transfer. */
function listSettled({ ranges }: OwnerLoad): readonly OwnedRange[] {
  return ranges.filter(({ former }) => former.length === 0);
}

function isOverloaded(ownerLoad: OwnerLoad, average: number): boolean {
  return ownerLoad.utilizationLowerBound >
      computeMaxUtilization(ownerLoad.candidate) &&
    ownerLoad.utilizationLowerBound > MIN_OVERLOAD_RATIO * average;
}

/**
 * The highest acceptable utilization of a target: above it, the wait for a
 * place grows faster than the load. More places allow a higher utilization.
 */
function computeMaxUtilization({ places }: OwnerCandidate): number {
  const headroom = places < MIN_WEIGHTED_PLACES
    ? SINGLE_PLACE_HEADROOM
    : SEVERAL_PLACES_HEADROOM;
  return 1 - headroom / Math.sqrt(Math.max(1, places));
}
