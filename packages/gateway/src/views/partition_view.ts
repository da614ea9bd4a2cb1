/**
 * Follows one partition of the store and keeps the newest record of each key.
 *
 * Copes with the ways in which a store fails its readers. The store may be
 * down, slow or refusing this instance. It may have dropped its history, or come
 * back from an older copy, so that missed changes are found only by comparing
 * the newest records with the known ones. A response may belong to a call sent long ago, so the state
 * counts as confirmed from the time at which the call was sent.
 */
import type { Result } from "@lentilspur/outcomes/result";
import type { Clock } from "@lentilspur/ports/clock";
import type {
  Partition,
  Store,
  StoreFailure,
  StoreReadResult,
  StoreRecord,
} from "@lentilspur/ports/store";
import {
  getEra,
  getIndex,
  isOfEarlierEra,
} from "@lentilspur/ports/store_offset";
import { sleepUntilTick } from "@lentilspur/ports/tick";
import { ReadWatchdog } from "./read_watchdog.ts";

export type PartitionViewEvent =
  | {
    readonly kind: "lost";
    readonly partition: Partition;
    readonly cause: StoreFailure["kind"];
    readonly message: string;
  }
  | {
    readonly kind: "regained";
    readonly partition: Partition;
    readonly afterMs: number;
  }
  | { readonly kind: "history-lost"; readonly partition: Partition }
  | {
    /** The store came back from an older copy; its newest records were read. */
    readonly kind: "restored";
    readonly partition: Partition;
    readonly era: number;
    /** Known keys without a record, or with an older one. */
    readonly lostKeys: number;
  }
  | {
    /** A read was abandoned because newer records exist; a new read starts. */
    readonly kind: "read-abandoned";
    readonly partition: Partition;
    readonly afterMs: number;
    /** Bytes of the abandoned response, which have to be transferred again. */
    readonly receivedBytes: number;
  };

export interface PartitionViewOptions {
  readonly clock: Clock;
  readonly store: Store;
  readonly partition: Partition;
  readonly getPollingPolicy: () => PollingPolicy;
  /** Whether only the newest record of a key is needed; defaults to false. */
  readonly isNewestOnly?: boolean;
  /**
   * Keys that are missing after a restore of the store are removed only if they
   * are still missing after this time, in which their writers write them again;
   * defaults to 0.
   */
  readonly restoreGraceMs?: number;
  /** Called for each record in order; an empty value removes the key. */
  readonly apply: (record: StoreRecord) => void;
  readonly observe: (event: PartitionViewEvent) => void;
  /** Called after the newest record of each key has been read and applied. */
  readonly onSnapshot?: () => void;
  /** Called after each read that continues from a known offset. */
  readonly onRead?: (batch: RecordBatch) => void;
}

/**
 * How often a partition is read; the policy changes with the duties of this
 * instance.
 */
export interface PollingPolicy {
  /**
   * Pause after each successful read. Each call has a cost, and a pause lets
   * one call return many records.
   */
  readonly pollDelayMs: number;
  /** How long the store may hold a read open until there is a record. */
  readonly waitMs: number;
  /**
   * How long records or confirmations from peers, or this instance's own
   * appends, replace a read; 0: they never do.
   */
  readonly peerDataTtlMs: number;
  /** Maximum pause after a failed read. */
  readonly maxBackoffMs: number;
}

/** The records of a partition between two offsets. */
export interface RecordBatch {
  readonly base: number;
  readonly end: number;
  /** Age of this state. */
  readonly ageMs: number;
  /** Time since the end of the store's last outage; null if there was none. */
  readonly sinceOutageMs: number | null;
  /** Records that change nothing may be omitted. */
  readonly records: readonly StoreRecord[];
}

/**
 * Each failed read in a row doubles the backoff before it is used, so the first
 * pause is twice this value.
 */
const INITIAL_BACKOFF_MS = 100;
/** A change of the polling policy takes effect within this time. */
const POLICY_CHECK_MS = 250;
/**
 * A read that receives no data for this long while newer records exist is
 * abandoned: its connection has gone silent, or a store that has just recovered
 * still holds the read open. A slow store responds in 240 ms.
 */
const MIN_STALL_TIMEOUT_MS = 400;
/**
 * Each abandoned read doubles the stall timeout, up to this maximum. A store
 * whose link is saturated begins its responses late, and with a fixed timeout
 * all instances would send it the same read again and again.
 */
const MAX_STALL_TIMEOUT_MS = 1_600;

/** Used in place of an offset to read the newest record of each key. */
const NEWEST = "newest";

export class PartitionView {
  readonly #options: PartitionViewOptions;
  readonly #newestRecords = new Map<string, StoreRecord>();
  #end = -1;
  #storeConfirmedAtMs = -Infinity;
  #indirectlyConfirmedAtMs = -Infinity;
  #lostAtMs: number | null = null;
  #regainedAtMs = -Infinity;
  #backoffMs = INITIAL_BACKOFF_MS;
  #stallTimeoutMs = MIN_STALL_TIMEOUT_MS;
  #wake: (() => void) | undefined;
  #isScheduled = false;
  #isAbandoned = false;
  /** Whether the store was restored, so that reads cannot continue at `#end`. */
  #isOutdated = false;
  /** When missing keys are removed after a restore; Infinity if none is. */
  #removesMissingAtMs = Infinity;

  constructor(options: PartitionViewOptions) {
    this.#options = options;
  }

  /**
   * Whether this view holds a state that reads can continue from. False before
   * the first read, and after the store has dropped its history until the
   * newest records have been read.
   */
  get isLoaded(): boolean {
    return this.#end >= 0;
  }

  /** The offset up to which all records have been applied. */
  get end(): number {
    return this.#end;
  }

  /**
   * When a read last confirmed that this view is current, by the local clock.
   * Indirect confirmations do not count, because keepers rely on this time.
   */
  get storeConfirmedAtMs(): number {
    return this.#storeConfirmedAtMs;
  }

  /**
   * When a read or an indirect confirmation last showed that this view is
   * current.
   */
  get currentAsOfMs(): number {
    return Math.max(this.#storeConfirmedAtMs, this.#indirectlyConfirmedAtMs);
  }

  /**
   * When the store last responded again after an outage, by the local clock.
   */
  get regainedAtMs(): number {
    return this.#regainedAtMs;
  }

  get hasLostStore(): boolean {
    return this.#lostAtMs !== null;
  }

  getRecord(key: string): StoreRecord | undefined {
    return this.#newestRecords.get(key);
  }

  /**
   * Records that the view was current at this time, confirmed without a read:
   * a peer reported an unchanged end or sent records, or this instance wrote
   * the newest record itself.
   */
  recordIndirectConfirmation(atMs: number): void {
    this.#indirectlyConfirmedAtMs = Math.max(
      this.#indirectlyConfirmedAtMs,
      atMs,
    );
  }

  /**
   * Requests a read because newer records exist. The next read starts right
   * after the poll delay, and a read in flight is abandoned once it stalls.
   * Otherwise a read that a recovering store holds open would hide a new
   * configuration for the whole wait.
   */
  scheduleRead(): void {
    this.#isScheduled = true;
    this.#wake?.();
  }

  /**
   * Applies records that another instance has read or that this one has
   * written, unless records before them are missing here.
   */
  applyBatch(batch: RecordBatch): void {
    if (batch.end < this.#end || !this.isLoaded) {
      return;
    }
    if (batch.base > this.#end) {
      this.scheduleRead();
      return;
    }
    const nowMs = this.#options.clock.readMs();
    if (batch.sinceOutageMs !== null) {
      const regainedAtMs = nowMs - batch.sinceOutageMs;
      this.#regainedAtMs = Math.max(this.#regainedAtMs, regainedAtMs);
    }
    this.recordIndirectConfirmation(nowMs - batch.ageMs);
    for (const record of batch.records) {
      if (record.offset >= this.#end) {
        this.#applyRecord(record);
      }
    }
    this.#end = batch.end;
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    signal.addEventListener("abort", () => this.#wake?.(), { once: true });
    while (!signal.aborted) {
      this.#isScheduled = false;
      const pauseMs = await this.#readOnce();
      await clock.sleep(pauseMs, signal);
      await this.#waitUntilDue(signal);
    }
  }

  /** Skips reads for as long as indirect confirmations replace them. */
  async #waitUntilDue(signal: AbortSignal): Promise<void> {
    const { clock, getPollingPolicy } = this.#options;
    while (
      !signal.aborted && !this.#isScheduled && !this.hasLostStore &&
      this.isLoaded
    ) {
      const dueAtMs = Math.min(
        this.currentAsOfMs + getPollingPolicy().peerDataTtlMs,
        this.#removesMissingAtMs,
      );
      const leftMs = dueAtMs - clock.readMs();
      if (leftMs <= 0) {
        return;
      }
      const wake = new AbortController();
      this.#wake = () => wake.abort();
      await (leftMs < POLICY_CHECK_MS
        ? clock.sleep(leftMs, wake.signal)
        : sleepUntilTick(clock, POLICY_CHECK_MS, wake.signal));
      this.#wake = undefined;
    }
  }

  /** Reads once and returns the pause before the next read. */
  async #readOnce(): Promise<number> {
    const { clock, getPollingPolicy } = this.#options;
    const { pollDelayMs } = getPollingPolicy();
    const sentAtMs = clock.readMs();
    const base = this.#chooseStart();
    const watchdog = new ReadWatchdog(clock, this.#stallTimeoutMs);
    this.#wake = () => watchdog.recordPendingChange();
    const read = await watchdog.wait(this.#startRead(base, watchdog));
    this.#wake = undefined;
    this.#isAbandoned = read === undefined;
    if (read === undefined) {
      return this.#handleAbandoned(watchdog, sentAtMs);
    }
    if (!read.ok) {
      return this.#handleFailure(read.val);
    }
    this.#stallTimeoutMs = MIN_STALL_TIMEOUT_MS;
    this.#recordStoreResponse(sentAtMs);
    if (base === NEWEST) {
      this.#applySnapshot(read.val);
    } else {
      this.#applyRead(base, read.val.records, sentAtMs);
    }
    return pollDelayMs;
  }

  /**
   * Chooses the offset at which the next read starts, or the newest records. An
   * instance that was cut off from the store may have missed a dozen
   * configurations of 216 kB each. On a link of 7 Mbit/s, reading all of them
   * takes 3 s, and only the newest one is needed.
   */
  #chooseStart(): number | typeof NEWEST {
    const readsNewest = this.#options.isNewestOnly === true &&
      this.#hasLastReadFailed();
    const mayRemove = this.#options.clock.readMs() >= this.#removesMissingAtMs;
    return !this.isLoaded || this.#isOutdated || readsNewest || mayRemove
      ? NEWEST
      : this.#end;
  }

  /** Whether the last read failed or was abandoned. */
  #hasLastReadFailed(): boolean {
    return this.hasLostStore || this.#isAbandoned;
  }

  #startRead(
    base: number | typeof NEWEST,
    watchdog: ReadWatchdog,
  ): Promise<Result<StoreReadResult, StoreFailure>> {
    const { store, partition, getPollingPolicy } = this.#options;
    const onData = (bytes: number): void => watchdog.recordData(bytes);
    const { signal } = watchdog;
    if (base === NEWEST) {
      return store.readNewest(partition, { onData, signal });
    }
    // During an outage, reads return at once, so that a short call detects the
    // end of the outage.
    const waitMs = this.#hasLastReadFailed() ? 0 : getPollingPolicy().waitMs;
    return store.read({ partition, from: base, waitMs, onData, signal });
  }

  #handleAbandoned({ receivedBytes }: ReadWatchdog, sentAtMs: number): number {
    const { clock, partition, observe } = this.#options;
    this.#stallTimeoutMs = Math.min(
      MAX_STALL_TIMEOUT_MS,
      2 * this.#stallTimeoutMs,
    );
    const afterMs = clock.readMs() - sentAtMs;
    observe({ kind: "read-abandoned", partition, afterMs, receivedBytes });
    return 0;
  }

  /**
   * Applies the records of a read, except those that peers sent while the read
   * was in flight.
   */
  #applyRead(
    base: number,
    records: readonly StoreRecord[],
    sentAtMs: number,
  ): void {
    const { clock, onRead } = this.#options;
    const nowMs = clock.readMs();
    const end = Math.max(base, (records.at(-1)?.offset ?? -1) + 1);
    onRead?.({
      base,
      end,
      ageMs: nowMs - sentAtMs,
      sinceOutageMs: Number.isFinite(this.#regainedAtMs)
        ? nowMs - this.#regainedAtMs
        : null,
      records,
    });
    for (const record of records) {
      if (record.offset >= this.#end) {
        this.#applyRecord(record);
      }
    }
    this.#end = Math.max(this.#end, end);
  }

  #handleFailure(failure: StoreFailure): number {
    const { clock, partition, observe, getPollingPolicy } = this.#options;
    if (failure.kind === "expired") {
      observe({ kind: "history-lost", partition });
      this.#end = -1;
      return 0;
    }
    if (failure.kind === "restored") {
      this.#isOutdated = true;
      return 0;
    }
    if (this.#lostAtMs === null) {
      this.#lostAtMs = clock.readMs();
      const message = "message" in failure ? failure.message : failure.kind;
      observe({ kind: "lost", partition, cause: failure.kind, message });
    }
    this.#backoffMs = Math.min(
      getPollingPolicy().maxBackoffMs,
      2 * this.#backoffMs,
    );
    return this.#backoffMs;
  }

  #recordStoreResponse(sentAtMs: number): void {
    const { clock, partition, observe } = this.#options;
    this.#storeConfirmedAtMs = Math.max(this.#storeConfirmedAtMs, sentAtMs);
    this.#backoffMs = INITIAL_BACKOFF_MS;
    if (this.#lostAtMs !== null) {
      const nowMs = clock.readMs();
      const afterMs = nowMs - this.#lostAtMs;
      this.#lostAtMs = null;
      this.#regainedAtMs = nowMs;
      observe({ kind: "regained", partition, afterMs });
    }
  }

  #applySnapshot({ records, end }: StoreReadResult): void {
    const isRestored = this.isLoaded && isOfEarlierEra(this.#end, end);
    this.#isOutdated = false;
    this.#end = Math.max(this.#end, end);
    const nowMs = this.#options.clock.readMs();
    if (isRestored) {
      this.#regainedAtMs = nowMs;
      const { partition, observe, restoreGraceMs = 0 } = this.#options;
      this.#removesMissingAtMs = nowMs + restoreGraceMs;
      const lostKeys = countLostKeys(this.#newestRecords, records);
      observe({ kind: "restored", partition, era: getEra(end), lostKeys });
    }
    const isInGrace = this.#removesMissingAtMs !== Infinity &&
      nowMs < this.#removesMissingAtMs;
    if (!isInGrace) {
      this.#removesMissingAtMs = Infinity;
      this.#removeMissing(records);
    }
    this.#applyNewer(records);
    this.#options.onSnapshot?.();
  }

  /** Removes known keys that were deleted while this instance did not read. */
  #removeMissing(records: readonly StoreRecord[]): void {
    const presentKeys = new Set(records.map((record) => record.key));
    for (const known of [...this.#newestRecords.values()]) {
      if (!presentKeys.has(known.key)) {
        this.#applyRecord({ ...known, value: "" });
      }
    }
  }

  #applyNewer(records: readonly StoreRecord[]): void {
    for (const record of records) {
      const known = this.#newestRecords.get(record.key);
      if (known === undefined || known.offset < record.offset) {
        this.#applyRecord(record);
      }
    }
  }

  #applyRecord(record: StoreRecord): void {
    if (record.value === "") {
      this.#newestRecords.delete(record.key);
    } else {
      this.#newestRecords.set(record.key, record);
    }
    this.#options.apply(record);
  }
}

/** Counts the known keys that have no record any more, or only an older one. */
function countLostKeys(
  known: ReadonlyMap<string, StoreRecord>,
  records: readonly StoreRecord[],
): number {
  const indexes = new Map(
    records.map(({ key, offset }) => [key, getIndex(offset)]),
  );
  return [...known.values()].filter(({ key, offset }) =>
    (indexes.get(key) ?? -1) < getIndex(offset)
  ).length;
}
