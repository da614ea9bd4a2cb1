/**
 * Positions in the log. One log record carries several entries, so a position
 * is the record's offset together with the entry's index. The position of the
 * entry that made an assignment is its fencing token: unique, growing, and
 * minted by the log alone.
 */

/** Entries in one record, at most. Bounds one append and fixes the encoding. */
export const MAX_ENTRIES_PER_RECORD = 4096;

/** `offset * 4096 + index`; a safe integer for offsets up to 2 ** 41. */
export type Position = number;

/** The position before every entry. */
export const NO_POSITION: Position = -1;

export function makePosition(offset: number, index: number): Position {
  return offset * MAX_ENTRIES_PER_RECORD + index;
}

/** The offset of the record that holds the entry at `position`. */
export function getOffset(position: Position): number {
  return Math.floor(position / MAX_ENTRIES_PER_RECORD);
}
