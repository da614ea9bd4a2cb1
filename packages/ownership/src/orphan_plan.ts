/** Where keys go whose owner is gone or leaving. */
import {
  isSameEndpoint,
  type KeyTable,
  type OwnedRange,
  type Reassignment,
} from "./key_table.ts";
import {
  chooseLeastUtilized,
  computeCapacity,
  computeUtilization,
  type OwnerLoad,
} from "./owner_load.ts";
import type { KeyRateIndex } from "./key_rate_index.ts";

/** Ranges without a usable owner go where there is most room, piece by piece. */
export function planOrphans(
  table: KeyTable,
  standings: ReadonlyMap<string, OwnerLoad>,
  rates: KeyRateIndex,
): readonly Reassignment[] {
  const changes: Reassignment[] = [];
  for (const range of table.ranges) {
    const owner = standings.get(range.owner.id)?.candidate;
    // One that has started again elsewhere is not where its keys are.
    if (owner !== undefined && isSameEndpoint(owner, range.owner)) {
      continue;
    }
    const pieceRate = PIECE_SHARE * computeMeanRate(standings);
    for (const piece of splitOrphan(range, rates, pieceRate)) {
      const receiver = chooseLeastUtilized(standings);
      receiver.utilization +=
        computeUtilization(receiver.candidate, piece.perSecond) +
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

/** Pieces of an orphaned range at most; several receivers share its load. */
const ORPHAN_PIECES = 3;
/** A receiver is given this share of its rate at once; less makes ranges only. */
const PIECE_SHARE = 0.15;
/** A range of more keys is shared out though nobody asks for them yet. */
const WIDE = 1_000;

function computeMeanRate(standings: ReadonlyMap<string, OwnerLoad>): number {
  let sum = 0;
  for (const { candidate } of standings.values()) {
    sum += computeCapacity(candidate);
  }
  return sum / Math.max(1, standings.size);
}

function splitOrphan(
  range: OwnedRange,
  rates: KeyRateIndex,
  pieceRate: number,
): readonly Piece[] {
  const total = rates.computeSum(range.from, range.to);
  const width = range.to - range.from + 1;
  const most = Math.min(ORPHAN_PIECES, width);
  if (total < 1) {
    return splitEvenly(range, width > WIDE ? most : 1);
  }
  const count = Math.min(most, Math.max(1, Math.ceil(total / pieceRate)));
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
