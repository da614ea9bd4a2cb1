/**
 * The platform's log in memory. One `FakeLog` holds the records; each instance
 * reaches it through a link of its own, which can be cut, slow, or lose the
 * answers to appends that take effect, at once or late.
 */
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { Clock } from "./clock.ts";
import type {
  LogBatch,
  LogFailure,
  LogPort,
  LogRecord,
  ReadOptions,
} from "./log.ts";

export interface FakeLogOptions {
  /** Records that a stream keeps; all when absent. */
  readonly retainRecords?: number;
  /** How long a stream keeps a record; for ever when absent. */
  readonly retainMs?: number;
}

export interface StreamSize {
  readonly records: number;
  readonly bytes: number;
}

interface StoredRecord extends LogRecord {
  readonly appendedAt: number;
}

interface Stream {
  /** Everything ever appended, for an oracle to read. */
  readonly records: StoredRecord[];
  firstOffset: number;
  /** Wakes the reads that wait for a record. */
  waiting: (() => void)[];
}

const DEFAULT_MAX_RECORDS = 1_000;

export class FakeLog {
  readonly #clock: Clock;
  readonly #options: FakeLogOptions;
  readonly #streams = new Map<string, Stream>();
  #isDown = false;

  constructor(clock: Clock, options: FakeLogOptions = {}) {
    this.#clock = clock;
    this.#options = options;
  }

  get isDown(): boolean {
    return this.#isDown;
  }

  /** While it is down, calls through every link fail after their timeout. */
  setDown(isDown: boolean): void {
    this.#isDown = isDown;
  }

  createLink(faults: Partial<LogFaults> = {}): FakeLogLink {
    return new FakeLogLink(this, this.#clock, faults);
  }

  /** Appends at once, whatever the state of the links; gives the offset. */
  appendNow(stream: string, payload: string): number {
    const { records, waiting } = this.#getStream(stream);
    const offset = records.length;
    records.push({ offset, payload, appendedAt: this.#clock.readMs() });
    this.#getStream(stream).waiting = [];
    waiting.forEach((wake) => wake());
    return offset;
  }

  readNow(
    stream: string,
    fromOffset: number,
    maxRecords = DEFAULT_MAX_RECORDS,
  ): Result<LogBatch, LogFailure> {
    this.#expireRecords(stream);
    const { records, firstOffset } = this.#getStream(stream);
    if (fromOffset < firstOffset) {
      return Err({ kind: "expired", firstOffset });
    }
    const found = records
      .slice(fromOffset, fromOffset + maxRecords)
      .map(({ offset, payload }) => ({ offset, payload }));
    return Ok({ records: found, nextOffset: records.length });
  }

  /** Resolves once the stream has a record at `offset`, or after `waitMs`. */
  async waitForRecord(
    stream: string,
    offset: number,
    options: { readonly waitMs: number; readonly signal?: AbortSignal },
  ): Promise<void> {
    const state = this.#getStream(stream);
    if (offset < state.records.length || options.waitMs <= 0) {
      return;
    }
    const done = new AbortController();
    const stop = () => done.abort();
    options.signal?.addEventListener("abort", stop, { once: true });
    state.waiting.push(stop);
    if (!options.signal?.aborted) {
      await this.#clock.sleep(options.waitMs, done.signal);
    }
    options.signal?.removeEventListener("abort", stop);
    state.waiting = state.waiting.filter((wake) => wake !== stop);
  }

  /** Forgets the records before `offset`, as the end of retention does. */
  expireBefore(stream: string, offset: number): void {
    const state = this.#getStream(stream);
    const bounded = Math.min(offset, state.records.length);
    state.firstOffset = Math.max(state.firstOffset, bounded);
  }

  /** Everything ever appended, expired or not. */
  listRecords(stream: string): readonly LogRecord[] {
    return this.#getStream(stream).records;
  }

  /** How many records and payload bytes each stream has taken so far. */
  describe(): Readonly<Record<string, StreamSize>> {
    const sizes = [...this.#streams].map(([name, { records }]) => {
      const bytes = records.reduce(
        (sum, { payload }) => sum + payload.length,
        0,
      );
      return [name, { records: records.length, bytes }] as const;
    });
    return Object.fromEntries(sizes);
  }

  #expireRecords(stream: string): void {
    const { retainRecords, retainMs } = this.#options;
    const state = this.#getStream(stream);
    if (retainRecords !== undefined) {
      this.expireBefore(stream, state.records.length - retainRecords);
    }
    const oldest = this.#clock.readMs() - (retainMs ?? Infinity);
    let first = state.firstOffset;
    while ((state.records[first]?.appendedAt ?? Infinity) < oldest) {
      first++;
    }
    this.expireBefore(stream, first);
  }

  #getStream(name: string): Stream {
    const known = this.#streams.get(name);
    if (known !== undefined) {
      return known;
    }
    const stream: Stream = { records: [], firstOffset: 0, waiting: [] };
    this.#streams.set(name, stream);
    return stream;
  }
}

/** What can go wrong between one instance and the log. */
export interface LogFaults {
  /** No call gets through; each fails after `timeoutMs`. */
  readonly isCut: boolean;
  /** From a call to its effect, and again from the effect to the answer. */
  readonly latencyMs: number;
  /** How long a caller waits for an answer that does not come. */
  readonly timeoutMs: number;
  /** The next appends take effect, but their answers are lost. */
  readonly lostAnswers: number;
  /** The next appends fail without any effect. */
  readonly lostAppends: number;
  /** The next appends fail, and take effect `lateByMs` after they were sent. */
  readonly lateAppends: number;
  readonly lateByMs: number;
}

const NO_FAULTS: LogFaults = {
  isCut: false,
  latencyMs: 1,
  timeoutMs: 2_000,
  lostAnswers: 0,
  lostAppends: 0,
  lateAppends: 0,
  lateByMs: 0,
};

type AppendFate = "answered" | "answer-lost" | "append-lost" | "late";

export class FakeLogLink implements LogPort {
  readonly #log: FakeLog;
  readonly #clock: Clock;
  #faults: LogFaults;

  constructor(log: FakeLog, clock: Clock, faults: Partial<LogFaults>) {
    this.#log = log;
    this.#clock = clock;
    this.#faults = { ...NO_FAULTS, ...faults };
  }

  get faults(): LogFaults {
    return this.#faults;
  }

  setFaults(faults: Partial<LogFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  async append(
    stream: string,
    payload: string,
  ): Promise<Result<number, LogFailure>> {
    const fate = this.#drawFate();
    const { latencyMs, lateByMs } = this.#faults;
    if (fate === "late") {
      void this.#appendLate(stream, payload, lateByMs);
    }
    if (fate === "late" || fate === "append-lost") {
      return await this.#failAfterTimeout();
    }
    await this.#clock.sleep(latencyMs);
    if (this.#isCutOff()) {
      return await this.#failAfterTimeout();
    }
    const offset = this.#log.appendNow(stream, payload);
    await this.#clock.sleep(latencyMs);
    if (fate === "answer-lost" || this.#isCutOff()) {
      return await this.#failAfterTimeout();
    }
    return Ok(offset);
  }

  async read(
    stream: string,
    fromOffset: number,
    options: ReadOptions = {},
  ): Promise<Result<LogBatch, LogFailure>> {
    const { latencyMs } = this.#faults;
    await this.#clock.sleep(latencyMs, options.signal);
    if (this.#isCutOff()) {
      return await this.#failAfterTimeout(options.signal);
    }
    await this.#log.waitForRecord(stream, fromOffset, {
      waitMs: options.waitMs ?? 0,
      ...(options.signal === undefined ? {} : { signal: options.signal }),
    });
    const batch = this.#log.readNow(stream, fromOffset, options.maxRecords);
    await this.#clock.sleep(latencyMs, options.signal);
    return this.#isCutOff()
      ? await this.#failAfterTimeout(options.signal)
      : batch;
  }

  async #appendLate(
    stream: string,
    payload: string,
    byMs: number,
  ): Promise<void> {
    await this.#clock.sleep(byMs);
    this.#log.appendNow(stream, payload);
  }

  async #failAfterTimeout(
    signal?: AbortSignal,
  ): Promise<Result<never, LogFailure>> {
    await this.#clock.sleep(this.#faults.timeoutMs, signal);
    return Err({ kind: "unavailable", message: "The log did not answer" });
  }

  #isCutOff(): boolean {
    return this.#faults.isCut || this.#log.isDown;
  }

  #drawFate(): AppendFate {
    const { lostAnswers, lostAppends, lateAppends } = this.#faults;
    if (lostAnswers > 0) {
      this.setFaults({ lostAnswers: lostAnswers - 1 });
      return "answer-lost";
    }
    if (lostAppends > 0) {
      this.setFaults({ lostAppends: lostAppends - 1 });
      return "append-lost";
    }
    if (lateAppends > 0) {
      this.setFaults({ lateAppends: lateAppends - 1 });
      return "late";
    }
    return "answered";
  }
}
