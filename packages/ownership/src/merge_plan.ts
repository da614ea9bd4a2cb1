/**
 * Which narrow ranges pass to a neighbour's owner, so that there are fewer.
 *
 * A hot spell is cut into narrow ranges, each with a renewal a second. When it
 * is over they carry next to nothing, and would cost their renewals for good.
 */
import type { KeyTable, OwnedRange, Reassignment } from "./key_table.ts";
import {
  computeAverageUtilization,
  computeCapacity,
  type KeyRateIndexes,
  moveKeys,
  type OwnerLoad,
} from "./owner_load.ts";

/** Few at a time: a merge is of use later, a move of busy keys now. */
const MAX_MERGES = 4;
/** A range that keeps more than this share of its owner busy stays. */
const MAX_BUSY = 0.03;
/** Wider ones are what the keys were dealt out in. */
const MAX_WIDTH = 200;

export function planMerges(
  table: KeyTable,
  standings: ReadonlyMap<string, OwnerLoad>,
  lines: KeyRateIndexes,
): readonly Reassignment[] {
  const average = computeAverageUtilization(standings);
  const changes: Reassignment[] = [];
  let before: OwnedRange | undefined;
  for (const range of table.ranges) {
    const giver = standings.get(range.owner.id);
    const receiver = before && standings.get(before.owner.id);
    const isMergeable = giver !== undefined && receiver !== undefined &&
      giver !== receiver && before!.former.length === 0 &&
      isUnmoved(giver, range) && isUnmoved(receiver, before!) &&
      receiver.utilization <= average && isIdle(range, giver, lines);
    if (isMergeable) {
      const { from, to } = range;
      const perSecond = lines.longTerm.computeSum(from, to);
      changes.push(
        moveKeys({ giver, receiver, keys: { from, to, perSecond } }),
      );
    }
    if (changes.length === MAX_MERGES) {
      break;
    }
    // One on its way cannot take the next: it is no neighbour yet.
    before = isMergeable ? undefined : range;
  }
  return changes;
}

/** Whether the plan has not moved any of it yet. */
function isUnmoved(standing: OwnerLoad, range: OwnedRange): boolean {
  return range.former.length === 0 &&
    standing.ranges.some(({ from, to }) =>
      from === range.from && to === range.to
    );
}

function isIdle(
  { from, to }: OwnedRange,
  { candidate }: OwnerLoad,
  { longTerm: usual, recent }: KeyRateIndexes,
): boolean {
  const perSecond = Math.max(
    usual.computeSum(from, to),
    recent.computeSum(from, to),
  );
  return to - from < MAX_WIDTH &&
    perSecond < MAX_BUSY * computeCapacity(candidate);
}
