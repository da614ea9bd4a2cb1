/**
 * Follows one partition of the store and keeps the newest record of each key.
 *
 * Guards against the ways in which a store fails its readers: it may be down,
 * slow, or turn this instance away; its history may be gone, so that changes
 * were missed and must be found by comparing; and an answer may come from a
 * call that was sent long ago, so what is confirmed counts from the sending.
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
    /** A read was given up since others had news; it is begun anew. */
    readonly kind: "read-abandoned";
    readonly partition: Partition;
    readonly afterMs: number;
    /** Of its answer, which are read again. */
    readonly receivedBytes: number;
  };

export interface PartitionViewOptions {
  readonly clock: Clock;
  readonly store: Store;
  readonly partition: Partition;
  readonly getPollingPolicy: () => PollingPolicy;
  /** Whether a record is of no use once the key has a newer one; false if left out. */
  readonly isNewestOnly?: boolean;
  /** Called for each record in order; an empty value means that the key is gone. */
  readonly apply: (record: StoreRecord) => void;
  readonly observe: (event: PartitionViewEvent) => void;
  /** Told of each read of the partition's end. */
  readonly onRead?: (slice: RecordBatch) => void;
}

/** How often a partition is read; it may change with this instance's part. */
export interface PollingPolicy {
  /** Pause after each read; each call has a price, and many records come at once. */
  readonly pollDelayMs: number;
  /** How long a read may wait at the store for a record. */
  readonly waitMs: number;
  /** What others pass on or confirm counts as read for this long; 0: not at all. */
  readonly peerDataTtlMs: number;
  /** Longest pause between two reads that fail. */
  readonly maxBackoffMs: number;
}

/** What stands in a partition from one offset up to another. */
export interface RecordBatch {
  readonly base: number;
  readonly end: number;
  /** How long ago this was so. */
  readonly ageMs: number;
  /** How long ago the store came back, where it had been away. */
  readonly sinceOutageMs: number | null;
  /** Records without news may be left out. */
  readonly records: readonly StoreRecord[];
}

/** First pause after a failed read; each further one is twice as long. */
const MIN_BACKOFF_MS = 100;
/** A change of pace is noticed within this. */
const POLICY_CHECK_MS = 250;
/**
 * A read that stands still for this long while there is news is given up: its
 * connection has gone silent, or a store that has just come back goes on holding
 * it. A slow store answers in 240 ms.
 */
const MIN_STALL_TIMEOUT_MS = 400;
/**
 * Each read that was given up doubles it, up to this: a store with more to send
 * than it can begins its answers late, and would be asked the same again and
 * again by all.
 */
const MAX_STALL_TIMEOUT_MS = 1_600;

/** In place of an offset: the newest record of each key is read. */
const NEWEST = "newest";

export class PartitionView {
  readonly #options: PartitionViewOptions;
  readonly #newestRecords = new Map<string, StoreRecord>();
  #end = -1;
  #confirmedAtMs = -Infinity;
  #peerConfirmedAtMs = -Infinity;
  #lostAtMs: number | null = null;
  #regainedAtMs = -Infinity;
  #backoffMs = MIN_BACKOFF_MS;
  #stallTimeoutMs = MIN_STALL_TIMEOUT_MS;
  #wake: (() => void) | undefined;
  #isScheduled = false;
  #isAbandoned = false;

  constructor(options: PartitionViewOptions) {
    this.#options = options;
  }

  /** Whether the partition has been read at least once. */
  get isLoaded(): boolean {
    return this.#end >= 0;
  }

  /** The offset up to which everything has been applied. */
  get end(): number {
    return this.#end;
  }

  /**
   * The store said at this time that the partition was as known here; own clock.
   * What others say does not count: a keeper acts by this.
   */
  get storeConfirmedAtMs(): number {
    return this.#confirmedAtMs;
  }

  /** As above, by the store's word or that of others. */
  get currentAsOfMs(): number {
    return Math.max(this.#confirmedAtMs, this.#peerConfirmedAtMs);
  }

  /** When the store last answered again after it had not; own clock. */
  get regainedAtMs(): number {
    return this.#regainedAtMs;
  }

  get hasLostStore(): boolean {
    return this.#lostAtMs !== null;
  }

  getRecord(key: string): StoreRecord | undefined {
    return this.#newestRecords.get(key);
  }

  /** Another instance says that nothing has changed, or that this one wrote it. */
  recordPeerConfirmation(atMs: number): void {
    this.#peerConfirmedAtMs = Math.max(this.#peerConfirmedAtMs, atMs);
  }

  /**
   * There is something to read: the next read comes after the gap at once, and
   * a read that is on its way may not stand still any more. Without that, one
   * that a returning store held hid a configuration for the whole wait.
   */
  scheduleRead(): void {
    this.#isScheduled = true;
    this.#wake?.();
  }

  /** Takes over what another instance has read, if nothing is missing before it. */
  applyBatch(slice: RecordBatch): void {
    if (slice.end < this.#end || !this.isLoaded) {
      return;
    }
    if (slice.base > this.#end) {
      this.scheduleRead();
      return;
    }
    const nowMs = this.#options.clock.readMs();
    if (slice.sinceOutageMs !== null) {
      const regainedAtMs = nowMs - slice.sinceOutageMs;
      this.#regainedAtMs = Math.max(this.#regainedAtMs, regainedAtMs);
    }
    this.recordPeerConfirmation(nowMs - slice.ageMs);
    for (const record of slice.records) {
      if (record.offset >= this.#end) {
        this.#applyRecord(record);
      }
    }
    this.#end = slice.end;
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

  /** While others pass on what they read, there is nothing to read here. */
  async #waitUntilDue(signal: AbortSignal): Promise<void> {
    const { clock, getPollingPolicy: getPace } = this.#options;
    while (
      !signal.aborted && !this.#isScheduled && !this.hasLostStore &&
      this.isLoaded
    ) {
      const dueAtMs = this.currentAsOfMs + getPace().peerDataTtlMs;
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

  /** One read; gives the pause before the next. */
  async #readOnce(): Promise<number> {
    const { clock, getPollingPolicy: getPace } = this.#options;
    const { pollDelayMs: gapMs } = getPace();
    const sentAtMs = clock.readMs();
    const base = this.#chooseStart();
    const watch = new ReadWatchdog(clock, this.#stallTimeoutMs);
    this.#wake = () => watch.recordPendingChange();
    const read = await watch.wait(this.#startRead(base, watch));
    this.#wake = undefined;
    this.#isAbandoned = read === undefined;
    if (read === undefined) {
      return this.#handleAbandoned(watch, sentAtMs);
    }
    if (!read.ok) {
      return this.#handleFailure(read.val);
    }
    this.#stallTimeoutMs = MIN_STALL_TIMEOUT_MS;
    this.#recordStoreResponse(sentAtMs);
    if (base === NEWEST) {
      this.#mergeSnapshot(read.val.records);
      this.#end = Math.max(this.#end, read.val.end);
    } else {
      this.#applyRead(base, read.val.records, sentAtMs);
    }
    return gapMs;
  }

  /**
   * Whoever has been without the store may have missed a dozen configurations of
   * 216 kB: to read them all takes a link of 7 Mbit/s 3 s, and all but the newest
   * are of no use.
   */
  #chooseStart(): number | typeof NEWEST {
    const isBehind = this.#options.isNewestOnly === true &&
      this.#hasLastReadFailed();
    return !this.isLoaded || isBehind ? NEWEST : this.#end;
  }

  /** Whether the last read has brought nothing. */
  #hasLastReadFailed(): boolean {
    return this.hasLostStore || this.#isAbandoned;
  }

  #startRead(
    base: number | typeof NEWEST,
    watch: ReadWatchdog,
  ): Promise<Result<StoreReadResult, StoreFailure>> {
    const { store, partition, getPollingPolicy: getPace } = this.#options;
    const onData = (bytes: number): void => watch.recordData(bytes);
    const { signal } = watch;
    if (base === NEWEST) {
      return store.readNewest(partition, { onData, signal });
    }
    // A store that is away shows its return in a short call, not a long one.
    const waitMs = this.#hasLastReadFailed() ? 0 : getPace().waitMs;
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

  /** What others passed on while the read was on its way is not applied again. */
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
    const { clock, partition, observe, getPollingPolicy: getPace } =
      this.#options;
    if (failure.kind === "expired") {
      observe({ kind: "history-lost", partition });
      this.#end = -1;
      return 0;
    }
    if (this.#lostAtMs === null) {
      this.#lostAtMs = clock.readMs();
      const message = "message" in failure ? failure.message : failure.kind;
      observe({ kind: "lost", partition, cause: failure.kind, message });
    }
    this.#backoffMs = Math.min(getPace().maxBackoffMs, 2 * this.#backoffMs);
    return this.#backoffMs;
  }

  #recordStoreResponse(sentAtMs: number): void {
    const { clock, partition, observe } = this.#options;
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, sentAtMs);
    this.#backoffMs = MIN_BACKOFF_MS;
    if (this.#lostAtMs !== null) {
      const nowMs = clock.readMs();
      const afterMs = nowMs - this.#lostAtMs;
      this.#lostAtMs = null;
      this.#regainedAtMs = nowMs;
      observe({ kind: "regained", partition, afterMs });
    }
  }

  /** What is not among the newest records has gone while nobody looked. */
  #mergeSnapshot(records: readonly StoreRecord[]): void {
    const present = new Set(records.map((record) => record.key));
    for (const known of [...this.#newestRecords.values()]) {
      if (!present.has(known.key)) {
        this.#applyRecord({ ...known, value: "" });
      }
    }
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
