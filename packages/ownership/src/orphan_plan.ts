/** Plans new owners for keys whose owner is gone or leaving. */
import { isSameEndpoint, type KeyTable, type OwnedRange } from "./key_table.ts";
import {
  chooseLeastUtilized,
  computeCapacity,
  computeUtilization,
  type OwnerLoad,
} from "./owner_load.ts";
import type { KeyRateIndex } from "./key_rate_index.ts";
import type { PlannedMove } from "./planned_move.ts";

/**
 * Moves each piece of a range without a usable owner to the target with the
 * lowest utilization.
 */
export function planOrphans(
  table: KeyTable,
  ownerLoads: ReadonlyMap<string, OwnerLoad>,
  rates: KeyRateIndex,
): readonly PlannedMove[] {
  const changes: PlannedMove[] = [];
  for (const range of table.ranges) {
    const owner = ownerLoads.get(range.owner.id)?.candidate;
    // A target that restarted at another address does not hold its former keys.
    if (owner !== undefined && isSameEndpoint(owner, range.owner)) {
      continue;
    }
    const pieceRate = PIECE_SHARE * computeMeanCapacity(ownerLoads);
    for (const piece of splitOrphan(range, rates, pieceRate)) {
      const destination = chooseLeastUtilized(ownerLoads);
      // The small amount per key spreads pieces without any requests over
      // several targets.
      destination.utilization +=
        computeUtilization(destination.candidate, piece.perSecond) +
        piece.width / 1e7;
      changes.push({
        from: piece.from,
        to: piece.to,
        owner: destination.candidate,
        reason: "orphan",
      });
    }
  }
  return changes;
}

/** A part of an orphaned range that gets one new owner. */
interface Piece {
  readonly from: number;
  readonly to: number;
  /** Number of keys. */
  readonly width: number;
  readonly perSecond: number;
}

/**
 * Maximum pieces of an orphaned range, so that several targets share its load.
 */
const MAX_PIECES = 3;
/**
 * Load of one piece as a share of the mean capacity of a target; smaller pieces
 * would only add ranges.
 */
const PIECE_SHARE = 0.15;
/** A range of more keys is split even if none of them is requested yet. */
const WIDE_RANGE_KEYS = 1_000;

function computeMeanCapacity(
  ownerLoads: ReadonlyMap<string, OwnerLoad>,
): number {
  let sum = 0;
  for (const { candidate } of ownerLoads.values()) {
    sum += computeCapacity(candidate);
  }
  return sum / Math.max(1, ownerLoads.size);
}

function splitOrphan(
  range: OwnedRange,
  rates: KeyRateIndex,
  pieceRate: number,
): readonly Piece[] {
  const total = rates.computeSum(range.from, range.to);
  const width = range.to - range.from + 1;
  const maxPieces = Math.min(MAX_PIECES, width);
  if (total < 1) {
    return splitEvenly(range, width > WIDE_RANGE_KEYS ? maxPieces : 1);
  }
  const count = Math.min(maxPieces, Math.max(1, Math.ceil(total / pieceRate)));
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
  const restWidth = range.to - from + 1;
  pieces.push({ from, to: range.to, width: restWidth, perSecond: sum });
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
