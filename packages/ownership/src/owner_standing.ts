/**
 * How busy each target that may own keys is, from the keys that it owns and how
 * often they are asked for.
 */
import { splitRange } from "@lentilspur/ports/key_orders";
import { type KeyRate, RECENT_MS, USUAL_MS } from "./key_load.ts";
import {
  type Assignee,
  isSamePlace,
  type KeyTable,
  type OwnedRange,
  type Reassignment,
} from "./key_table.ts";
import { RateLine } from "./rate_line.ts";
import type { Stretch } from "./stretch_choice.ts";

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
const CAUTION = 1.5;
/** The same for what is counted over a longer time. */
const LASTING_CAUTION = 0.7;
/** A target that takes nothing is planned for as one that takes this much. */
const MIN_LIMIT = 0.1;

export interface Standing {
  readonly candidate: OwnerCandidate;
  /** Places kept busy, as a share of all of its places. */
  busy: number;
  /** As above, less what chance may have added to the count. */
  certainBusy: number;
  /** Whether it is of late that it is busy. */
  isSpell: boolean;
  ranges: OwnedRange[];
}

export function createStandings(
  table: KeyTable,
  candidates: readonly OwnerCandidate[],
  lines: RateLines,
): Map<string, Standing> {
  const owned = new Map<string, OwnedRange[]>();
  for (const range of table.ranges) {
    const ranges = owned.get(range.owner.id) ?? [];
    ranges.push(range);
    owned.set(range.owner.id, ranges);
  }
  const standings = new Map<string, Standing>();
  for (const candidate of candidates) {
    const ranges = (owned.get(candidate.id) ?? [])
      .filter((range) => isSamePlace(range.owner, candidate));
    standings.set(candidate.id, createStanding(candidate, ranges, lines));
  }
  return standings;
}

export function createStanding(
  candidate: OwnerCandidate,
  ranges: OwnedRange[],
  lines: RateLines,
): Standing {
  let usual = 0;
  let recent = 0;
  for (const range of ranges) {
    usual += lines.usual.computeSum(range.from, range.to);
    recent += lines.recent.computeSum(range.from, range.to);
  }
  const certain = estimateCertainRate(recent, RECENT_MS, CAUTION);
  const lasting = estimateCertainRate(usual, USUAL_MS, LASTING_CAUTION);
  return {
    candidate,
    busy: computeBusy(candidate, Math.max(usual, certain)),
    certainBusy: computeBusy(candidate, Math.max(lasting, certain)),
    isSpell: certain > usual,
    ranges,
  };
}

/** A rate less some standard deviations of its count within a time. */
function estimateCertainRate(
  perSecond: number,
  withinMs: number,
  deviations: number,
): number {
  const counted = Math.max(1, perSecond * withinMs / 1_000);
  return perSecond * Math.max(0, 1 - deviations / Math.sqrt(counted));
}

/** The same keys by both counts. */
export interface RateLines {
  readonly usual: RateLine;
  readonly recent: RateLine;
}

export function createLines(rates: readonly KeyRate[]): RateLines {
  return {
    usual: new RateLine(
      rates.map(({ key, usual }) => ({ key, perSecond: usual })),
    ),
    recent: new RateLine(
      rates.map(({ key, recent }) => ({ key, perSecond: recent })),
    ),
  };
}

export function chooseIdlest(
  standings: ReadonlyMap<string, Standing>,
): Standing {
  let best: Standing | undefined;
  for (const standing of standings.values()) {
    if (best === undefined || standing.busy < best.busy) {
      best = standing;
    }
  }
  return best!;
}

export function computeAverageBusy(
  standings: ReadonlyMap<string, Standing>,
): number {
  let load = 0;
  let rate = 0;
  for (const standing of standings.values()) {
    load += standing.busy * computeRate(standing.candidate);
    rate += computeRate(standing.candidate);
  }
  return rate === 0 ? 0 : load / rate;
}

/** Requests a second that it can do: all that it takes, or all of its places. */
export function computeRate(candidate: OwnerCandidate): number {
  const { places, serviceMs, limitPerSecond = Infinity } = candidate;
  const most = places * 1_000 / Math.max(1, serviceMs);
  return Math.min(most, Math.max(MIN_LIMIT, limitPerSecond));
}

export function computeBusy(
  candidate: OwnerCandidate,
  perSecond: number,
): number {
  return perSecond / computeRate(candidate);
}

/** Counts a move at once, so that the next one of the same plan sees it. */
export function moveKeys({ giver, receiver, keys }: {
  readonly giver: Standing;
  readonly receiver: Standing;
  readonly keys: Stretch;
}): Reassignment {
  const { from, to } = keys;
  giver.busy -= computeBusy(giver.candidate, keys.perSecond);
  giver.certainBusy -= computeBusy(giver.candidate, keys.perSecond);
  giver.ranges = giver.ranges.flatMap((range) => splitRange(range, keys));
  receiver.busy += computeBusy(receiver.candidate, keys.perSecond);
  receiver.certainBusy += computeBusy(receiver.candidate, keys.perSecond);
  receiver.isSpell ||= giver.isSpell;
  receiver.ranges.push({
    from,
    to,
    owner: { ...receiver.candidate, token: 0 },
    // Marks it as on its way: a plan does not move a key twice.
    former: [{ ...giver.candidate, token: 0 }],
  });
  return { from, to, owner: receiver.candidate };
}
