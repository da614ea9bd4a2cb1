/**
 * Decides when this instance is the keeper of a partition of the ownership
 * table.
 *
 * An assignment of the partition by the store's group is only a hint to claim
 * it. An instance becomes the keeper when the store accepts its claim, which is
 * a record in the partition. A keeper whose partition is assigned to another
 * instance hands over: it stops and writes a resignation into the partition, so
 * that its successor does not need to wait.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type { KeyOrderSender } from "@lentilspur/ports/key_orders";
import type { Partition, Store, StoreRecord } from "@lentilspur/ports/store";
import { getEra } from "@lentilspur/ports/store_offset";
import { sleepUntilTick } from "@lentilspur/ports/tick";
import {
  type GrantedRange,
  type KeeperEvent,
  KeyKeeper,
  type PledgeScope,
  type PredecessorState,
} from "@lentilspur/ownership/key_keeper";
import type { ServiceSnapshot } from "@lentilspur/ownership/table_planner";
import {
  formatIncarnation,
  KEEPER_KEY,
  type KeeperClaim,
  parseInstance,
} from "@lentilspur/ownership/keeper_records";
import {
  isClaimOfPresentEra,
  parseClaim,
  parsePartitionState,
  type PartitionState,
} from "@lentilspur/ownership/partition_state";
import type { KeeperTiming } from "@lentilspur/ownership/keeper_timing";
import type { Holder } from "@lentilspur/ownership/key_table";
import {
  PredecessorTracker,
  type UnresolvedPredecessor,
} from "./predecessor_tracker.ts";
import {
  KeeperExchange,
  type KeeperExchangeEvent,
  type KeeperMessage,
} from "./keeper_exchange.ts";
import {
  PartitionAssignment,
  type PartitionAssignmentEvent,
} from "./partition_assignment.ts";
import type { PartitionView } from "../views/partition_view.ts";
import type { WrittenTable } from "../views/view_relay.ts";

export type KeeperServiceEvent =
  | {
    readonly kind: "claimed";
    readonly partition: Partition;
    readonly term: number;
    readonly predecessor: PredecessorState["kind"];
  }
  | {
    readonly kind: "claim-failed";
    readonly partition: Partition;
    readonly cause: string;
  }
  | {
    /**
     * The predecessors that a keeper of this instance waits for have changed.
     */
    readonly kind: "waits";
    readonly part: number;
    readonly awaited: readonly UnresolvedPredecessor[];
  }
  | PartitionAssignmentEvent
  | { readonly kind: "record-fault"; readonly message: string }
  | KeeperExchangeEvent
  | {
    readonly kind: "keeper";
    readonly partition: Partition;
    readonly event: KeeperEvent;
  };

export interface KeeperServiceOptions {
  readonly clock: Clock;
  readonly store: Store;
  readonly orders: KeyOrderSender;
  readonly timing: KeeperTiming;
  readonly claim: KeeperClaim;
  /** Undefined until it is known; this instance does not claim before. */
  readonly getStartNumber: () => number | undefined;
  readonly topic: string;
  /**
   * Shortest time after which the store may drop a member that does not join.
   */
  readonly minMemberTtlMs: number;
  /** What is known of the services whose tables are in a partition. */
  readonly listServiceSnapshots: (part: number) => readonly ServiceSnapshot[];
  /** The view of a partition, if this instance follows the partition. */
  readonly getView: (part: number) => PartitionView | undefined;
  /**
   * Time of the last suspected suspension of this process: reads of the store
   * before it no longer prove that there is no newer claim; own clock.
   */
  readonly getTrustedSinceMs: () => number;
  readonly hasEnded: (holder: Holder) => boolean;
  readonly hasInstanceEnded: (claim: KeeperClaim) => boolean;
  /**
   * Reads the instances' member records, to learn of later incarnations.
   */
  readonly scheduleMembersRead: () => void;
  /** Whether an instance has sent a datagram recently. */
  readonly isAlive: (instance: string) => boolean;
  /**
   * The other live instances that send heartbeats to all data centres, each
   * with its current incarnation. All keeper candidates are among them, and
   * this instance's keepers name them as witnesses. A successor that is not
   * listed was not a witness, so it waits until the keeper has stopped for
   * certain, which is after `maxAuthorityMs` at the latest.
   */
  readonly listGlobalHeartbeatSenders: () => readonly KeeperClaim[];
  /** All other instances with a record, by name. */
  readonly listInstances: () => readonly string[];
  /** Whether this instance is a keeper candidate. */
  readonly isCandidate: () => boolean;
  /**
   * Whether this instance must hand over its partitions at once, since others
   * reach far more targets.
   */
  readonly isUnfit: () => boolean;
  readonly sendToPeer: (instance: string, message: KeeperMessage) => void;
  readonly observe: (event: KeeperServiceEvent) => void;
  /** Called for each table that a keeper of this instance has written. */
  readonly onTableWritten?: (written: WrittenTable) => void;
  /**
   * Called for each range that a keeper of this instance has granted to its new
   * owner.
   */
  readonly onGranted?: (granted: GrantedRange) => void;
  /** Called for each record that a keeper of this instance has appended. */
  readonly onAppended?: (part: number, record: StoreRecord) => void;
  /**
   * Called with the end of a partition that a keeper of this instance has read
   * after an append whose answer was lost.
   */
  readonly onRestored?: (part: number, end: number) => void;
  /** Called for each claim of this instance that the store has accepted. */
  readonly onClaim?: (part: number, term: number) => void;
}

/** Interval between checks whether to claim. */
const TICK_MS = 100;
/** A keeper asks for pledges once the store has not answered for this long. */
const PLEDGE_REQUEST_AFTER_MS = 1_000;
/** Interval at which datagrams are sent again until they are answered. */
const RESEND_INTERVAL_MS = 300;
/**
 * Every so many requests for pledges go to all instances, not to the witnesses
 * only: often enough for a pledge of 6 s, and 200 datagrams a second for 300
 * instances.
 */
const SENDS_PER_FULL_REQUEST = 5;
/** Every so many sends, a keeper that waits asks its predecessors' witnesses. */
const SENDS_PER_INQUIRY = 3;
/** Interval between reads of the members by a keeper that waits. */
const REFRESH_INTERVAL_MS = 2_000;
/**
 * The store counts as reachable for this long after an answer. An instance in
 * the group joins every 0.5 s.
 */
const STORE_CONTACT_TTL_MS = 1_200;
/**
 * How long a live predecessor may take to hand over before it is replaced. A
 * predecessor that has asked for a pledge within this time counts as cut off
 * from the store.
 */
const HANDOVER_TIMEOUT_MS = 1_500;

export class KeeperService {
  readonly #options: KeeperServiceOptions;
  readonly #keepers = new Map<number, KeyKeeper>();
  readonly #assignment: PartitionAssignment;
  readonly #claiming = new Set<number>();
  /** This instance's last keeper of each partition, running or stopped. */
  readonly #latestKeepers = new Map<number, KeyKeeper>();
  readonly #predecessors = new Map<number, PredecessorTracker>();
  readonly #exchange: KeeperExchange;
  /**
   * The predecessors that each partition's keeper waits for, as last reported.
   */
  readonly #reportedUnresolved = new Map<number, string>();
  #era = 0;
  #eraSeenAtMs = -Infinity;
  /** Claims in the store that the views lack, by partition. */
  readonly #missedClaims = new Map<
    number,
    { readonly term: number; readonly sinceMs: number }
  >();
  #wasUnfit = false;
  #lastSentAtMs = -Infinity;
  #sendCount = 0;
  #lastRefreshedAtMs = -Infinity;

  constructor(options: KeeperServiceOptions) {
    this.#options = options;
    this.#assignment = new PartitionAssignment(options);
    this.#exchange = new KeeperExchange({
      clock: options.clock,
      claim: options.claim,
      pledgeMs: options.timing.pledgeMs,
      isStoreReachable: () => this.#isStoreReachable(),
      getNewestTerm: (part) => this.#getNewestTerm(part),
      getKeeper: (part) => this.#latestKeepers.get(part),
      send: options.sendToPeer,
      observe: options.observe,
    });
  }

  /** Handles a message about keepers from another instance. */
  applyMessage(message: KeeperMessage): void {
    this.#exchange.handle(message);
    if (message.kind === "keeper-stopped") {
      // Its partitions may be assigned to this instance now.
      this.#assignment.schedule();
    }
  }

  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.#assignment.run(signal), this.#runClaims(signal)]);
  }

  /** Makes all keepers plan at once, since targets have changed. */
  schedulePlans(): void {
    for (const keeper of this.#keepers.values()) {
      keeper.schedulePlan();
    }
  }

  /** Whether this instance keeps any partition. */
  get hasKeptPartitions(): boolean {
    return this.#keepers.size > 0;
  }

  isKeeper(part: number): boolean {
    return this.#keepers.get(part)?.hasStopped === false;
  }

  /** Partitions that a running keeper of this instance keeps. */
  listKeptPartitions(): readonly number[] {
    return [...this.#keepers.keys()].filter((part) => this.isKeeper(part));
  }

  /** Whether a partition is assigned to this instance or still kept by it. */
  hasPartition(part: number): boolean {
    return this.#assignment.has(part) || this.#keepers.has(part);
  }

  /** The keeper that the partition's record names. */
  findKeeper(part: number): KeeperClaim | undefined {
    const record = this.#options.getView(part)?.getRecord(KEEPER_KEY);
    return record === undefined ? undefined : parseClaim(record);
  }

  /** Hands over all partitions before this instance shuts down. */
  async leave(): Promise<void> {
    await this.#assignment.leave();
    await this.#transferUnassignedPartitions();
  }

  /** Stops all keepers and notifies other instances, since the process ends. */
  stop(): void {
    this.#assignment.stop();
    for (const [part, keeper] of this.#keepers) {
      keeper.stop("asked");
      this.#sendStopped(part, keeper);
    }
    this.#keepers.clear();
  }

  async #runClaims(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#stopReplaced();
      this.#sendPending();
      this.#recordEra();
      this.#updateFitness();
      for (const [part, sinceMs] of this.#assignment.listAssigned()) {
        void this.#claimIfDue(part, sinceMs);
      }
      void this.#transferUnassignedPartitions();
      await sleepUntilTick(this.#options.clock, TICK_MS, signal);
    }
    this.stop();
  }

  #updateFitness(): void {
    const isUnfit = this.#options.isUnfit();
    if (isUnfit !== this.#wasUnfit) {
      this.#wasUnfit = isUnfit;
      this.#assignment.schedule();
    }
  }

  /** Records since when this instance has seen the store's present era. */
  #recordEra(): void {
    const { store, clock } = this.#options;
    if (store.era !== this.#era) {
      this.#era = store.era;
      this.#eraSeenAtMs = clock.readMs();
    }
  }

  #isStoreReachable(): boolean {
    const { clock, getView } = this.#options;
    const confirmedTimes = [
      ...this.#assignment.listAssigned().keys(),
      ...this.#keepers.keys(),
    ]
      .map((part) => getView(part)?.storeConfirmedAtMs ?? -Infinity);
    const latestMs = Math.max(
      this.#assignment.lastJoinedAtMs,
      ...confirmedTimes,
    );
    return clock.readMs() - latestMs < STORE_CONTACT_TTL_MS;
  }

  #getNewestTerm(part: number): number {
    const view = this.#options.getView(part);
    return Math.max(
      (view && findTerm(view)) ?? -1,
      this.#latestKeepers.get(part)?.term ?? -1,
    );
  }

  /**
   * Sends pledge requests for keepers without the store, and notices to
   * replaced keepers.
   */
  #sendPending(): void {
    const nowMs = this.#options.clock.readMs();
    if (nowMs - this.#lastSentAtMs < RESEND_INTERVAL_MS) {
      return;
    }
    this.#lastSentAtMs = nowMs;
    this.#sendCount++;
    for (const [part, keeper] of this.#keepers) {
      if (nowMs - keeper.confirmedAtMs > PLEDGE_REQUEST_AFTER_MS) {
        const scope = this.#sendCount % SENDS_PER_FULL_REQUEST === 0
          ? "all-instances"
          : "witnesses";
        const pledgers = this.#listPledgers(part, scope);
        this.#exchange.sendPledgeRequests(part, keeper.term, pledgers);
      }
      const predecessors = this.#predecessors.get(part)!;
      if (this.#sendCount % SENDS_PER_INQUIRY === 0) {
        const witnesses = predecessors.listWitnessesToAsk();
        this.#exchange.sendInquiries(part, keeper.term, witnesses);
      }
      const unresolved = predecessors.describeUnresolved();
      if (unresolved.some(({ kind }) => kind === "unknown")) {
        this.#readMembers();
      }
      this.#reportUnresolved(part, unresolved);
      for (const { instance } of unresolved) {
        this.#exchange.sendReplaced(instance, part, keeper.term);
      }
    }
  }

  /**
   * Reads the members: a later incarnation of a predecessor's instance ends the
   * wait.
   */
  #readMembers(): void {
    const nowMs = this.#options.clock.readMs();
    if (nowMs - this.#lastRefreshedAtMs >= REFRESH_INTERVAL_MS) {
      this.#lastRefreshedAtMs = nowMs;
      this.#options.scheduleMembersRead();
    }
  }

  /**
   * Reports the predecessors that a keeper of this instance waits for, if they
   * have changed.
   */
  #reportUnresolved(
    part: number,
    unresolved: readonly UnresolvedPredecessor[],
  ): void {
    const description = unresolved.map(({ incarnation, kind, bound }) =>
      `${incarnation} ${kind} ${bound}`
    )
      .join();
    if (description !== (this.#reportedUnresolved.get(part) ?? "")) {
      this.#reportedUnresolved.set(part, description);
      this.#options.observe({ kind: "waits", part, awaited: unresolved });
    }
  }

  /**
   * The instances whose pledges a keeper needs: all live heartbeat senders, and
   * all that its records may name as witnesses.
   */
  #listPledgers(part: number, scope: PledgeScope): readonly string[] {
    const namedWitnesses = this.#keepers.get(part)?.listNamedWitnesses() ?? [];
    return [
      ...new Set([
        ...this.#listHeartbeatSenders(),
        ...namedWitnesses.map(parseInstance),
        ...(scope === "witnesses" ? [] : this.#options.listInstances()),
      ]),
    ];
  }

  #listHeartbeatSenders(): readonly string[] {
    return this.#options.listGlobalHeartbeatSenders().map(({ instance }) =>
      instance
    );
  }

  /** Stops keepers in whose partition another instance has claimed. */
  #stopReplaced(): void {
    const { getView } = this.#options;
    for (const [part, keeper] of this.#keepers) {
      const view = getView(part);
      const isOwnClaim = this.findKeeper(part)?.incarnation ===
        this.#options.claim.incarnation;
      if (view && !isOwnClaim && (findTerm(view) ?? -1) > keeper.term) {
        keeper.stop("replaced");
      }
      if (keeper.hasStopped) {
        this.#keepers.delete(part);
      }
    }
  }

  /** Hands over the partitions that are no longer assigned to this instance. */
  async #transferUnassignedPartitions(): Promise<void> {
    const handovers: Promise<void>[] = [];
    for (const [part, keeper] of this.#keepers) {
      // After a restore of the store, its successor needs to find the claim.
      if (!this.#assignment.has(part) && !keeper.hasOutdatedTerm) {
        this.#keepers.delete(part);
        handovers.push(this.#transferPartition(part, keeper));
      }
    }
    await Promise.all(handovers);
  }

  async #transferPartition(part: number, keeper: KeyKeeper): Promise<void> {
    if (this.#options.isUnfit()) {
      // It cannot release or renew anything, so its successor need not wait for
      // a resignation.
      keeper.stop("asked");
      this.#sendStopped(part, keeper);
    }
    await keeper.leave();
    this.#sendStopped(part, keeper);
  }

  /**
   * Notifies all heartbeat senders that the keeper has stopped: the next
   * claimant may have no other way to learn it.
   */
  #sendStopped(part: number, keeper: KeyKeeper): void {
    this.#exchange.sendStopped(part, keeper, this.#listHeartbeatSenders());
  }

  async #claimIfDue(part: number, sinceMs: number): Promise<void> {
    const { clock, getView, listServiceSnapshots } = this.#options;
    const view = getView(part);
    if (
      view === undefined || !view.isLoaded || this.#keepers.has(part) ||
      this.#assignment.isLeaving || !this.#assignment.isMember ||
      this.#claiming.has(part) ||
      this.#options.getStartNumber() === undefined ||
      listServiceSnapshots(part).length === 0
    ) {
      return;
    }
    const isHandingOver = this.#hasActiveClaim(view) &&
      !this.#hasKeeperStopped(part, view) && this.#isKeeperAlive(part) &&
      !this.#isKeeperWithoutStore(part, view);
    const nowMs = clock.readMs();
    // After a restore of the store, its keeper may claim again.
    const startedAtMs = this.#isClaimOutdated(view)
      ? this.#eraSeenAtMs
      : sinceMs;
    const mayWait = isHandingOver || this.#isClaimOutdated(view);
    if (mayWait && nowMs - startedAtMs < HANDOVER_TIMEOUT_MS) {
      return;
    }
    this.#claiming.add(part);
    await this.#claim(part, view);
    this.#claiming.delete(part);
  }

  /**
   * Whether the keeper has asked for a pledge recently, which means that it
   * cannot reach the store and so will write no resignation. A request from
   * before its latest claim means nothing.
   */
  #isKeeperWithoutStore(part: number, view: PartitionView): boolean {
    const requested = this.#exchange.findRequestedPledge(part);
    return requested !== undefined &&
      requested.term >= (findTerm(view) ?? -1) &&
      this.#options.clock.readMs() - requested.atMs < HANDOVER_TIMEOUT_MS;
  }

  /** Whether the keeper has said that it has stopped. */
  #hasKeeperStopped(part: number, view: PartitionView): boolean {
    const keeper = this.findKeeper(part);
    return keeper !== undefined &&
      this.#exchange.findStopNotice(part, {
          ...keeper,
          term: findTerm(view) ?? -1,
          witnesses: [],
        }) !== undefined;
  }

  /**
   * Whether the keeper is alive and will hand over; a lost keeper never does.
   */
  #isKeeperAlive(part: number): boolean {
    const keeper = this.findKeeper(part);
    return keeper !== undefined && this.#options.isAlive(keeper.instance);
  }

  async #claim(part: number, view: PartitionView): Promise<void> {
    const { clock, store, topic, observe } = this.#options;
    const claim = { ...this.#createClaim(), witnesses: this.#listWitnesses() };
    const partition = { topic, part };
    // Reads the store again: records that other instances forwarded are good
    // enough for routing only.
    const read = await store.readNewest(partition);
    if (!read.ok) {
      observe({ kind: "claim-failed", partition, cause: read.val.kind });
      return;
    }
    if (!this.#assignment.has(part)) {
      return;
    }
    const { records, end: at } = read.val;
    const state = parsePartitionState(records, at);
    if (this.#mayHandOver(part, view, state)) {
      view.scheduleRead();
      return;
    }
    for (const message of state.faults) {
      observe({ kind: "record-fault", message });
    }
    const predecessors = this.#createPredecessorTracker(part, state);
    const sentAtMs = clock.readMs();
    const record: KeeperClaim = {
      ...claim,
      term: at,
      unresolved: predecessors.listAll(),
    };
    const value = JSON.stringify(record);
    const appended = await store
      .append({ partition, key: KEEPER_KEY, value, at });
    if (!appended.ok) {
      observe({ kind: "claim-failed", partition, cause: appended.val.kind });
      return;
    }
    const term = appended.val;
    if (this.#exchange.hasAcceptedReplacement(part, term)) {
      return;
    }
    predecessors.recordClaimed();
    this.#predecessors.set(part, predecessors);
    const predecessor = predecessors.computeState().kind;
    observe({ kind: "claimed", partition, term, predecessor });
    this.#options.onAppended?.(part, { offset: term, key: KEEPER_KEY, value });
    this.#options.onClaim?.(part, term);
    this.#startKeeper({
      part,
      term,
      view,
      state,
      predecessors,
      sentAtMs,
      claim,
    });
  }

  /** The instances that a keeper of this instance names as its witnesses. */
  #listWitnesses(): readonly string[] {
    return this.#options.listGlobalHeartbeatSenders().map(formatIncarnation)
      .toSorted();
  }

  #createClaim(): KeeperClaim {
    const { claim, getStartNumber } = this.#options;
    const startNumber = getStartNumber();
    const start = startNumber === undefined ? {} : { startNumber };
    return { ...claim, ...start, canLapse: true };
  }

  /** Whether the store was restored since the newest claim that is known. */
  #isClaimOutdated(view: PartitionView): boolean {
    return getEra(findTerm(view) ?? 0) < this.#options.store.era;
  }

  /**
   * Whether a keeper has claimed again after a restore of the store, and has had
   * no time yet to hand over: the view lacks its claim.
   */
  #mayHandOver(
    part: number,
    view: PartitionView,
    state: PartitionState,
  ): boolean {
    const { term } = state;
    const isMissed = term !== undefined && term !== findTerm(view) &&
      getEra(state.end) > 0 && isClaimOfPresentEra(state) &&
      state.claim?.resigned !== true;
    if (!isMissed) {
      return false;
    }
    const nowMs = this.#options.clock.readMs();
    const known = this.#missedClaims.get(part);
    const missed = known?.term === term ? known : { term, sinceMs: nowMs };
    this.#missedClaims.set(part, missed);
    return nowMs - missed.sinceMs < HANDOVER_TIMEOUT_MS;
  }

  #createPredecessorTracker(
    part: number,
    state: PartitionState,
  ): PredecessorTracker {
    const { clock, timing, claim, hasInstanceEnded } = this.#options;
    const exchange = this.#exchange;
    this.#recordEra();
    const eraSeenAtMs = this.#eraSeenAtMs;
    return new PredecessorTracker(
      { clock, timing, claim, exchange, hasInstanceEnded, eraSeenAtMs },
      part,
      state,
    );
  }

  #startKeeper(options: {
    readonly part: number;
    readonly term: number;
    readonly view: PartitionView;
    readonly state: PartitionState;
    readonly predecessors: PredecessorTracker;
    readonly sentAtMs: number;
    readonly claim: KeeperClaim;
  }): void {
    const { part, term, view, state, predecessors, sentAtMs, claim } = options;
    const {
      clock,
      store,
      orders,
      topic,
      timing,
      listServiceSnapshots,
      hasEnded,
    } = this.#options;
    const partition = { topic, part };
    const keeper: KeyKeeper = new KeyKeeper({
      clock,
      store,
      orders,
      partition,
      timing,
      term,
      claimSentAtMs: sentAtMs,
      claim,
      tables: state.tables,
      getPredecessor: () => predecessors.computeState(),
      listServiceSnapshots: () => listServiceSnapshots(part),
      hasEnded,
      listWitnessesToRecord: () => this.#listWitnesses(),
      listUnresolved: () => predecessors.listUnresolved(),
      getPledge: (from) =>
        this.#exchange.computePledge(part, this.#listPledgers(part, from)),
      getConfirmedAtMs: () =>
        getEra(view.end) === getEra(keeper.term)
          ? view.storeConfirmedAtMs
          : -Infinity,
      getTrustedSinceMs: this.#options.getTrustedSinceMs,
      observe: (event) =>
        this.#options.observe({ kind: "keeper", partition, event }),
      onClaimedAgain: (newTerm) => this.#options.onClaim?.(part, newTerm),
      onAppended: (record) => this.#options.onAppended?.(part, record),
      onRestored: (end) => this.#options.onRestored?.(part, end),
      onTableWritten: (written) =>
        this.#options.onTableWritten?.({ ...written, part }),
      onGranted: (granted) => this.#options.onGranted?.(granted),
    });
    this.#keepers.set(part, keeper);
    this.#latestKeepers.set(part, keeper);
    void keeper.run();
  }

  /**
   * Whether another process's claim may still be in force. A record that cannot
   * be read counts as such a claim.
   */
  #hasActiveClaim(view: PartitionView): boolean {
    const { claim: own, hasInstanceEnded } = this.#options;
    const record = view.getRecord(KEEPER_KEY);
    const claim = record && parseClaim(record);
    if (claim === undefined) {
      return record !== undefined;
    }
    return claim.resigned !== true && claim.incarnation !== own.incarnation &&
      !hasInstanceEnded(claim);
  }
}

/** The term of the newest claim that a view contains. */
function findTerm(view: PartitionView): number | undefined {
  const record = view.getRecord(KEEPER_KEY);
  return record && (parseClaim(record)?.term ?? record.offset);
}
