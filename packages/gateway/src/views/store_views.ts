/**
 * Follows the partitions of the store that an instance routes by:
 * configuration, targets, members and ownership tables.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type { Partition, Store } from "@lentilspur/ports/store";
import { getEra } from "@lentilspur/ports/store_offset";
import {
  KEEPER_KEY,
  TABLE_PREFIX,
  WITNESSES_KEY,
} from "@lentilspur/ownership/keeper_records";
import { type Catalogue, EXPIRED_ENTRY_GRACE_MS } from "./catalogue.ts";
import type { Fault } from "../fault.ts";
import type { StoreLayout } from "../gateway_settings.ts";
import type { KeyDirectory } from "./key_directory.ts";
import type { Duties } from "../members/duties.ts";
import type { MembersSnapshot } from "../members/member_publisher.ts";
import type { Members } from "../members/members.ts";
import { hashToUint32 } from "../members/stable_hash.ts";
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
  /**
   * Whether this instance is the keeper of a partition of the ownership topic,
   * or is about to become its keeper.
   */
  readonly isKeeper: (part: number) => boolean;
  /** Called after the records of all instances have been read. */
  readonly onMembersRead: (snapshot: MembersSnapshot) => void;
  readonly onTargetsRead: (batch: RecordBatch) => void;
  readonly onConfigurationRead: (batch: RecordBatch) => void;
  /** Fetches from the keeper the tables up to `end`, which were missed here. */
  readonly fetchTable: (part: number, keeper: string, end: number) => void;
  readonly observe: (event: PartitionViewEvent) => void;
  readonly reportFault: (fault: Fault) => void;
}

/**
 * How long the store may hold open the first candidate's read of the
 * configuration; the candidate of rank n waits n + 1 times as long. Changes are
 * rare, so reads are held open. If the connections of all instances go silent
 * at once, each candidate notices only when its read ends. Staggered reads let
 * one of them find a change early: it reports its new offset, and the reader
 * also sends the records. An instance whose connections fail has 3 s to
 * recover.
 */
const CONFIGURATION_WAIT_MS = 1_800;
/**
 * Keeper candidates report twice a second up to where they have read the
 * configuration. An instance that receives no such report for this long reads
 * the configuration itself, and puts a change in force well within 2 s.
 */
const CONFIGURATION_PEER_DATA_TTL_MS = 1_000;
/**
 * A keeper's own appends confirm that no other instance has claimed its
 * partition. After this time without an append the keeper reads; without either
 * for 2 s it may not act.
 */
const KEEPER_PEER_DATA_TTL_MS = 700;
/**
 * An instance announces itself when it starts; a read finds those whose
 * announcements were lost.
 */
const MEMBERS_PEER_DATA_TTL_MS = 60_000;
/** Lets a few calls read a burst of changes that are 60 ms apart. */
const CONFIGURATION_POLL_DELAY_MS = 120;
/**
 * A leaving target must be seen well within 2 s. The store does not hold these
 * reads open: the age of a result counts from the time at which its read was
 * sent, so the instances that receive it from the reader would treat the result
 * of a read that was held open as too old.
 */
const TARGETS_POLL_DELAY_MS = 750;
/**
 * Longer than one poll of the reader: if the reader misses one, other instances
 * read.
 */
const TARGETS_PEER_DATA_TTL_MS = 1_000;
/**
 * Shorter than `TARGETS_PEER_DATA_TTL_MS` so that the local reader of each data
 * centre reads before the other instances there, and for all of them.
 */
const LOCAL_READER_PEER_DATA_TTL_MS = 900;
/** Members are used for hints only. */
const MEMBERS_POLL_DELAY_MS = 500;
/**
 * After a restore of the store, all instances read the members within this
 * time, to write the records again that are lost.
 */
const MEMBERS_SPREAD_MS = 1_000;
/** A keeper appends its own records in quick succession. */
const KEEPER_POLL_DELAY_MS = 10;
/** Minimum time between two reads of a table that no peer reports on. */
const OWNERS_POLL_DELAY_MS = 400;
/**
 * A table that its keeper has confirmed within this time is current, so a
 * request that misses its owner does not cause another read. Keepers confirm
 * every 500 ms.
 */
const OWNERS_FRESH_MS = 700;
/** Maximum time that records sent by a peer take to arrive. */
const MAX_ARRIVAL_DELAY_MS = 150;
/**
 * Keepers send what they write. A lost datagram is detected when the next one
 * arrives, when a target refuses a request, or after this time.
 */
const OWNERS_PEER_DATA_TTL_MS = 5_000;
/** Maximum backoff where a change must be in force 2 s after an outage. */
const URGENT_MAX_BACKOFF_MS = 400;
/**
 * Maximum backoff during an outage for records that peers send as well or that
 * serve only as hints: calls that fail have a cost, too.
 */
const DEFAULT_MAX_BACKOFF_MS = 1_600;
/**
 * An entry that disappears within this time after an outage may have expired in
 * it and has a grace period. The grace period ends `EXPIRED_ENTRY_GRACE_MS`
 * after the outage, so this longer limit has no effect.
 */
const POST_OUTAGE_MS = 3_000;

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
        pollDelayMs: CONFIGURATION_POLL_DELAY_MS,
        waitMs: this.#computeConfigurationWaitMs(),
        peerDataTtlMs: this.#options.duties.isCandidate()
          ? 0
          : CONFIGURATION_PEER_DATA_TTL_MS,
        maxBackoffMs: this.#options.duties.isCandidate()
          ? URGENT_MAX_BACKOFF_MS
          : DEFAULT_MAX_BACKOFF_MS,
      }),
      (key, value) => this.#applyOperatorRecord(key, value),
      {
        isNewestOnly: true,
        restoreGraceMs: EXPIRED_ENTRY_GRACE_MS,
        onRead: (batch) => this.#options.onConfigurationRead(batch),
      },
    );
    this.#targets = this.#createView(
      targets,
      () => this.#getTargetsPolicy(),
      (key, value) => this.#applyTargetRecord(key, value),
      { onRead: (batch) => this.#options.onTargetsRead(batch) },
    );
    this.#members = this.#createView(
      members,
      () => ({
        pollDelayMs: MEMBERS_POLL_DELAY_MS,
        waitMs: 0,
        peerDataTtlMs: MEMBERS_PEER_DATA_TTL_MS,
        maxBackoffMs: DEFAULT_MAX_BACKOFF_MS,
      }),
      (key, value, offset) => this.#applyMemberRecord(key, value, offset),
      { onSnapshot: () => this.#handleMembersRead() },
    );
  }

  #handleMembersRead(): void {
    this.#options.members.markRead();
    this.#reportMembersRead();
  }

  #reportMembersRead(): void {
    const { members, onMembersRead } = this.#options;
    const ownRecord = this.#members.getRecord(members.ownInstance)?.value;
    onMembersRead({ end: this.#members.end, ownRecord });
  }

  start(): void {
    void this.#configuration.run(this.#signal);
    void this.#targets.run(this.#signal);
    void this.#members.run(this.#signal);
  }

  /** Whether both configuration and targets have been read. */
  get isLoaded(): boolean {
    return this.#options.catalogue.routingTable !== undefined &&
      this.#targets.isLoaded;
  }

  get targetsView(): PartitionView {
    return this.#targets;
  }

  get configurationView(): PartitionView {
    return this.#configuration;
  }

  /** Whether reads of the configuration or of the targets fail at present. */
  get hasLostStore(): boolean {
    return this.#configuration.hasLostStore || this.#targets.hasLostStore;
  }

  /**
   * Up to which offset the configuration partition, including evacuations, has
   * been read.
   */
  get configurationEnd(): number {
    return this.#configuration.end;
  }

  /**
   * Applies a peer's report of how far it has read the configuration.
   * `isFollowing` means that the peer reads each change immediately, so that an
   * equal end confirms the state here.
   */
  applyConfigurationEnd(end: number, isFollowing: boolean): void {
    const known = this.#configuration.end;
    if (end > known) {
      const scheduleRead = () => this.#configuration.scheduleRead();
      void this.#readIfMissing(this.#configuration, end, scheduleRead);
    } else if (end === known && isFollowing) {
      this.#configuration.recordIndirectConfirmation(
        this.#options.clock.readMs(),
      );
    }
  }

  /**
   * Schedules a read if the records do not arrive from a peer within
   * `MAX_ARRIVAL_DELAY_MS`.
   */
  async #readIfMissing(
    view: PartitionView,
    end: number,
    scheduleRead: () => void,
  ): Promise<void> {
    await this.#options.clock.sleep(MAX_ARRIVAL_DELAY_MS, this.#signal);
    if (view.end < end) {
      scheduleRead();
    }
  }

  /**
   * Requests a read of the members, because an unknown instance has sent a
   * message.
   */
  scheduleMembersRead(): void {
    this.#members.scheduleRead();
  }

  /**
   * Applies the end of a partition of the ownership topic as reported by its
   * keeper.
   */
  applyOwnersEnd(part: number, end: number, keeper: string): void {
    const view = this.#owners.get(part);
    if (view === undefined || this.#options.isKeeper(part)) {
      return;
    }
    if (end <= view.end) {
      view.recordIndirectConfirmation(this.#options.clock.readMs());
      return;
    }
    const fetch = () => this.#options.fetchTable(part, keeper, end);
    void this.#readIfMissing(view, end, fetch);
  }

  /**
   * Requests a read of the table unless it is current, because a target did not
   * own the key of a request.
   */
  handleOwnerMiss(part: number): void {
    const view = this.#owners.get(part);
    const currentAsOfMs = view?.currentAsOfMs ?? -Infinity;
    if (this.#options.clock.readMs() - currentAsOfMs > OWNERS_FRESH_MS) {
      view?.scheduleRead();
    }
  }

  getOwnersView(part: number): PartitionView | undefined {
    return this.#owners.get(part);
  }

  /** Starts to follow a partition of the ownership topic. */
  startOwnersView(part: number): void {
    if (this.#owners.has(part)) {
      return;
    }
    const { topic } = this.#options.storeLayout.owners;
    const view = this.#createView(
      { topic, part },
      () => this.#getOwnersPolicy(part),
      (key, value, offset) => this.#applyOwnersRecord(key, value, offset),
    );
    this.#owners.set(part, view);
    void view.run(this.#signal);
  }

  /** Staggers the reads of the candidates, so that they end one by one. */
  #computeConfigurationWaitMs(): number {
    const rank = this.#options.duties.findCandidateRank() ?? 0;
    return CONFIGURATION_WAIT_MS * (1 + rank);
  }

  #getTargetsPolicy(): PollingPolicy {
    const { duties } = this.#options;
    const isReader = duties.isReader();
    const peerDataTtlMs = isReader
      ? 0
      : duties.isLocalReader()
      ? LOCAL_READER_PEER_DATA_TTL_MS
      : TARGETS_PEER_DATA_TTL_MS;
    return {
      pollDelayMs: TARGETS_POLL_DELAY_MS,
      waitMs: 0,
      peerDataTtlMs,
      maxBackoffMs: isReader ? URGENT_MAX_BACKOFF_MS : DEFAULT_MAX_BACKOFF_MS,
    };
  }

  #getOwnersPolicy(part: number): PollingPolicy {
    return this.#options.isKeeper(part)
      ? {
        pollDelayMs: KEEPER_POLL_DELAY_MS,
        waitMs: 0,
        peerDataTtlMs: KEEPER_PEER_DATA_TTL_MS,
        maxBackoffMs: URGENT_MAX_BACKOFF_MS,
      }
      : {
        pollDelayMs: OWNERS_POLL_DELAY_MS,
        waitMs: 0,
        peerDataTtlMs: OWNERS_PEER_DATA_TTL_MS,
        maxBackoffMs: DEFAULT_MAX_BACKOFF_MS,
      };
  }

  #createView(
    partition: Partition,
    getPollingPolicy: () => PollingPolicy,
    apply: (key: string, value: string, offset: number) => void,
    extraOptions: Pick<
      PartitionViewOptions,
      "isNewestOnly" | "restoreGraceMs" | "onRead" | "onSnapshot"
    > = {},
  ): PartitionView {
    const { clock, store, observe } = this.#options;
    const { topic, part } = partition;
    return new PartitionView({
      clock,
      store,
      partition: { topic, part },
      getPollingPolicy,
      apply: ({ key, value, offset }) => apply(key, value, offset),
      observe: (event) => {
        observe(event);
        if (event.kind === "restored") {
          this.#scheduleReadsInEra(event.era);
        }
      },
      ...extraOptions,
    });
  }

  /** Reads what was last read in an earlier era of the store. */
  #scheduleReadsInEra(era: number): void {
    const views = [
      this.#configuration,
      this.#targets,
      ...this.#owners.values(),
    ];
    for (const view of views) {
      if (getEra(view.end) < era) {
        view.scheduleRead();
      }
    }
    void this.#readMembersInEra(era);
  }

  async #readMembersInEra(era: number): Promise<void> {
    const { clock, members } = this.#options;
    const delayMs = hashToUint32(members.ownInstance) % MEMBERS_SPREAD_MS;
    await clock.sleep(delayMs, this.#signal);
    if (getEra(this.#members.end) < era) {
      this.#members.scheduleRead();
    }
  }

  #applyOperatorRecord(key: string, value: string): void {
    const { storeLayout, catalogue, onConfiguration } = this.#options;
    const { key: configurationKey, evacuationPrefix } =
      storeLayout.configuration;
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
      reportFault(
        `No known target is in the evacuated data centre "${dataCentre}"; check its name`,
      );
    }
  }

  #applyTargetRecord(id: string, value: string): void {
    const { clock, catalogue } = this.#options;
    const nowMs = clock.readMs();
    const sinceOutageMs = nowMs - this.#targets.regainedAtMs;
    const graceMs = Math.max(
      0,
      sinceOutageMs < POST_OUTAGE_MS
        ? EXPIRED_ENTRY_GRACE_MS - sinceOutageMs
        : 0,
    );
    catalogue.applyTarget(id, value, { nowMs, graceMs });
  }

  #applyMemberRecord(key: string, value: string, offset: number): void {
    const { members, clock } = this.#options;
    if (key === members.ownInstance) {
      this.#reportMembersRead();
    }
    const applied = members.apply(key, value, {
      offset,
      nowMs: clock.readMs(),
    });
    if (!applied.ok) {
      this.#options.reportFault({ record: "member", key, why: applied.val });
    }
  }

  #applyOwnersRecord(key: string, value: string, offset: number): void {
    if (key === KEEPER_KEY || key === WITNESSES_KEY || value === "") {
      return;
    }
    const { directory, reportFault } = this.#options;
    if (!key.startsWith(TABLE_PREFIX)) {
      reportFault(`Unknown key "${key}" in a partition of the ownership topic`);
      return;
    }
    const service = key.slice(TABLE_PREFIX.length);
    const fault = directory.applyTable(service, value, {
      offset,
      nowMs: this.#options.clock.readMs(),
    });
    if (fault !== undefined) {
      reportFault({ record: "table", key: service, why: fault });
    }
  }
}
