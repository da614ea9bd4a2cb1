/**
 * Which narrow ranges pass to a neighbour's owner, so that there are fewer.
 *
 * A hot spell is cut into narrow ranges, each with a renewal a second. When it
 * is over they carry next to nothing, and would cost their renewals for good.
 */
import type { KeyTable, OwnedRange, Reassignment } from "./key_table.ts";
import {
  computeAverageBusy,
  computeRate,
  moveKeys,
  type RateLines,
  type Standing,
} from "./owner_standing.ts";

/** Few at a time: a merge is of use later, a move of busy keys now. */
const MAX_MERGES = 4;
/** A range that keeps more than this share of its owner busy stays. */
const MAX_BUSY = 0.03;
/** Wider ones are what the keys were dealt out in. */
const MAX_WIDTH = 200;

export function planMerges(
  table: KeyTable,
  standings: ReadonlyMap<string, Standing>,
  lines: RateLines,
): readonly Reassignment[] {
  const average = computeAverageBusy(standings);
  const changes: Reassignment[] = [];
  let before: OwnedRange | undefined;
  for (const range of table.ranges) {
    const giver = standings.get(range.owner.id);
    const receiver = before && standings.get(before.owner.id);
    const isMergeable = giver !== undefined && receiver !== undefined &&
      giver !== receiver && before!.former.length === 0 &&
      isStill(giver, range) && isStill(receiver, before!) &&
      receiver.busy <= average && isIdle(range, giver, lines);
    if (isMergeable) {
      const { from, to } = range;
      const perSecond = lines.usual.computeSum(from, to);
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
function isStill(standing: Standing, range: OwnedRange): boolean {
  return range.former.length === 0 &&
    standing.ranges.some(({ from, to }) =>
      from === range.from && to === range.to
    );
}

function isIdle(
  { from, to }: OwnedRange,
  { candidate }: Standing,
  { usual, recent }: RateLines,
): boolean {
  const perSecond = Math.max(
    usual.computeSum(from, to),
    recent.computeSum(from, to),
  );
  return to - from < MAX_WIDTH && perSecond < MAX_BUSY * computeRate(candidate);
}
