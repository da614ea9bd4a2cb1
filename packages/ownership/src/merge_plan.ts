/**
 * Plans merges: narrow ranges pass to the owner of the preceding range, which
 * reduces the number of ranges.
 *
 * A hotspot is split into narrow ranges, each of which costs one renewal per
 * `renewIntervalMs`. After the hotspot these ranges carry next to no requests,
 * but would cost their renewals forever.
 */
import type { KeyTable, OwnedRange } from "./key_table.ts";
import {
  computeAverageUtilization,
  computeCapacity,
  type KeyRateIndexes,
  moveKeys,
  type OwnerLoad,
} from "./owner_load.ts";
import type { PlannedMove } from "./planned_move.ts";

/**
 * Maximum number of merges in one plan. It is low, since a move of busy keys
 * helps at once, but a merge only later.
 */
const MAX_MERGES = 4;
/**
 * A range that uses at least this share of its owner's capacity is not merged.
 */
const MAX_UTILIZATION = 0.03;
/** Wider ranges come from the initial distribution and are not merged. */
const MAX_MERGED_WIDTH = 200;

export function planMerges(
  table: KeyTable,
  ownerLoads: ReadonlyMap<string, OwnerLoad>,
  rateIndexes: KeyRateIndexes,
): readonly PlannedMove[] {
  const average = computeAverageUtilization(ownerLoads);
  const changes: PlannedMove[] = [];
  let previous: OwnedRange | undefined;
  for (const range of table.ranges) {
    const source = ownerLoads.get(range.owner.id);
    const destination = previous && ownerLoads.get(previous.owner.id);
    const isMergeable = source !== undefined && destination !== undefined &&
      source !== destination && previous!.former.length === 0 &&
      isUnmoved(source, range) && isUnmoved(destination, previous!) &&
      destination.utilization <= average && isIdle(range, source, rateIndexes);
    if (isMergeable) {
      const { from, to } = range;
      const perSecond = rateIndexes.longTerm.computeSum(from, to);
      changes.push(
        moveKeys({
          source,
          destination,
          keys: { from, to, perSecond },
          reason: "merge",
        }),
      );
    }
    if (changes.length === MAX_MERGES) {
      break;
    }
    // A range in transfer cannot be merged with the next one.
    previous = isMergeable ? undefined : range;
  }
  return changes;
}

/** Whether the plan has not moved any part of the range yet. */
function isUnmoved(ownerLoad: OwnerLoad, range: OwnedRange): boolean {
  return range.former.length === 0 &&
    ownerLoad.ranges.some(({ from, to }) =>
      from === range.from && to === range.to
    );
}

function isIdle(
  { from, to }: OwnedRange,
  { candidate }: OwnerLoad,
  { longTerm, recent }: KeyRateIndexes,
): boolean {
  const perSecond = Math.max(
    longTerm.computeSum(from, to),
    recent.computeSum(from, to),
  );
  return to - from < MAX_MERGED_WIDTH &&
    perSecond < MAX_UTILIZATION * computeCapacity(candidate);
}
