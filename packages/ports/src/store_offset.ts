/**
 * Offsets of records that also order records of different eras of the store.
 *
 * When the store is restored from an older copy, it gives out the same indexes
 * again, in a higher era. An offset combines both into one integer, so that a
 * later record always has a higher offset, also as a fencing token and as a
 * term.
 */

/** Indexes per era; 2^53 leaves 900,000 eras. */
const INDEXES_PER_ERA = 1e10;
export const LAST_INDEX = INDEXES_PER_ERA - 1;
export const LAST_ERA = 899_999;

/** `index` is the position that the store itself gives to a record. */
export function encodeOffset(era: number, index: number): number {
  return era * INDEXES_PER_ERA + index;
}

export function getEra(offset: number): number {
  return Math.max(0, Math.floor(offset / INDEXES_PER_ERA));
}

export function getIndex(offset: number): number {
  return offset - getEra(offset) * INDEXES_PER_ERA;
}

/** Whether the first offset is from an earlier era than the second. */
export function isOfEarlierEra(offset: number, other: number): boolean {
  return getEra(offset) < getEra(other);
}
