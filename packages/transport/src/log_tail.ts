/**
 * Follows the log: starts at the newest checkpoint, reads on with long polls,
 * and folds each record once and in order.
 */
import type { Clock, Random } from "@lentilspur/ports/clock";
import type { LogBatch, LogPort } from "@lentilspur/ports/log";
import { Backoff } from "./backoff.ts";
import { fetchNewestCheckpoint } from "./checkpoint_reader.ts";
import type { FoldedLog } from "./folded_log.ts";

export interface LogTailOptions {
  readonly log: LogPort;
  readonly clock: Clock;
  readonly random: Random;
  readonly stream: string;
  readonly checkpointStream: string;
  readonly folded: FoldedLog;
}

/**
 * How long the log may hold a read open. A connection that goes silent costs
 * this and one read timeout before a fresh one is opened, which keeps an
 * accepted configuration within its 5 s.
 */
const POLL_MS = 1_000;
/** Records folded before other work of the process gets its turn. */
const MAX_RECORDS = 200;
/** Pause after an empty answer, in case the log does not hold reads open. */
const EMPTY_PAUSE_MS = 5;

export class LogTail {
  readonly #options: LogTailOptions;
  readonly #backoff: Backoff;
  #isCaughtUp = false;
  #hasStarted = false;
  #lastProgressAt: number;
  #lastReadSentAt = Number.NEGATIVE_INFINITY;

  constructor(options: LogTailOptions) {
    this.#options = options;
    this.#backoff = new Backoff(options.clock, options.random);
    this.#lastProgressAt = options.clock.readMs();
  }

  /** Whether everything that the log had at its last answer is folded. */
  get isCaughtUp(): boolean {
    return this.#isCaughtUp;
  }

  /** When the log last answered a read of records. */
  get lastProgressAt(): number {
    return this.#lastProgressAt;
  }

  /**
   * When the last read that was answered had been sent: what it showed was so
   * then or later. A process that was paused between a read and its answer
   * would take the answer for fresh if it went by its arrival.
   */
  get lastReadSentAt(): number {
    return this.#lastReadSentAt;
  }

  /** Follows the log until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.#hasStarted) {
        await this.#readOnce(signal);
      } else {
        await this.#startFromCheckpoint(signal);
      }
    }
  }

  async #startFromCheckpoint(signal: AbortSignal): Promise<void> {
    const { log, checkpointStream, folded } = this.#options;
    const found = await fetchNewestCheckpoint(log, checkpointStream, signal);
    if (!found.ok) {
      await this.#backoff.wait(signal);
      return;
    }
    if (found.val !== undefined) {
      folded.restore(found.val.fold);
    }
    this.#hasStarted = true;
    this.#backoff.reset();
  }

  async #readOnce(signal: AbortSignal): Promise<void> {
    const { log, stream, folded, clock } = this.#options;
    const sentAt = clock.readMs();
    const batch = await log.read(stream, folded.nextOffset, {
      maxRecords: MAX_RECORDS,
      waitMs: this.#isCaughtUp ? POLL_MS : 0,
      signal,
    });
    if (batch.ok) {
      await this.#applyBatch(batch.val, sentAt, signal);
      return;
    }
    if (batch.val.kind === "expired") {
      await this.#restoreAhead(batch.val.firstOffset, signal);
      return;
    }
    await this.#backoff.wait(signal);
  }

  async #applyBatch(
    batch: LogBatch,
    sentAt: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { folded, clock } = this.#options;
    if (batch.nextOffset < folded.nextOffset) {
      // Failure: the platform restored its log from an older copy. Offsets
      // would be given out twice and fencing tokens with them, so nothing is
      // folded until the log is past what was read from it before.
      const { nextOffset } = batch;
      folded.report({ kind: "log-regressed", nextOffset });
      await this.#backoff.wait(signal);
      return;
    }
    for (const record of batch.records) {
      // A record that was skipped or comes again is read anew next time.
      if (record.offset !== folded.nextOffset) {
        break;
      }
      folded.apply(record);
    }
    this.#isCaughtUp = folded.nextOffset >= batch.nextOffset;
    this.#lastProgressAt = clock.readMs();
    this.#lastReadSentAt = sentAt;
    this.#backoff.reset();
    folded.sendChange();
    if (batch.records.length === 0) {
      await clock.sleep(EMPTY_PAUSE_MS, signal);
    }
  }

  /**
   * Failure: this instance was paused, or the log was down, for longer than
   * the log keeps records, and some were lost before they were folded here. It
   * goes on from a checkpoint of one that had folded them. Where there is none
   * yet, it waits, and keeps what it has.
   */
  async #restoreAhead(
    firstOffset: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { log, checkpointStream, folded } = this.#options;
    this.#isCaughtUp = false;
    const found = await fetchNewestCheckpoint(log, checkpointStream, signal);
    const fold = found.ok ? found.val?.fold : undefined;
    if (fold !== undefined && folded.restore(fold)) {
      this.#backoff.reset();
      folded.sendChange();
      return;
    }
    folded.report({ kind: "history-missing", firstOffset });
    await this.#backoff.wait(signal);
  }
}
