/** A planned move of keys, and why it is planned. */
import type { Reassignment } from "./key_table.ts";

/**
 * Why keys pass to another owner: their owner is gone or leaving (`orphan`), no
 * key has been requested yet (`undistributed`), a target owns none
 * (`new-target`), one key alone takes a target's capacity (`hot-key`), adjacent
 * keys have become busy (`hot-range`), an owner has more than its part for long
 * (`overload`), or a narrow idle range is not worth its renewals (`merge`).
 */
export type MoveReason =
  | "orphan"
  | "undistributed"
  | "new-target"
  | "hot-key"
  | "hot-range"
  | "overload"
  | "merge";

export interface PlannedMove extends Reassignment {
  readonly reason: MoveReason;
}

/** Number of keys by the reason for which they change owners. */
export type MovedKeys = Readonly<Partial<Record<MoveReason, number>>>;

export function countMovedKeys(moves: readonly PlannedMove[]): MovedKeys {
  const counts: Partial<Record<MoveReason, number>> = {};
  for (const { from, to, reason } of moves) {
    counts[reason] = (counts[reason] ?? 0) + to - from + 1;
  }
  return counts;
}
