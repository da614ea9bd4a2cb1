/**
 * Sees to it that the log always has a checkpoint to start from, and compares
 * the others' checkpoints with the own state.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type { LogPort } from "@lentilspur/ports/log";
import {
  type Checkpoint,
  CheckpointCollector,
  hashState,
  splitCheckpoint,
} from "@lentilspur/state/checkpoint";
import {
  computeTurnDelay,
  isCheckpointDue,
} from "@lentilspur/state/checkpoint_plan";
import type { FoldedLog, ReplicaEvent } from "./folded_log.ts";

export interface CheckpointKeeperOptions {
  readonly log: LogPort;
  readonly clock: Clock;
  readonly stream: string;
  readonly checkpointStream: string;
  readonly folded: FoldedLog;
  /** Writes checkpoints while this is a member. */
  readonly instanceId: string;
  readonly everyRecords: number;
  readonly maxAgeMs: number;
  /** Whether the fold is at the log's end, as far as is known. */
  readonly isCaughtUp: () => boolean;
}

/** The own state where all instances look at theirs, so that they compare. */
interface BoundaryState {
  readonly nextOffset: number;
  readonly text: string;
}

interface SeenCheckpoint {
  readonly nextOffset: number;
  readonly firstRecord: number;
  readonly seenAt: number;
  isRetained: boolean;
}

/** How often it looks whether one is due and still there. */
const LOOK_EVERY_MS = 2_000;
const PARTS_PER_READ = 64;
/** Digests of own states kept to compare with. */
const KEPT_DIGESTS = 8;

export class CheckpointKeeper {
  readonly #options: CheckpointKeeperOptions;
  readonly #collector = new CheckpointCollector();
  readonly #digests = new Map<number, string>();
  #position = 0;
  #firstOffset = 0;
  #newest: SeenCheckpoint | undefined;
  #boundary: BoundaryState | undefined;
  #dueSince: number | undefined;
  #writings = 0;
  #bytes = 0;

  constructor(options: CheckpointKeeperOptions) {
    this.#options = options;
    options.folded.watch((event) => this.#handleEvent(event));
  }

  /** Bytes and checkpoints written since the start. */
  get statistics(): { readonly checkpoints: number; readonly bytes: number } {
    return { checkpoints: this.#writings, bytes: this.#bytes };
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      const isRead = await this.#readCheckpoints(signal);
      if (isRead && await this.#checkRetention(signal)) {
        await this.#writeIfDue(signal);
      }
      await clock.sleep(LOOK_EVERY_MS, signal);
    }
  }

  /** Reads to the end of the checkpoint stream; false where the log fails. */
  async #readCheckpoints(signal: AbortSignal): Promise<boolean> {
    const { log, checkpointStream } = this.#options;
    for (;;) {
      const batch = await log.read(checkpointStream, this.#position, {
        maxRecords: PARTS_PER_READ,
        signal,
      });
      if (!batch.ok && batch.val.kind === "expired") {
        this.#position = Math.max(this.#position, batch.val.firstOffset);
        continue;
      }
      if (!batch.ok) {
        return false;
      }
      for (const record of batch.val.records) {
        this.#collect(record.offset, record.payload);
        this.#position = record.offset + 1;
      }
      if (batch.val.records.length === 0) {
        return true;
      }
    }
  }

  #collect(offset: number, payload: string): void {
    const collected = this.#collector.add(offset, payload);
    switch (collected.kind) {
      case "nothing-yet":
        return;
      case "broken":
        this.#options.folded.report({
          kind: "checkpoint-broken",
          checkpoint: collected.id,
        });
        return;
      case "complete":
        this.#compareState(collected.checkpoint);
        this.#recordSeen(collected.checkpoint);
        return;
    }
  }

  /** The fold is deterministic, so equal offsets must give equal states. */
  #compareState(checkpoint: Checkpoint): void {
    const { folded } = this.#options;
    const { nextOffset, id, digest } = checkpoint;
    const own = folded.nextOffset === nextOffset
      ? hashState(folded.fold.serialize())
      : this.#digests.get(nextOffset);
    if (own !== undefined && own !== digest) {
      folded.report({ kind: "replicas-diverged", nextOffset, checkpoint: id });
    }
  }

  #recordSeen(checkpoint: Checkpoint): void {
    const isNewer = this.#newest === undefined ||
      checkpoint.nextOffset >= this.#newest.nextOffset;
    if (isNewer) {
      this.#newest = {
        nextOffset: checkpoint.nextOffset,
        firstRecord: checkpoint.firstRecord,
        seenAt: this.#options.clock.readMs(),
        isRetained: true,
      };
    }
  }

  /** Whether the log still has the newest checkpoint and what follows it. */
  async #checkRetention(signal: AbortSignal): Promise<boolean> {
    const { log, stream, checkpointStream } = this.#options;
    const options = { maxRecords: 1, signal };
    const oldest = await log.read(stream, 0, options);
    if (oldest.ok) {
      this.#firstOffset = 0;
    } else if (oldest.val.kind === "expired") {
      this.#firstOffset = oldest.val.firstOffset;
    } else {
      return false;
    }
    if (this.#newest === undefined) {
      return true;
    }
    const { firstRecord, nextOffset } = this.#newest;
    const part = await log.read(checkpointStream, firstRecord, options);
    if (!part.ok && part.val.kind !== "expired") {
      return false;
    }
    this.#newest.isRetained = part.ok && nextOffset >= this.#firstOffset;
    return true;
  }

  async #writeIfDue(signal: AbortSignal): Promise<void> {
    const { clock, folded, everyRecords, maxAgeMs } = this.#options;
    const now = clock.readMs();
    const newest = this.#newest;
    const isDue = isCheckpointDue({
      nextOffset: folded.nextOffset,
      firstOffset: this.#firstOffset,
      newest: newest && { ...newest, ageMs: now - newest.seenAt },
      everyRecords,
      maxAgeMs,
    });
    // Failure: an instance that has fallen behind writes its old state. It
    // would do no harm, but it would not help either.
    if (!isDue || !this.#options.isCaughtUp()) {
      this.#dueSince = undefined;
      return;
    }
    this.#dueSince ??= now;
    const delay = computeTurnDelay(
      this.#options.instanceId,
      folded.fold.listMembers().map((member) => member.instance.id),
      newest?.nextOffset ?? 0,
    );
    if (delay !== undefined && now - this.#dueSince >= delay) {
      await this.#write(signal);
    }
  }

  /** One that breaks off half-way is nothing; the next look begins another. */
  async #write(signal: AbortSignal): Promise<void> {
    const { folded, log, checkpointStream, instanceId } = this.#options;
    const { nextOffset, text } = this.#chooseState();
    this.#writings++;
    const id = `${instanceId}/${this.#writings}`;
    const parts = splitCheckpoint(text, { id, nextOffset });
    for (const part of parts) {
      const appended = await log.append(checkpointStream, part);
      if (!appended.ok || signal.aborted) {
        return;
      }
      this.#bytes += Buffer.byteLength(part);
    }
    this.#dueSince = undefined;
    folded.report({ kind: "checkpoint-written", nextOffset });
  }

  /** The last boundary where that helps; else the state as it is now. */
  #chooseState(): BoundaryState {
    const { folded } = this.#options;
    const newest = this.#newest;
    const boundary = this.#boundary;
    const isHelpful = newest?.isRetained === true && boundary !== undefined &&
      boundary.nextOffset > newest.nextOffset;
    return isHelpful
      ? boundary
      : { nextOffset: folded.nextOffset, text: folded.fold.serialize() };
  }

  #handleEvent(event: ReplicaEvent): void {
    const { folded, everyRecords } = this.#options;
    const { nextOffset } = folded;
    if (event.kind !== "folded" || nextOffset % everyRecords !== 0) {
      return;
    }
    const text = folded.fold.serialize();
    this.#boundary = { nextOffset, text };
    this.#digests.set(nextOffset, hashState(text));
    if (this.#digests.size > KEPT_DIGESTS) {
      const oldest = this.#digests.keys().next().value;
      this.#digests.delete(oldest!);
    }
  }
}
