/**
 * One instance's replica of the log: the folded state, appends whose verdict
 * is read back, and checkpoints. docs/design/append-path.md and
 * docs/design/checkpoints-and-retention.md give the reasons.
 */
import type { Clock, Random } from "@lentilspur/ports/clock";
import type { LogPort } from "@lentilspur/ports/log";
import type { Entry } from "@lentilspur/state/entries";
import type { StateView } from "@lentilspur/state/view";
import type { AppendStatistics } from "./append_rate.ts";
import { CheckpointKeeper } from "./checkpoint_keeper.ts";
import { FoldedLog, type ReplicaListener } from "./folded_log.ts";
import { LogTail } from "./log_tail.ts";
import {
  type SubmitOptions,
  type SubmitResult,
  Submitter,
} from "./submitter.ts";

export interface ReplicaOptions {
  readonly log: LogPort;
  readonly clock: Clock;
  readonly random: Random;
  readonly stream: string;
  readonly checkpointStream: string;
  /** Absent for one that only reads and submits, such as a command. */
  readonly checkpoints?: CheckpointOptions;
}

export interface CheckpointOptions {
  /** Writes checkpoints while this instance is a member. */
  readonly instanceId: string;
  readonly everyRecords?: number;
  readonly maxAgeMs?: number;
}

const DEFAULT_EVERY_RECORDS = 1_000;
/** A sixth of an hour; a log that keeps records for less needs less. */
const DEFAULT_MAX_AGE_MS = 10 * 60_000;

export interface ReplicaStatistics extends AppendStatistics {
  readonly checkpoints: number;
  readonly checkpointBytes: number;
}

export class Replica {
  readonly #clock: Clock;
  readonly #folded = new FoldedLog();
  readonly #tail: LogTail;
  readonly #submitter: Submitter;
  readonly #keeper: CheckpointKeeper | undefined;

  constructor(options: ReplicaOptions) {
    this.#clock = options.clock;
    const folded = this.#folded;
    this.#tail = new LogTail({ ...options, folded });
    this.#submitter = new Submitter({ ...options, folded });
    const { checkpoints } = options;
    this.#keeper = checkpoints && new CheckpointKeeper({
      ...options,
      folded,
      instanceId: checkpoints.instanceId,
      everyRecords: checkpoints.everyRecords ?? DEFAULT_EVERY_RECORDS,
      maxAgeMs: checkpoints.maxAgeMs ?? DEFAULT_MAX_AGE_MS,
      isCaughtUp: () => this.isCaughtUp,
    });
  }

  /** The state as folded now. Ask again after each wait, do not keep it. */
  get view(): StateView {
    return this.#folded.fold;
  }

  /** Whether everything that the log had at its last answer is folded. */
  get isCaughtUp(): boolean {
    return this.#tail.isCaughtUp;
  }

  /** When the log last answered a read, on this instance's clock. */
  get lastProgressAt(): number {
    return this.#tail.lastProgressAt;
  }

  /** When the last read that the log answered had been sent. */
  get lastReadSentAt(): number {
    return this.#tail.lastReadSentAt;
  }

  get statistics(): ReplicaStatistics {
    const written = this.#keeper?.statistics;
    return {
      ...this.#submitter.statistics,
      checkpoints: written?.checkpoints ?? 0,
      checkpointBytes: written?.bytes ?? 0,
    };
  }

  /** Follows the log until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.#tail.run(signal),
      this.#keeper?.run(signal),
    ]);
  }

  /** Appends and reads back; see `Submitter`. Needs `run` to be running. */
  submit(
    entries: readonly Entry[],
    options: SubmitOptions,
  ): Promise<SubmitResult> {
    return this.#submitter.submit(entries, options);
  }

  /** Calls `listener` with every event; gives a function that ends this. */
  watch(listener: ReplicaListener): () => void {
    return this.#folded.watch(listener);
  }

  /** Resolves after the next change of the state, or after `maxMs`. */
  async waitForChange(maxMs: number, signal?: AbortSignal): Promise<void> {
    const done = new AbortController();
    const ended = signal === undefined
      ? done.signal
      : AbortSignal.any([done.signal, signal]);
    const change = this.#folded.waitForChange(ended);
    await Promise.race([change, this.#clock.sleep(maxMs, ended)]);
    done.abort();
  }

  /** Resolves once the record at `offset` is folded, or `signal` aborts. */
  async waitForOffset(offset: number, signal?: AbortSignal): Promise<void> {
    while (this.#folded.nextOffset <= offset && signal?.aborted !== true) {
      await this.#folded.waitForChange(signal);
    }
  }

  /** Resolves once it has caught up with the log, or `signal` aborts. */
  async waitUntilCaughtUp(signal?: AbortSignal): Promise<void> {
    while (!this.isCaughtUp && signal?.aborted !== true) {
      await this.#folded.waitForChange(signal);
    }
  }
}
