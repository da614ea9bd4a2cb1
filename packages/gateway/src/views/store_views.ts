/** Follows everything in the store that an instance routes by. */
import type { Clock } from "@lentilspur/ports/clock";
import type { Partition, Store } from "@lentilspur/ports/store";
import {
  KEEPER_KEY,
  TABLE_PREFIX,
  WITNESSES_KEY,
} from "@lentilspur/ownership/keeper_records";
import { type Catalogue, EXPIRED_ENTRY_GRACE_MS } from "./catalogue.ts";
import type { StoreLayout } from "../gateway_settings.ts";
import type { KeyDirectory } from "./key_directory.ts";
import type { Duties } from "../members/duties.ts";
import type { Members } from "../members/members.ts";
import {
  PartitionView,
  type PartitionViewEvent,
  type PartitionViewOptions,
  type PollingPolicy,
  type RecordBatch,
} from "./partition_view.ts";

export interface StoreViewsOptions {
  readonly clock: Clock;
  readonly store: Store;
  readonly storeLayout: StoreLayout;
  readonly catalogue: Catalogue;
  readonly directory: KeyDirectory;
  readonly members: Members;
  readonly duties: Duties;
  readonly onConfiguration: () => void;
  /** Whether this instance keeps a partition of owners, or is about to. */
  readonly isKeeper: (part: number) => boolean;
  readonly onTargetsRead: (slice: RecordBatch) => void;
  readonly onConfigurationRead: (slice: RecordBatch) => void;
  /** Tables up to `end` were missed, which the keeper has. */
  readonly fetchTable: (part: number, keeper: string, end: number) => void;
  readonly observe: (event: PartitionViewEvent) => void;
  readonly reportFault: (message: string) => void;
}

/**
 * Changes come seldom, so the store holds the read open. Connections may go
 * silent at all instances at once, and nothing shows it but the end of a read.
 * So one of those that follow the configuration ends its read after this, the
 * next after twice as long: whoever finds a change tells the others, and an
 * instance whose connections fail has 3 s of grace.
 */
const CONFIGURATION_WAIT_MS = 1_800;
/**
 * Those that follow the configuration say twice a second which version they
 * have. Whoever hears none of them for this long follows it itself, and has a
 * change in force well within 2 s.
 */
const CONFIGURATION_VALID_MS = 1_000;
/**
 * A keeper's own appends confirm that no other has claimed. Without one for this
 * long it reads: without either for 2 s it may not act.
 */
const KEEPER_VALID_MS = 700;
/** An instance that has started tells the others; a read finds who could not. */
const MEMBERS_VALID_MS = 60_000;
/** A storm of changes every 60 ms is read in a few calls. */
const CONFIGURATION_GAP_MS = 120;
/**
 * A leaving target must be seen well within 2 s. No read waits at the store for a
 * record: what it says is good from when it was sent, so that those that it is
 * passed on to would hold it for too old.
 */
const TARGETS_GAP_MS = 750;
/** The instance that reads for others is silent for one read: it is replaced. */
const TARGETS_VALID_MS = 1_000;
/** In each data centre one reads before the others do, and for all of them. */
const LOCAL_READER_VALID_MS = 900;
/** Members matter for hints only. */
const MEMBERS_GAP_MS = 500;
/** A keeper's own records come in quick succession. */
const KEEPER_GAP_MS = 10;
/** Where nobody tells of a table, it is read at most this often. */
const OWNERS_GAP_MS = 400;
/**
 * A table that its keeper has confirmed within this is current: a request that
 * misses its owner gains nothing by another read. Keepers confirm every 500 ms.
 */
const OWNERS_CURRENT_MS = 700;
/** What others have written or read is on its way here for this long at most. */
const ARRIVAL_MS = 150;
/**
 * Keepers tell of what they write; a datagram that was lost shows by the next
 * one, by a target that refuses, or after this.
 */
const OWNERS_VALID_MS = 5_000;
/** In an outage: a change must be in force 2 s after the store is back. */
const URGENT_PAUSE_MS = 400;
/**
 * What others tell as well, or what serves as a hint only, is not asked for more
 * often than this in an outage: calls that fail have their price, too.
 */
const OTHER_PAUSE_MS = 1_600;
/** An entry that goes this soon after an outage may only have lapsed in it. */
const OUTAGE_MEMORY_MS = 3_000;

export class StoreViews {
  readonly #options: StoreViewsOptions;
  readonly #configuration: PartitionView;
  readonly #targets: PartitionView;
  readonly #members: PartitionView;
  readonly #owners = new Map<number, PartitionView>();
  readonly #signal: AbortSignal;

  constructor(options: StoreViewsOptions, signal: AbortSignal) {
    this.#options = options;
    this.#signal = signal;
    const { configuration, targets, members } = options.storeLayout;
    this.#configuration = this.#createView(
      configuration,
      () => ({
        pollDelayMs: CONFIGURATION_GAP_MS,
        waitMs: this.#computeConfigurationWaitMs(),
        peerDataTtlMs: this.#options.duties.isCandidate()
          ? 0
          : CONFIGURATION_VALID_MS,
        maxBackoffMs: this.#options.duties.isCandidate()
          ? URGENT_PAUSE_MS
          : OTHER_PAUSE_MS,
      }),
      (key, value) => this.#applyOperatorRecord(key, value),
      {
        isNewestOnly: true,
        onRead: (slice) => this.#options.onConfigurationRead(slice),
      },
    );
    this.#targets = this.#createView(
      targets,
      () => this.#getTargetsPolicy(),
      (key, value) => this.#applyTarget(key, value),
      { onRead: (slice) => this.#options.onTargetsRead(slice) },
    );
    this.#members = this.#createView(
      members,
      () => ({
        pollDelayMs: MEMBERS_GAP_MS,
        waitMs: 0,
        peerDataTtlMs: MEMBERS_VALID_MS,
        maxBackoffMs: OTHER_PAUSE_MS,
      }),
      (key, value, offset) => this.#applyMember(key, value, offset),
    );
  }

  start(): void {
    void this.#configuration.run(this.#signal);
    void this.#targets.run(this.#signal);
    void this.#members.run(this.#signal);
  }

  /** Whether both configuration and targets have been read. */
  get isLoaded(): boolean {
    return this.#options.catalogue.table !== undefined &&
      this.#targets.isLoaded;
  }

  get targetsView(): PartitionView {
    return this.#targets;
  }

  get configurationView(): PartitionView {
    return this.#configuration;
  }

  /** Whether the store does not answer what everybody is to know. */
  get hasLostStore(): boolean {
    return this.#configuration.hasLostStore || this.#targets.hasLostStore;
  }

  /** Up to where the configuration and what stands beside it has been read. */
  get configurationEnd(): number {
    return this.#configuration.end;
  }

  /**
   * Another instance has read the configuration up to here. `isNewest`: it reads
   * each change at once, so that nothing newer is to be read here either.
   */
  applyConfigurationEnd(end: number, isNewest: boolean): void {
    const known = this.#configuration.end;
    if (end > known) {
      const read = () => this.#configuration.scheduleRead();
      void this.#readIfMissing(this.#configuration, end, read);
    } else if (end === known && isNewest) {
      this.#configuration.recordPeerConfirmation(this.#options.clock.readMs());
    }
  }

  /** What has been passed on may be on its way still. */
  async #readIfMissing(
    tail: PartitionView,
    end: number,
    read: () => void,
  ): Promise<void> {
    await this.#options.clock.sleep(ARRIVAL_MS, this.#signal);
    if (tail.end < end) {
      read();
    }
  }

  /** An instance is heard of that no record here names. */
  scheduleMembersRead(): void {
    this.#members.scheduleRead();
  }

  /** The keeper of a partition of owners says where it ends. */
  applyOwnersEnd(part: number, end: number, keeper: string): void {
    const tail = this.#owners.get(part);
    if (tail === undefined || this.#options.isKeeper(part)) {
      return;
    }
    if (end <= tail.end) {
      tail.recordPeerConfirmation(this.#options.clock.readMs());
      return;
    }
    const fetch = () => this.#options.fetchTable(part, keeper, end);
    void this.#readIfMissing(tail, end, fetch);
  }

  /** A request did not find its owner where the table says. */
  handleOwnerMiss(part: number): void {
    const tail = this.#owners.get(part);
    const currentAtMs = tail?.currentAsOfMs ?? -Infinity;
    if (this.#options.clock.readMs() - currentAtMs > OWNERS_CURRENT_MS) {
      tail?.scheduleRead();
    }
  }

  getOwnersView(part: number): PartitionView | undefined {
    return this.#owners.get(part);
  }

  /** Follows a partition of the table of owners from now on. */
  startOwnersView(part: number): void {
    if (this.#owners.has(part)) {
      return;
    }
    const { topic } = this.#options.storeLayout.owners;
    const tail = this.#createView(
      { topic, part },
      () => this.#getOwnersPolicy(part),
      (key, value, offset) => this.#applyOwners(key, value, offset),
    );
    this.#owners.set(part, tail);
    void tail.run(this.#signal);
  }

  /** Of those that follow it, one begins a read anew each time. */
  #computeConfigurationWaitMs(): number {
    const before = this.#options.duties.findCandidateRank() ?? 0;
    return CONFIGURATION_WAIT_MS * (1 + before);
  }

  #getTargetsPolicy(): PollingPolicy {
    const { duties } = this.#options;
    const isReader = duties.isReader();
    const validMs = isReader
      ? 0
      : duties.isLocalReader()
      ? LOCAL_READER_VALID_MS
      : TARGETS_VALID_MS;
    return {
      pollDelayMs: TARGETS_GAP_MS,
      waitMs: 0,
      peerDataTtlMs: validMs,
      maxBackoffMs: isReader ? URGENT_PAUSE_MS : OTHER_PAUSE_MS,
    };
  }

  #getOwnersPolicy(part: number): PollingPolicy {
    return this.#options.isKeeper(part)
      ? {
        pollDelayMs: KEEPER_GAP_MS,
        waitMs: 0,
        peerDataTtlMs: KEEPER_VALID_MS,
        maxBackoffMs: URGENT_PAUSE_MS,
      }
      : {
        pollDelayMs: OWNERS_GAP_MS,
        waitMs: 0,
        peerDataTtlMs: OWNERS_VALID_MS,
        maxBackoffMs: OTHER_PAUSE_MS,
      };
  }

  #createView(
    partition: Partition,
    getPace: () => PollingPolicy,
    apply: (key: string, value: string, offset: number) => void,
    more: Pick<PartitionViewOptions, "isNewestOnly" | "onRead"> = {},
  ): PartitionView {
    const { clock, store, observe } = this.#options;
    const { topic, part } = partition;
    return new PartitionView({
      clock,
      store,
      partition: { topic, part },
      getPollingPolicy: getPace,
      apply: ({ key, value, offset }) => apply(key, value, offset),
      observe,
      ...more,
    });
  }

  #applyOperatorRecord(key: string, value: string): void {
    const { storeLayout: places, catalogue, onConfiguration } = this.#options;
    const { key: configurationKey, evacuationPrefix } = places.configuration;
    if (key.startsWith(evacuationPrefix)) {
      this.#applyEvacuation(key.slice(evacuationPrefix.length), value !== "");
      return;
    }
    if (
      key === configurationKey && value !== "" &&
      catalogue.applyConfiguration(value)
    ) {
      onConfiguration();
    }
  }

  #applyEvacuation(dataCentre: string, isEvacuated: boolean): void {
    const { clock, catalogue, reportFault } = this.#options;
    catalogue.applyEvacuation(dataCentre, isEvacuated, clock.readMs());
    if (
      isEvacuated && this.isLoaded && !catalogue.hasTargetsIn(dataCentre)
    ) {
      reportFault(`No target stands in data centre "${dataCentre}"`);
    }
  }

  #applyTarget(id: string, value: string): void {
    const { clock, catalogue } = this.#options;
    const nowMs = clock.readMs();
    const sinceOutageMs = nowMs - this.#targets.regainedAtMs;
    const graceMs = Math.max(
      0,
      sinceOutageMs < OUTAGE_MEMORY_MS
        ? EXPIRED_ENTRY_GRACE_MS - sinceOutageMs
        : 0,
    );
    catalogue.applyTarget(id, value, { nowMs, graceMs });
  }

  #applyMember(key: string, value: string, offset: number): void {
    const { members, clock } = this.#options;
    if (!members.apply(key, value, { offset, nowMs: clock.readMs() })) {
      this.#options.reportFault(`Unreadable record of member "${key}"`);
    }
  }

  #applyOwners(key: string, value: string, offset: number): void {
    if (key === KEEPER_KEY || key === WITNESSES_KEY || value === "") {
      return;
    }
    const { directory, reportFault } = this.#options;
    if (!key.startsWith(TABLE_PREFIX)) {
      reportFault(`Unknown record "${key}" among the owners`);
      return;
    }
    const service = key.slice(TABLE_PREFIX.length);
    const fault = directory.applyTable(service, value, {
      offset,
      nowMs: this.#options.clock.readMs(),
    });
    if (fault !== undefined) {
      reportFault(`Owners of service "${service}": ${fault}`);
    }
  }
}
