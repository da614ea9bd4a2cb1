/**
 * When a checkpoint is due and who writes it. Every instance could; they take
 * turns by a rank that all compute alike, so that normally one writes and the
 * others see its checkpoint before their turn comes.
 */
import { createHash } from "node:crypto";

/** What is known of the newest checkpoint in the log. */
export interface KnownCheckpoint {
  readonly nextOffset: number;
  /** Since it was first seen whole. */
  readonly ageMs: number;
  /** False once the log has lost part of it, or records that follow it. */
  readonly isRetained: boolean;
}

export interface CheckpointSituation {
  /** The next offset that this instance would fold. */
  readonly nextOffset: number;
  /** The first offset of the record stream that the log still has. */
  readonly firstOffset: number;
  readonly newest: KnownCheckpoint | undefined;
  readonly everyRecords: number;
  readonly maxAgeMs: number;
}

/**
 * Share of the retained records behind which a checkpoint is written anew:
 * three quarters of the retention are then left to write it in.
 */
const OLDEST_SHARE = 1 / 4;
/** Between two instances' turns: writing and reading back takes less. */
const TURN_MS = 3_000;

/**
 * Failure: the log forgets the last checkpoint, or records after it, and no
 * instance can start any more. So a checkpoint is due not only after so many
 * records, but also when it grows old or the end of retention comes near it,
 * even if nothing has been appended since.
 */
export function isCheckpointDue(situation: CheckpointSituation): boolean {
  const { nextOffset, firstOffset, newest } = situation;
  if (newest === undefined || !newest.isRetained) {
    return nextOffset > 0;
  }
  if (nextOffset < newest.nextOffset) {
    return false;
  }
  const retained = nextOffset - firstOffset;
  const isNearEnd = firstOffset > 0 &&
    newest.nextOffset < firstOffset + retained * OLDEST_SHARE;
  return isNearEnd ||
    nextOffset - newest.nextOffset >= situation.everyRecords ||
    newest.ageMs >= situation.maxAgeMs;
}

/**
 * How long `instance` leaves a due checkpoint to those before it in the order
 * that `round` gives; undefined for one that is no member.
 */
export function computeTurnDelay(
  instance: string,
  members: readonly string[],
  round: number,
): number | undefined {
  if (!members.includes(instance)) {
    return undefined;
  }
  const own = hashTurn(instance, round);
  const before = members.filter((member) => hashTurn(member, round) < own);
  return before.length * TURN_MS;
}

function hashTurn(instance: string, round: number): string {
  return createHash("sha256").update(`${round}:${instance}`).digest("hex");
}
