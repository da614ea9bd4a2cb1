/**
 * Decides when this instance is the keeper of a partition of the table of
 * owners.
 *
 * That a partition falls to it (`keeper_share`) is only a hint to claim; what
 * makes a keeper is its claim in the
 * partition. A keeper to whom the partition does not fall any more hands over:
 * it stops, says so in the partition, and the next need not wait for it.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type { KeyOrderSender } from "@lentilspur/ports/key_orders";
import type { Partition, Store, StoreRecord } from "@lentilspur/ports/store";
import { sleepUntilTick } from "@lentilspur/ports/tick";
import {
  type GrantedRange,
  type KeeperEvent,
  KeyKeeper,
  type PredecessorState,
} from "@lentilspur/ownership/key_keeper";
import type { ServiceSnapshot } from "@lentilspur/ownership/table_planner";
import {
  formatIncarnation,
  KEEPER_KEY,
  type KeeperClaim,
} from "@lentilspur/ownership/keeper_records";
import {
  parseClaim,
  parsePartitionState,
  type PartitionState,
} from "@lentilspur/ownership/partition_state";
import type { KeeperTiming } from "@lentilspur/ownership/keeper_timing";
import type { Holder } from "@lentilspur/ownership/key_table";
import {
  type AwaitedPredecessor,
  PredecessorTracker,
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
    /** Earlier keepers that a keeper here waits for have changed. */
    readonly kind: "waits";
    readonly part: number;
    readonly awaited: readonly AwaitedPredecessor[];
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
  readonly topic: string;
  /** The shortest time after which the store takes a silent member for gone. */
  readonly minMemberTtlMs: number;
  /** Services whose tables are in a partition, with what is known of them. */
  readonly listServiceSnapshots: (part: number) => readonly ServiceSnapshot[];
  /** The tail of a partition, once there is reason to follow it. */
  readonly getView: (part: number) => PartitionView | undefined;
  /** What was confirmed before this time does not count; own clock. */
  readonly getTrustedSinceMs: () => number;
  readonly hasEnded: (holder: Holder) => boolean;
  readonly hasInstanceEnded: (claim: KeeperClaim) => boolean;
  /** Later starts of instances may not be known here: reads the members. */
  readonly refreshMembers: () => void;
  /** Whether an instance has been heard of just now. */
  readonly isAlive: (instance: string) => boolean;
  /**
   * The other instances that may come to keep keys and are heard of, each with
   * its present start. One that is left out and claims all the same waits as
   * long as a keeper may act without the store at most.
   */
  readonly listAlive: () => readonly KeeperClaim[];
  /** Whether this instance is to stand ready to keep keys. */
  readonly isCandidate: () => boolean;
  readonly sendToPeer: (instance: string, message: KeeperMessage) => void;
  readonly observe: (event: KeeperServiceEvent) => void;
  /** Told of each table that a keeper here has written. */
  readonly onTableWritten?: (written: WrittenTable) => void;
  /** Told of each range that a keeper here has led to its new owner. */
  readonly onGranted?: (granted: GrantedRange) => void;
  /** Told of each record that a keeper here has appended. */
  readonly onAppended?: (part: number, record: StoreRecord) => void;
  /** Told where a partition ends that a keeper here has had to read. */
  readonly onResolved?: (part: number, end: number) => void;
  /** Told of each claim that was accepted here. */
  readonly onClaim?: (part: number, term: number) => void;
}

/** Between two looks at whether to claim. */
const TICK_MS = 100;
/** A keeper asks for pledges once the store has not answered for this long. */
const ASK_AFTER_MS = 1_000;
/** Datagrams that are to be answered go out again after this. */
const RESEND_MS = 300;
/** Between two reads of the members by a keeper that waits. */
const REFRESH_MS = 2_000;
/** The store has answered this instance within this; it joins every 0.5 s. */
const STORE_CONTACT_MS = 1_200;
/** So long a live predecessor has to hand over before it is replaced. */
const HAND_OVER_MS = 1_500;

export class KeeperService {
  readonly #options: KeeperServiceOptions;
  readonly #keepers = new Map<number, KeyKeeper>();
  readonly #assignment: PartitionAssignment;
  readonly #claiming = new Set<number>();
  /** The last keeper of each partition here, also once it has stopped. */
  readonly #latestKeepers = new Map<number, KeyKeeper>();
  readonly #predecessors = new Map<number, PredecessorTracker>();
  readonly #exchange: KeeperExchange;
  /** Whom the keeper of each partition waits for, as last told. */
  readonly #reportedAwaited = new Map<number, string>();
  #sentAtMs = -Infinity;
  #refreshedAtMs = -Infinity;

  constructor(options: KeeperServiceOptions) {
    this.#options = options;
    this.#assignment = new PartitionAssignment(options);
    this.#exchange = new KeeperExchange({
      clock: options.clock,
      claim: options.claim,
      pledgeMs: options.timing.pledgeMs,
      isStoreReachable: () => this.#hasStore(),
      getNewestTerm: (part) => this.#getNewestTerm(part),
      getKeeper: (part) => this.#latestKeepers.get(part),
      send: options.sendToPeer,
      observe: options.observe,
    });
  }

  /** What another instance tells of keepers. */
  applyMessage(message: KeeperMessage): void {
    this.#exchange.handle(message);
  }

  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.#assignment.run(signal), this.#runClaims(signal)]);
  }

  /** Targets have changed: keepers look at once. */
  schedulePlans(): void {
    for (const keeper of this.#keepers.values()) {
      keeper.schedulePlan();
    }
  }

  /** Whether any partition is kept here. */
  get hasKeptPartitions(): boolean {
    return this.#keepers.size > 0;
  }

  isKeeper(part: number): boolean {
    return this.#keepers.get(part)?.hasStopped === false;
  }

  /** Partitions that are kept here. */
  listKeptPartitions(): readonly number[] {
    return [...this.#keepers.keys()].filter((part) => this.isKeeper(part));
  }

  /** Whether a partition falls to this instance, or is kept here still. */
  hasPartition(part: number): boolean {
    return this.#assignment.has(part) || this.#keepers.has(part);
  }

  /** Whom the partition names as its keeper. */
  findKeeper(part: number): KeeperClaim | undefined {
    const record = this.#options.getView(part)?.getRecord(KEEPER_KEY);
    return record === undefined ? undefined : parseClaim(record.value);
  }

  /** Hands everything over, for a stop. */
  async leave(): Promise<void> {
    await this.#assignment.leave();
    await this.#transferKeepers();
  }

  /** The process ends: no order more, and others are told. */
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
      for (const [part, sinceMs] of this.#assignment.listAssigned()) {
        void this.#claimIfDue(part, sinceMs);
      }
      void this.#transferKeepers();
      await sleepUntilTick(this.#options.clock, TICK_MS, signal);
    }
    this.stop();
  }

  #hasStore(): boolean {
    const { clock, getView: getTail } = this.#options;
    const contacts = [
      ...this.#assignment.listAssigned().keys(),
      ...this.#keepers.keys(),
    ]
      .map((part) => getTail(part)?.storeConfirmedAtMs ?? -Infinity);
    const latestMs = Math.max(this.#assignment.lastJoinedAtMs, ...contacts);
    return clock.readMs() - latestMs < STORE_CONTACT_MS;
  }

  #getNewestTerm(part: number): number {
    const known = this.#options.getView(part)?.getRecord(KEEPER_KEY)?.offset;
    return Math.max(known ?? -1, this.#latestKeepers.get(part)?.term ?? -1);
  }

  /** Requests of keepers without the store, and news to replaced ones. */
  #sendPending(): void {
    const nowMs = this.#options.clock.readMs();
    if (nowMs - this.#sentAtMs < RESEND_MS) {
      return;
    }
    this.#sentAtMs = nowMs;
    for (const [part, keeper] of this.#keepers) {
      if (nowMs - keeper.confirmedAtMs > ASK_AFTER_MS) {
        this.#exchange.sendPledgeRequests(
          part,
          keeper.term,
          this.#listWitnesses(part),
        );
      }
      const awaited = this.#predecessors.get(part)!.describeAwaited();
      if (awaited.some(({ kind }) => kind === "unknown")) {
        this.#readMembers();
      }
      this.#reportAwaited(part, awaited);
      for (const { instance } of awaited) {
        this.#exchange.sendReplaced(instance, part, keeper.term);
      }
    }
  }

  /** A later start of whoever is waited for would end the wait. */
  #readMembers(): void {
    const nowMs = this.#options.clock.readMs();
    if (nowMs - this.#refreshedAtMs >= REFRESH_MS) {
      this.#refreshedAtMs = nowMs;
      this.#options.refreshMembers();
    }
  }

  /** Says whom a keeper here waits for, where that has changed. */
  #reportAwaited(part: number, awaited: readonly AwaitedPredecessor[]): void {
    const names = awaited.map(({ incarnation, kind }) =>
      `${incarnation} ${kind}`
    )
      .join();
    if (names !== (this.#reportedAwaited.get(part) ?? "")) {
      this.#reportedAwaited.set(part, names);
      this.#options.observe({ kind: "waits", part, awaited });
    }
  }

  /** Everybody heard of now, and everybody that a record may name. */
  #listWitnesses(part: number): readonly string[] {
    const named = this.#keepers.get(part)?.listNamedWitnesses() ?? [];
    return [...new Set([...this.#listHeard(), ...named.map(parseInstance)])];
  }

  #listHeard(): readonly string[] {
    return this.#options.listAlive().map(({ instance }) => instance);
  }

  /** The partition names another keeper: not one order more. */
  #stopReplaced(): void {
    const { getView: getTail } = this.#options;
    for (const [part, keeper] of this.#keepers) {
      const record = getTail(part)?.getRecord(KEEPER_KEY);
      if (record !== undefined && record.offset > keeper.term) {
        keeper.stop("replaced");
      }
      if (keeper.hasStopped) {
        this.#keepers.delete(part);
      }
    }
  }

  /** Keepers of partitions that fall to others now leave them. */
  async #transferKeepers(): Promise<void> {
    const leaving: Promise<void>[] = [];
    for (const [part, keeper] of this.#keepers) {
      if (!this.#assignment.has(part)) {
        this.#keepers.delete(part);
        leaving.push(this.#transferKeeper(part, keeper));
      }
    }
    await Promise.all(leaving);
  }

  async #transferKeeper(part: number, keeper: KeyKeeper): Promise<void> {
    await keeper.leave();
    this.#sendStopped(part, keeper);
  }

  /** Whoever claims next may have no other way to learn when this one stopped. */
  #sendStopped(part: number, keeper: KeyKeeper): void {
    this.#exchange.sendStopped(part, keeper, this.#listHeard());
  }

  async #claimIfDue(part: number, sinceMs: number): Promise<void> {
    const { clock, getView: getTail, listServiceSnapshots: listFacts } =
      this.#options;
    const tail = getTail(part);
    if (
      tail === undefined || !tail.isLoaded || this.#keepers.has(part) ||
      this.#assignment.isLeaving || !this.#assignment.isMember ||
      this.#claiming.has(part) ||
      listFacts(part).length === 0
    ) {
      return;
    }
    const isHandingOver = this.#hasActiveClaim(tail) &&
      this.#isKeeperAlive(part) && !this.#isKeeperWithoutStore(part);
    if (isHandingOver && clock.readMs() - sinceMs < HAND_OVER_MS) {
      return;
    }
    this.#claiming.add(part);
    await this.#claim(part, tail);
    this.#claiming.delete(part);
  }

  /** A keeper that has lost the store can not hand over in it. */
  #isKeeperWithoutStore(part: number): boolean {
    const askedAtMs = this.#exchange.getPledgeRequestedAtMs(part);
    return this.#options.clock.readMs() - askedAtMs < HAND_OVER_MS;
  }

  /** A keeper that lives will hand over; one that was lost never does. */
  #isKeeperAlive(part: number): boolean {
    const keeper = this.findKeeper(part);
    return keeper !== undefined && this.#options.isAlive(keeper.instance);
  }

  async #claim(part: number, tail: PartitionView): Promise<void> {
    const { clock, store, topic, claim, observe } = this.#options;
    const partition = { topic, part };
    // Read anew: what other instances passed on is good for routing only.
    const read = await store.readNewest(partition);
    if (!read.ok) {
      observe({ kind: "claim-failed", partition, cause: read.val.kind });
      return;
    }
    if (!this.#assignment.has(part)) {
      return;
    }
    const { records, end: at } = read.val;
    const standing = parsePartitionState(records, at);
    for (const message of standing.faults) {
      observe({ kind: "record-fault", message });
    }
    const earlier = this.#createEarlier(part, standing);
    const sentAtMs = clock.readMs();
    const appended = await store.append({
      partition,
      key: KEEPER_KEY,
      value: JSON.stringify({ ...claim, unresolved: earlier.listAll() }),
      at,
    });
    if (!appended.ok) {
      observe({ kind: "claim-failed", partition, cause: appended.val.kind });
      return;
    }
    const term = appended.val;
    if (this.#exchange.hasAcceptedReplacement(part, term)) {
      return;
    }
    earlier.recordClaimed();
    this.#predecessors.set(part, earlier);
    const predecessor = earlier.computeState().kind;
    observe({ kind: "claimed", partition, term, predecessor });
    this.#options.onClaim?.(part, term);
    this.#startKeeper({ part, term, tail, standing, earlier, sentAtMs });
  }

  #createEarlier(part: number, standing: PartitionState): PredecessorTracker {
    const { clock, timing, claim, hasInstanceEnded } = this.#options;
    const peers = this.#exchange;
    return new PredecessorTracker(
      { clock, timing, claim, peers, hasInstanceEnded },
      part,
      standing,
    );
  }

  #startKeeper(options: {
    readonly part: number;
    readonly term: number;
    readonly tail: PartitionView;
    readonly standing: PartitionState;
    readonly earlier: PredecessorTracker;
    readonly sentAtMs: number;
  }): void {
    const { part, term, tail, standing, earlier, sentAtMs } = options;
    const {
      clock,
      store,
      orders,
      topic,
      timing,
      claim,
      listServiceSnapshots: listFacts,
      hasEnded,
    } = this.#options;
    const partition = { topic, part };
    const keeper = new KeyKeeper({
      clock,
      store,
      orders,
      partition,
      timing,
      term,
      claimSentAtMs: sentAtMs,
      claim,
      tables: standing.tables,
      getPredecessor: () => earlier.computeState(),
      listServiceSnapshots: () => listFacts(part),
      hasEnded,
      listWitnesses: () =>
        this.#options.listAlive().map(formatIncarnation).toSorted(),
      listUnresolved: () => earlier.listUnresolved(),
      hasPledges: () =>
        this.#exchange.hasPledges(part, this.#listWitnesses(part)),
      getConfirmedAtMs: () => tail.storeConfirmedAtMs,
      getTrustedSinceMs: this.#options.getTrustedSinceMs,
      observe: (event) =>
        this.#options.observe({ kind: "keeper", partition, event }),
      onAppended: (record) => this.#options.onAppended?.(part, record),
      onRestored: (end) => this.#options.onResolved?.(part, end),
      onTableWritten: (written) =>
        this.#options.onTableWritten?.({ ...written, part }),
      onGranted: (granted) => this.#options.onGranted?.(granted),
    });
    this.#keepers.set(part, keeper);
    this.#latestKeepers.set(part, keeper);
    void keeper.run();
  }

  #hasActiveClaim(tail: PartitionView): boolean {
    const { claim: own, hasInstanceEnded } = this.#options;
    const record = tail.getRecord(KEEPER_KEY);
    const claim = record && parseClaim(record.value);
    if (claim === undefined) {
      return record !== undefined;
    }
    return claim.resigned !== true && claim.incarnation !== own.incarnation &&
      !hasInstanceEnded(claim);
  }
}

/** The instance of a text that `formatIncarnation` gave. */
function parseInstance(text: string): string {
  return text.slice(0, text.lastIndexOf("/"));
}
