/**
 * How busy each target that may own keys is, from the keys that it owns and how
 * often they are asked for.
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
  type Reassignment,
} from "./key_table.ts";
import { KeyRateIndex } from "./key_rate_index.ts";
import type { Subrange } from "./subrange_selection.ts";

/** A target that may own keys. */
export interface OwnerCandidate extends Assignee {
  readonly places: number;
  /** Work of one request, in milliseconds. */
  readonly serviceMs: number;
  /** Requests a second that it takes, whatever it could do. */
  readonly limitPerSecond?: number;
}

/**
 * What is counted of late is taken for less by this many of its own standard
 * deviations: a target's share of a quiet second is 20 requests, give or take 4.
 */
const RECENT_DEVIATIONS = 1.5;
/** The same for what is counted over a longer time. */
const LONG_TERM_DEVIATIONS = 0.7;
/** A target that takes nothing is planned for as one that takes this much. */
const MIN_LIMIT = 0.1;

export interface OwnerLoad {
  readonly candidate: OwnerCandidate;
  /** Places kept busy, as a share of all of its places. */
  utilization: number;
  /** As above, less what chance may have added to the count. */
  utilizationLowerBound: number;
  /** Whether it is of late that it is busy. */
  isHotspot: boolean;
  ranges: OwnedRange[];
}

export function createOwnerLoads(
  table: KeyTable,
  candidates: readonly OwnerCandidate[],
  lines: KeyRateIndexes,
): Map<string, OwnerLoad> {
  const owned = new Map<string, OwnedRange[]>();
  for (const range of table.ranges) {
    const ranges = owned.get(range.owner.id) ?? [];
    ranges.push(range);
    owned.set(range.owner.id, ranges);
  }
  const standings = new Map<string, OwnerLoad>();
  for (const candidate of candidates) {
    const ranges = (owned.get(candidate.id) ?? [])
      .filter((range) => isSameEndpoint(range.owner, candidate));
    standings.set(candidate.id, createOwnerLoad(candidate, ranges, lines));
  }
  return standings;
}

export function createOwnerLoad(
  candidate: OwnerCandidate,
  ranges: OwnedRange[],
  lines: KeyRateIndexes,
): OwnerLoad {
  let usual = 0;
  let recent = 0;
  for (const range of ranges) {
    usual += lines.longTerm.computeSum(range.from, range.to);
    recent += lines.recent.computeSum(range.from, range.to);
  }
  const certain = estimateRateLowerBound(
    recent,
    RECENT_TIME_CONSTANT_MS,
    RECENT_DEVIATIONS,
  );
  const lasting = estimateRateLowerBound(
    usual,
    LONG_TERM_TIME_CONSTANT_MS,
    LONG_TERM_DEVIATIONS,
  );
  return {
    candidate,
    utilization: computeUtilization(candidate, Math.max(usual, certain)),
    utilizationLowerBound: computeUtilization(
      candidate,
      Math.max(lasting, certain),
    ),
    isHotspot: certain > usual,
    ranges,
  };
}

/** A rate less some standard deviations of its count within a time. */
function estimateRateLowerBound(
  perSecond: number,
  withinMs: number,
  deviations: number,
): number {
  const counted = Math.max(1, perSecond * withinMs / 1_000);
  return perSecond * Math.max(0, 1 - deviations / Math.sqrt(counted));
}

/** The same keys by both counts. */
export interface KeyRateIndexes {
  readonly longTerm: KeyRateIndex;
  readonly recent: KeyRateIndex;
}

export function createRateIndexes(rates: readonly KeyRate[]): KeyRateIndexes {
  return {
    longTerm: new KeyRateIndex(
      rates.map(({ key, longTerm: usual }) => ({ key, perSecond: usual })),
    ),
    recent: new KeyRateIndex(
      rates.map(({ key, recent }) => ({ key, perSecond: recent })),
    ),
  };
}

export function chooseLeastUtilized(
  standings: ReadonlyMap<string, OwnerLoad>,
): OwnerLoad {
  let best: OwnerLoad | undefined;
  for (const standing of standings.values()) {
    if (best === undefined || standing.utilization < best.utilization) {
      best = standing;
    }
  }
  return best!;
}

export function computeAverageUtilization(
  standings: ReadonlyMap<string, OwnerLoad>,
): number {
  let load = 0;
  let rate = 0;
  for (const standing of standings.values()) {
    load += standing.utilization * computeCapacity(standing.candidate);
    rate += computeCapacity(standing.candidate);
  }
  return rate === 0 ? 0 : load / rate;
}

/** Requests a second that it can do: all that it takes, or all of its places. */
export function computeCapacity(candidate: OwnerCandidate): number {
  const { places, serviceMs, limitPerSecond = Infinity } = candidate;
  const most = places * 1_000 / Math.max(1, serviceMs);
  return Math.min(most, Math.max(MIN_LIMIT, limitPerSecond));
}

export function computeUtilization(
  candidate: OwnerCandidate,
  perSecond: number,
): number {
  return perSecond / computeCapacity(candidate);
}

/** Counts a move at once, so that the next one of the same plan sees it. */
export function moveKeys({ giver, receiver, keys }: {
  readonly giver: OwnerLoad;
  readonly receiver: OwnerLoad;
  readonly keys: Subrange;
}): Reassignment {
  const { from, to } = keys;
  giver.utilization -= computeUtilization(giver.candidate, keys.perSecond);
  giver.utilizationLowerBound -= computeUtilization(
    giver.candidate,
    keys.perSecond,
  );
  giver.ranges = giver.ranges.flatMap((range) => splitRange(range, keys));
  receiver.utilization += computeUtilization(
    receiver.candidate,
    keys.perSecond,
  );
  receiver.utilizationLowerBound += computeUtilization(
    receiver.candidate,
    keys.perSecond,
  );
  receiver.isHotspot ||= giver.isHotspot;
  receiver.ranges.push({
    from,
    to,
    owner: { ...receiver.candidate, token: 0 },
    // Marks it as on its way: a plan does not move a key twice.
    former: [{ ...giver.candidate, token: 0 }],
  });
  return { from, to, owner: receiver.candidate };
}
