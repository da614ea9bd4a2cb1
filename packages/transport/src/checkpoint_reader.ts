/** Finds the newest whole checkpoint that the log still has. */
import { Ok, type Result } from "@lentilspur/outcomes/result";
import type { LogFailure, LogPort } from "@lentilspur/ports/log";
import {
  type Checkpoint,
  CheckpointCollector,
} from "@lentilspur/state/checkpoint";
import { Fold } from "@lentilspur/state/fold";

export interface FoundCheckpoint {
  readonly checkpoint: Checkpoint;
  readonly fold: Fold;
}

/** Parts read in one call. */
const PARTS_PER_READ = 64;

/**
 * Reads the whole checkpoint stream. The one that has folded the most is the
 * newest, wherever it stands: an instance that had fallen behind may have
 * written its older state last. Undefined when there is none.
 */
export async function fetchNewestCheckpoint(
  log: LogPort,
  stream: string,
  signal?: AbortSignal,
): Promise<Result<FoundCheckpoint | undefined, LogFailure>> {
  const collector = new CheckpointCollector();
  let newest: Checkpoint | undefined;
  let position = 0;
  for (;;) {
    const batch = await log.read(stream, position, {
      maxRecords: PARTS_PER_READ,
      ...(signal === undefined ? {} : { signal }),
    });
    if (!batch.ok) {
      if (batch.val.kind !== "expired") {
        return batch;
      }
      position = Math.max(position, batch.val.firstOffset);
      continue;
    }
    for (const record of batch.val.records) {
      const collected = collector.add(record.offset, record.payload);
      if (collected.kind === "complete") {
        newest = chooseNewer(newest, collected.checkpoint);
      }
      position = record.offset + 1;
    }
    if (batch.val.records.length === 0 || position >= batch.val.nextOffset) {
      return Ok(restoreCheckpoint(newest));
    }
  }
}

/** The state of a checkpoint; undefined where it is not what it says. */
export function restoreFold(checkpoint: Checkpoint): Fold | undefined {
  try {
    const fold = Fold.restore(checkpoint.text);
    return fold.nextOffset === checkpoint.nextOffset ? fold : undefined;
  } catch {
    return undefined;
  }
}

function chooseNewer(
  known: Checkpoint | undefined,
  found: Checkpoint,
): Checkpoint {
  if (known !== undefined && known.nextOffset >= found.nextOffset) {
    return known;
  }
  // One that cannot be restored must not hide an older one that can.
  return known !== undefined && restoreFold(found) === undefined
    ? known
    : found;
}

function restoreCheckpoint(
  checkpoint: Checkpoint | undefined,
): FoundCheckpoint | undefined {
  const fold = checkpoint === undefined ? undefined : restoreFold(checkpoint);
  return checkpoint === undefined || fold === undefined
    ? undefined
    : { checkpoint, fold };
}
