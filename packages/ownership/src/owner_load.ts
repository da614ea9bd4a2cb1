/**
 * Computes the utilization of each target that may own keys, from the keys that
 * it owns and their request rates.
 */
import { splitRange } from "@lentilspur/ports/key_orders";
import {
  type KeyRate,
  LONG_TERM_TIME_CONSTANT_MS,
  RECENT_TIME_CONSTANT_MS,
} from "./key_load.ts";
import {
  type Assignee,
  isSameEndpoint,
  type KeyTable,
  type OwnedRange,
} from "./key_table.ts";
import { KeyRateIndex } from "./key_rate_index.ts";
import type { Subrange } from "./subrange_selection.ts";
import { MIN_WEIGHTED_PLACES } from "./weighted_capacity.ts";
import type { MoveReason, PlannedMove } from "./planned_move.ts";

/** A target that may own keys, and what determines its capacity. */
export interface OwnerCandidate extends Assignee {
  readonly places: number;
  /** Processing time of one request, in milliseconds. */
  readonly serviceMs: number;
  /** Requests per second that the target accepts, whatever its capacity. */
  readonly limitPerSecond?: number;
  /** What its capacity counts for when keys are distributed; 1 if undefined. */
  readonly weight?: number;
}

/**
 * The recent rate is lowered by this many of its standard deviations: a target
 * receives 20 requests in a quiet second, plus or minus 4.
 */
const RECENT_DEVIATIONS = 1.5;
/**
 * The same where a hotspot is certain: what it brings an owner is estimated,
 * since a lower bound of each small part of it would let one target after the
 * other take more than it can serve.
 */
const HOTSPOT_DEVIATIONS = 0.5;
/** The same for the long-term rate. */
const LONG_TERM_DEVIATIONS = 0.7;
/**
 * A target that accepts no requests is planned for as if it accepted this many
 * per second.
 */
const MIN_LIMIT = 0.1;

export interface OwnerLoad {
  readonly candidate: OwnerCandidate;
  /** Load as a share of the candidate's capacity. */
  utilization: number;
  /** The same, from rates without what chance may have added to the counts. */
  utilizationLowerBound: number;
  /** Whether the recent rate is clearly above the long-term rate. */
  isHotspot: boolean;
  ranges: OwnedRange[];
}

export function createOwnerLoads(
  table: KeyTable,
  candidates: readonly OwnerCandidate[],
  rateIndexes: KeyRateIndexes,
): Map<string, OwnerLoad> {
  const owned = new Map<string, OwnedRange[]>();
  for (const range of table.ranges) {
    const ranges = owned.get(range.owner.id) ?? [];
    ranges.push(range);
    owned.set(range.owner.id, ranges);
  }
  const ownerLoads = new Map<string, OwnerLoad>();
  for (const candidate of candidates) {
    const ranges = (owned.get(candidate.id) ?? [])
      .filter((range) => isSameEndpoint(range.owner, candidate));
    ownerLoads.set(
      candidate.id,
      createOwnerLoad(candidate, ranges, rateIndexes),
    );
  }
  return ownerLoads;
}

export function createOwnerLoad(
  candidate: OwnerCandidate,
  ranges: OwnedRange[],
  rateIndexes: KeyRateIndexes,
): OwnerLoad {
  let longTerm = 0;
  let recent = 0;
  for (const range of ranges) {
    longTerm += rateIndexes.longTerm.computeSum(range.from, range.to);
    recent += rateIndexes.recent.computeSum(range.from, range.to);
  }
  const recentLowerBound = estimateRateLowerBound(
    recent,
    RECENT_TIME_CONSTANT_MS,
    RECENT_DEVIATIONS,
  );
  const isHotspot = recentLowerBound > longTerm;
  const recentEstimate = isHotspot && candidate.places >= MIN_WEIGHTED_PLACES
    ? estimateRateLowerBound(
      recent,
      RECENT_TIME_CONSTANT_MS,
      HOTSPOT_DEVIATIONS,
    )
    : recentLowerBound;
  const longTermLowerBound = estimateRateLowerBound(
    longTerm,
    LONG_TERM_TIME_CONSTANT_MS,
    LONG_TERM_DEVIATIONS,
  );
  return {
    candidate,
    utilization: computeUtilization(
      candidate,
      Math.max(longTerm, recentEstimate),
    ),
    utilizationLowerBound: computeUtilization(
      candidate,
      Math.max(longTermLowerBound, recentLowerBound),
    ),
    isHotspot,
    ranges,
  };
}

/** A rate less some standard deviations of its count within `withinMs`. */
function estimateRateLowerBound(
  perSecond: number,
  withinMs: number,
  deviations: number,
): number {
  const count = Math.max(1, perSecond * withinMs / 1_000);
  return perSecond * Math.max(0, 1 - deviations / Math.sqrt(count));
}

/** Rates of the same keys over both windows. */
export interface KeyRateIndexes {
  readonly longTerm: KeyRateIndex;
  readonly recent: KeyRateIndex;
}

export function createRateIndexes(rates: readonly KeyRate[]): KeyRateIndexes {
  return {
    longTerm: new KeyRateIndex(
      rates.map(({ key, longTerm }) => ({ key, perSecond: longTerm })),
    ),
    recent: new KeyRateIndex(
      rates.map(({ key, recent }) => ({ key, perSecond: recent })),
    ),
  };
}

export function chooseLeastUtilized(
  ownerLoads: ReadonlyMap<string, OwnerLoad>,
): OwnerLoad {
  let best: OwnerLoad | undefined;
  for (const ownerLoad of ownerLoads.values()) {
    if (best === undefined || ownerLoad.utilization < best.utilization) {
      best = ownerLoad;
    }
  }
  return best!;
}

export function computeAverageUtilization(
  ownerLoads: ReadonlyMap<string, OwnerLoad>,
): number {
  let load = 0;
  let rate = 0;
  for (const ownerLoad of ownerLoads.values()) {
    load += ownerLoad.utilization * computeCapacity(ownerLoad.candidate);
    rate += computeCapacity(ownerLoad.candidate);
  }
  return rate === 0 ? 0 : load / rate;
}

/** Requests per second that a candidate is planned to serve. */
export function computeCapacity(candidate: OwnerCandidate): number {
  const { weight = 1, limitPerSecond = Infinity } = candidate;
  const throughput = weight * computeThroughput(candidate);
  return Math.min(throughput, Math.max(MIN_LIMIT, limitPerSecond));
}

/**
 * Requests per second that a candidate can serve: the throughput of all its
 * places, or its limit if that is lower.
 */
export function computeThroughput(candidate: OwnerCandidate): number {
  const { places, serviceMs, limitPerSecond = Infinity } = candidate;
  const throughput = places * 1_000 / Math.max(1, serviceMs);
  return Math.min(throughput, Math.max(MIN_LIMIT, limitPerSecond));
}

export function computeUtilization(
  candidate: OwnerCandidate,
  perSecond: number,
): number {
  return perSecond / computeCapacity(candidate);
}

/**
 * Applies a move to both owners at once, so that the next move of the same plan
 * takes it into account.
 */
export function moveKeys({ source, destination, keys, reason }: {
  readonly source: OwnerLoad;
  readonly destination: OwnerLoad;
  readonly keys: Subrange;
  readonly reason: MoveReason;
}): PlannedMove {
  const { from, to } = keys;
  source.utilization -= computeUtilization(source.candidate, keys.perSecond);
  source.utilizationLowerBound -= computeUtilization(
    source.candidate,
    keys.perSecond,
  );
  source.ranges = source.ranges.flatMap((range) => splitRange(range, keys));
  destination.utilization += computeUtilization(
    destination.candidate,
    keys.perSecond,
  );
  destination.utilizationLowerBound += computeUtilization(
    destination.candidate,
    keys.perSecond,
  );
  destination.isHotspot ||= source.isHotspot;
  destination.ranges.push({
    from,
    to,
    owner: { ...destination.candidate, token: 0 },
    // Marks the range as in transfer: a plan does not move a key twice.
    former: [{ ...source.candidate, token: 0 }],
  });
  return { from, to, owner: destination.candidate, reason };
}
