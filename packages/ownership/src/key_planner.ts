/**
 * Which keys should change owners, from where the owners are and how busy each
 * key is.
 *
 * Load pattern: a target of 2 places does 15 to 35 lookups a second; a hot
 * spell asks for a hundred a second within one target's range. Keys that move
 * cost their share of all keys, and a hot spell is narrow: so the narrowest
 * stretch that carries the excess is moved, and what earns little stays.
 */
import { type KeyRate, RECENT_MS } from "./key_load.ts";
import { type CountedRate, RateLine } from "./rate_line.ts";
import type { KeyTable, OwnedRange, Reassignment } from "./key_table.ts";

/** A target that may own keys. */
export interface OwnerCandidate {
  readonly id: string;
  readonly address: string;
  readonly places: number;
  /** Work of one request, in milliseconds. */
  readonly serviceMs: number;
}

/**
 * A target busier than this share of its places is relieved: from there on the
 * wait for one of two places grows faster than the work put on it.
 */
const MAX_BUSY = 0.6;
/** And only if it is this much busier than the average: twice what chance does. */
const MIN_EXCESS = 1.15;
/** A receiver is filled to the average, or up to this. */
const RECEIVER_BUSY = 0.6;
/** Moves in one plan; each is a release, a grant and a record's part. */
const MAX_MOVES = 12;
/** A stretch that carries less than this share of what is wanted is no help. */
const MIN_PART = 0.4;
/**
 * What is counted of late is taken for less by this many of its own standard
 * deviations: a target's share of a quiet second is 20 requests, give or take 4.
 */
const CAUTION = 1.5;
/** Each range costs a renewal a second; beyond this many a target, spells only. */
const MAX_RANGES_PER_TARGET = 8;

interface Standing {
  readonly candidate: OwnerCandidate;
  /** Places kept busy, as a share of all of its places. */
  busy: number;
  /** Whether it is of late that it is busy. */
  isSpell: boolean;
  ranges: OwnedRange[];
}

/** Keys whose owner is gone or leaving, and keys of owners that have too much. */
export function planReassignments(
  table: KeyTable,
  candidates: readonly OwnerCandidate[],
  rates: readonly KeyRate[],
): readonly Reassignment[] {
  if (candidates.length === 0) {
    return [];
  }
  const lines = createLines(rates);
  const standings = createStandings(table, candidates, lines);
  const orphans = planOrphans(table, standings, lines.usual);
  if (orphans.length > 0) {
    // Balancing waits until everything has an owner: one change at a time.
    return orphans;
  }
  const isCrowded =
    table.ranges.length > MAX_RANGES_PER_TARGET * candidates.length;
  return planBalance(standings, lines, isCrowded);
}

function createStandings(
  table: KeyTable,
  candidates: readonly OwnerCandidate[],
  lines: RateLines,
): Map<string, Standing> {
  const standings = new Map<string, Standing>();
  for (const candidate of candidates) {
    const ranges = table.ranges
      .filter((range) => range.owner.id === candidate.id);
    standings.set(candidate.id, createStanding(candidate, ranges, lines));
  }
  return standings;
}

function createStanding(
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
  const counted = Math.max(1, recent * RECENT_MS / 1_000);
  const certain = recent * Math.max(0, 1 - CAUTION / Math.sqrt(counted));
  return {
    candidate,
    busy: computeBusy(candidate, Math.max(usual, certain)),
    isSpell: certain > usual,
    ranges,
  };
}

/** The same keys by both counts. */
interface RateLines {
  readonly usual: RateLine;
  readonly recent: RateLine;
}

function createLines(rates: readonly KeyRate[]): RateLines {
  return {
    usual: new RateLine(
      rates.map(({ key, usual }) => ({ key, perSecond: usual })),
    ),
    recent: new RateLine(
      rates.map(({ key, recent }) => ({ key, perSecond: recent })),
    ),
  };
}

/** Ranges without a usable owner go where there is most room, piece by piece. */
function planOrphans(
  table: KeyTable,
  standings: ReadonlyMap<string, Standing>,
  rates: RateLine,
): readonly Reassignment[] {
  const changes: Reassignment[] = [];
  for (const range of table.ranges) {
    if (standings.has(range.owner.id)) {
      continue;
    }
    for (const piece of splitOrphan(range, rates)) {
      const receiver = chooseIdlest(standings);
      receiver.busy += computeBusy(receiver.candidate, piece.perSecond) +
        piece.width / 1e7;
      changes.push({
        from: piece.from,
        to: piece.to,
        owner: receiver.candidate,
      });
    }
  }
  return changes;
}

interface Piece {
  readonly from: number;
  readonly to: number;
  readonly width: number;
  readonly perSecond: number;
}

/** Pieces of an orphaned range; several receivers share a lost target's load. */
const ORPHAN_PIECES = 3;

function splitOrphan(
  range: OwnedRange,
  rates: RateLine,
): readonly Piece[] {
  const total = rates.computeSum(range.from, range.to);
  const width = range.to - range.from + 1;
  const count = Math.min(ORPHAN_PIECES, width);
  if (total < 1) {
    return splitEvenly(range, width > 1_000 ? count : 1);
  }
  const pieces: Piece[] = [];
  let from = range.from;
  let sum = 0;
  for (const { key, perSecond } of rates.list(range.from, range.to)) {
    sum += perSecond;
    if (
      sum >= total / count && pieces.length < count - 1 && key < range.to
    ) {
      pieces.push({ from, to: key, width: key - from + 1, perSecond: sum });
      from = key + 1;
      sum = 0;
    }
  }
  const rest = range.to - from + 1;
  pieces.push({ from, to: range.to, width: rest, perSecond: sum });
  return pieces;
}

function splitEvenly(range: OwnedRange, count: number): readonly Piece[] {
  const width = range.to - range.from + 1;
  return Array.from({ length: count }, (_, index) => {
    const from = range.from + Math.floor(index * width / count);
    const to = range.from + Math.floor((index + 1) * width / count) - 1;
    return { from, to, width: to - from + 1, perSecond: 0 };
  });
}

function planBalance(
  standings: ReadonlyMap<string, Standing>,
  lines: RateLines,
  isCrowded: boolean,
): readonly Reassignment[] {
  const changes: Reassignment[] = [];
  while (changes.length < MAX_MOVES) {
    const change = planOneMove(standings, lines, changes, isCrowded);
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
  before: readonly Reassignment[],
  isCrowded: boolean,
): Reassignment | undefined {
  const average = computeAverageBusy(standings);
  const giver = [...standings.values()]
    .sort((left, right) => right.busy - left.busy)
    .find((one) => hasTooMuch(one, average) && (one.isSpell || !isCrowded));
  const receiver = chooseIdlest(standings);
  if (giver === undefined || giver === receiver) {
    return planForNewcomer(standings, lines.usual, average);
  }
  const excess = giver.busy - Math.max(average, RECEIVER_BUSY);
  const room = Math.max(average, RECEIVER_BUSY) - receiver.busy;
  const wanted = Math.min(
    excess * computeRate(giver.candidate),
    room * computeRate(receiver.candidate),
  );
  const rates = giver.isSpell ? lines.recent : lines.usual;
  return moveStretch({ giver, receiver, wanted, rates, before });
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
  return moveStretch({ giver, receiver, wanted, rates, before: [] });
}

interface Stretch {
  readonly from: number;
  readonly to: number;
  readonly perSecond: number;
}

function moveStretch(options: {
  readonly giver: Standing;
  readonly receiver: Standing;
  readonly wanted: number;
  readonly rates: RateLine;
  readonly before: readonly Reassignment[];
}): Reassignment | undefined {
  const { giver, receiver, wanted, rates, before } = options;
  let best: Stretch | undefined;
  for (const range of giver.ranges) {
    const isTaken = range.former.length > 0;
    const stretch = isTaken
      ? undefined
      : giver.isSpell
      ? findNarrowest(rates, range, wanted, before)
      : findEdge(rates, range, wanted, before);
    if (stretch !== undefined && isNarrower(stretch, best)) {
      best = stretch;
    }
  }
  if (best === undefined) {
    return undefined;
  }
  giver.busy -= computeBusy(giver.candidate, best.perSecond);
  receiver.busy += computeBusy(receiver.candidate, best.perSecond);
  receiver.ranges.push({
    from: best.from,
    to: best.to,
    owner: { ...receiver.candidate, token: 0 },
    // Marks it as on its way: a plan does not move a key twice.
    former: [{ ...giver.candidate, token: 0 }],
  });
  return { from: best.from, to: best.to, owner: receiver.candidate };
}

function isNarrower(left: Stretch, right: Stretch | undefined): boolean {
  return right === undefined || left.to - left.from < right.to - right.from;
}

/** The narrowest stretch of a range that carries about `wanted`. */
function findNarrowest(
  rates: RateLine,
  range: OwnedRange,
  wanted: number,
  before: readonly Reassignment[],
): Stretch | undefined {
  let best: Stretch | undefined;
  let sum = 0;
  let first = 0;
  const within = rates.list(range.from, range.to)
    .filter(({ key }) => !isMoved(before, key));
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
    const isUseful = sum >= MIN_PART * wanted && sum <= wanted;
    if (isUseful && isBetter(stretch, best) && !hasOverlap(before, stretch)) {
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
function findEdge(
  rates: RateLine,
  range: OwnedRange,
  wanted: number,
  before: readonly Reassignment[],
): Stretch | undefined {
  const within = rates.list(range.from, range.to);
  const first = takeUpTo(within, wanted);
  const last = takeUpTo([...within].reverse(), wanted);
  const edges = [
    { from: range.from, to: first.key, perSecond: first.perSecond },
    { from: last.key, to: range.to, perSecond: last.perSecond },
  ];
  return edges
    .filter(({ perSecond }) => perSecond >= MIN_PART * wanted)
    .filter((edge) => edge.from <= edge.to && !hasOverlap(before, edge))
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
function isBetter(left: Stretch, right: Stretch | undefined): boolean {
  return right === undefined ||
    left.perSecond / (left.to - left.from + 1) >
      right.perSecond / (right.to - right.from + 1);
}

function isMoved(before: readonly Reassignment[], key: number): boolean {
  return before.some((change) => key >= change.from && key <= change.to);
}

function hasOverlap(
  before: readonly Reassignment[],
  stretch: Stretch,
): boolean {
  return before
    .some((change) => change.from <= stretch.to && change.to >= stretch.from);
}

function hasTooMuch(standing: Standing, average: number): boolean {
  return standing.busy > MAX_BUSY && standing.busy > MIN_EXCESS * average;
}

function chooseIdlest(standings: ReadonlyMap<string, Standing>): Standing {
  let best: Standing | undefined;
  for (const standing of standings.values()) {
    if (best === undefined || standing.busy < best.busy) {
      best = standing;
    }
  }
  return best!;
}

function computeAverageBusy(standings: ReadonlyMap<string, Standing>): number {
  let load = 0;
  let rate = 0;
  for (const standing of standings.values()) {
    load += standing.busy * computeRate(standing.candidate);
    rate += computeRate(standing.candidate);
  }
  return rate === 0 ? 0 : load / rate;
}

/** Requests a second that keep all of its places busy. */
function computeRate(candidate: OwnerCandidate): number {
  return candidate.places * 1_000 / Math.max(1, candidate.serviceMs);
}

function computeBusy(candidate: OwnerCandidate, perSecond: number): number {
  return perSecond / computeRate(candidate);
}
