/**
 * Runs one instance's term as the keeper of a partition of the ownership table.
 *
 * Only the partition decides which instance is the keeper. A keeper's claim is
 * a record in the partition, and the offset of the claim is the keeper's term.
 * The keeper appends each later record on the condition that the partition
 * still ends where the keeper last wrote, so a replaced keeper can write
 * nothing more. The offset of a record, which is known before the append, is
 * the fencing token of the ranges that the record assigns.
 *
 * A restore of the store ends the term: the claim, or that of a successor, may
 * be lost. A keeper that no successor can have replaced claims again, goes on
 * with what it knows, and writes its tables again.
 */
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { Clock } from "@lentilspur/ports/clock";
import type { KeyOrderSender } from "@lentilspur/ports/key_orders";
import type {
  Partition,
  Store,
  StoreFailure,
  StoreRecord,
} from "@lentilspur/ports/store";
import { getEra, isOfEarlierEra } from "@lentilspur/ports/store_offset";
import { computeHoldEndMs } from "./hold_tracker.ts";
import {
  findHighestToken,
  type Holder,
  type KeyTable,
  type OwnedRange,
  serializeTable,
  settleRanges,
} from "./key_table.ts";
import type { KeeperTiming } from "./keeper_timing.ts";
import {
  formatTableKey,
  KEEPER_KEY,
  type KeeperClaim,
  type KeeperWitnesses,
  type UnresolvedKeeper,
  WITNESSES_KEY,
} from "./keeper_records.ts";
import { parsePartitionState, type PartitionState } from "./partition_state.ts";
import {
  type InheritedGrants,
  type OrderReport,
  TableReconciler,
} from "./table_reconciler.ts";
import type { MovedKeys } from "./planned_move.ts";
import {
  type PlannedTable,
  type ServiceSnapshot,
  TablePlanner,
} from "./table_planner.ts";

/**
 * State of the previous keeper. `none`: there was none. `resigned`: it has
 * stopped, and none of its unanswered grants can take effect any more. `ended`:
 * it has stopped, but its orders may be in flight. `unknown`: it may still be
 * running and sending orders.
 */
export interface PredecessorState {
  readonly kind: "none" | "resigned" | "ended" | "unknown";
  /** The previous keeper sends no order after this time; local clock. */
  readonly lastOrderAtMs: number;
  /**
   * Until then, targets may hold keys without any record that names them as
   * owners, because the record was lost in a restore of the store; local clock,
   * -Infinity if the records are complete.
   */
  readonly unknownOwnersUntilMs: number;
}

/** Which instances have to pledge: the witnesses, or all that are known. */
export type PledgeScope = "witnesses" | "all-instances";

/** What all pledges together let a keeper do; local clock. */
export interface JointPledge {
  /** When the first pledge runs out; -Infinity if one is missing. */
  readonly untilMs: number;
  /** The last start of a process that gave one; Infinity if one is unknown. */
  readonly lastStartMs: number;
}

type StopReason = "replaced" | "no-authority" | "asked";

export type KeeperEvent =
  | {
    readonly kind: "planned";
    readonly service: string;
    readonly token: number;
    readonly changes: number;
    /** Number of keys that change owners, by reason. */
    readonly movedKeys: MovedKeys;
    readonly ranges: number;
  }
  | {
    readonly kind: "settled";
    readonly service: string;
    readonly offset: number;
  }
  | {
    readonly kind: "append-failed";
    readonly cause: StoreFailure["kind"];
    readonly message: string;
  }
  | {
    /** The claim was lost in a restore of the store, and was made again. */
    readonly kind: "claimed-again";
    readonly term: number;
    readonly previousTerm: number;
  }
  | {
    readonly kind: "stopped";
    readonly why: StopReason;
  }
  | ({ readonly kind: "order"; readonly service: string } & OrderReport);

export interface KeyKeeperOptions {
  readonly clock: Clock;
  readonly store: Store;
  readonly orders: KeyOrderSender;
  readonly partition: Partition;
  readonly timing: KeeperTiming;
  /** Offset of this keeper's claim. */
  readonly term: number;
  /**
   * When the claim was sent. Its acceptance confirms the keeper as of this
   * time; local clock.
   */
  readonly claimSentAtMs: number;
  readonly claim: KeeperClaim;
  /** Tables at the time when the claim was accepted. */
  readonly tables: ReadonlyMap<string, KeyTable>;
  /** The previous keeper, as far as its state is known now. */
  readonly getPredecessor: () => PredecessorState;
  readonly listServiceSnapshots: () => readonly ServiceSnapshot[];
  readonly hasEnded: (holder: Holder) => boolean;
  /** Incarnations to record as witnesses, in a fixed order. */
  readonly listWitnessesToRecord: () => readonly string[];
  /** Earlier keepers that may still act. */
  readonly listUnresolved: () => readonly UnresolvedKeeper[];
  /** The pledges of others to let this keeper act without the store. */
  readonly getPledge: (from: PledgeScope) => JointPledge;
  /**
   * When a read last showed that there is no newer claim, in the store's era of
   * the keeper's term; local clock.
   */
  readonly getConfirmedAtMs: () => number;
  /**
   * Confirmations from before this time are ignored: the machine may have been
   * suspended since then, and the monotonic clock does not count that time.
   * Local clock.
   */
  readonly getTrustedSinceMs: () => number;
  readonly observe: (event: KeeperEvent) => void;
  /** Called with the new term after this keeper has claimed again. */
  readonly onClaimedAgain?: (term: number) => void;
  /** Called with each record that the store has accepted. */
  readonly onAppended?: (record: StoreRecord) => void;
  /**
   * Called with the end of the partition after the keeper had to read it: the
   * partition may contain a table that was never announced, because the
   * response to its append was lost.
   */
  readonly onRestored?: (end: number) => void;
  /** Called with each table after the store has accepted its record. */
  readonly onTableWritten?: (written: WrittenTableChange) => void;
  /**
   * Called with each range that has been granted to its new owner, before this
   * is recorded in the store.
   */
  readonly onGranted?: (granted: GrantedRange) => void;
}

/** A table that the store has accepted. */
export interface WrittenTableChange {
  readonly service: string;
  readonly offset: number;
  /** Undefined if the difference to it must not be used. */
  readonly before: KeyTable | undefined;
  readonly after: KeyTable;
}

/** A range that has been granted to its new owner. */
export interface GrantedRange {
  readonly service: string;
  readonly range: OwnedRange;
}

/**
 * Minimum interval between reads that look for a newer claim. Each store call
 * has a cost, and a hold outlasts several of these intervals.
 */
const CONFIRM_INTERVAL_MS = 500;
/** Pause after a failed append before the next one. */
const APPEND_BACKOFF_MS = 250;
/**
 * Completed moves are recorded with the next plan, or after this time if there
 * is none; instances have already been notified of each move. Each append has a
 * cost: at an interval of 300 ms, completed moves would cause half of a
 * keeper's five appends per second.
 */
const SETTLE_INTERVAL_MS = 1_000;
/** Interval between attempts to claim again after a restore of the store. */
const CLAIM_INTERVAL_MS = 100;
/** Interval of the keeper's main loop. */
const TICK_MS = 50;
/** Instances that start or end shortly after each other share one record. */
const WITNESSES_INTERVAL_MS = 1_000;

export class KeyKeeper {
  readonly #options: KeyKeeperOptions;
  readonly #tables = new Map<string, KeyTable>();
  readonly #reconcilers = new Map<string, TableReconciler>();
  readonly #stop = new AbortController();
  readonly #planner: TablePlanner;
  /** Services whose tables the store lacks or has in an older form. */
  readonly #lostTables = new Set<string>();
  /**
   * Services whose tables go to other instances as a whole until one has a token
   * of this term: they may know a table that the store has lost, and not the one
   * that this keeper has.
   */
  readonly #unsharedTables = new Set<string>();
  #term: number;
  #endOffset: number;
  /** When the claim that the store accepted was sent; local clock. */
  #claimedAtMs: number;
  #lastContactAtMs: number;
  /** Until when this keeper has had authority without a gap; local clock. */
  #authorizedUntilMs = -Infinity;
  /** JSON text of the newest record of witnesses that the store accepted. */
  #lastWitnessesRecord = "";
  /**
   * Incarnations that a record of witnesses may list which is the newest one now
   * or after a restore of the store, each with the time at which a confirmation
   * ends this; local clock, Infinity while the newest record may list it.
   */
  readonly #recordedWitnesses = new Map<string, number>();
  /**
   * The witnesses that were last to be recorded. They stay while this keeper
   * hears of no instance: nobody could end a successor's wait for a keeper that
   * names nobody.
   */
  #lastWitnesses: readonly string[] = [];
  #nextWitnessesAtMs = 0;
  #nextAppendAtMs = -Infinity;
  #nextSettledAtMs = -Infinity;
  #nextPlanAtMs = 0;
  #nextRegainAtMs = 0;
  #releasesRequiredUntilMs = -Infinity;
  #nextClaimAtMs = 0;

  constructor(options: KeyKeeperOptions) {
    this.#options = options;
    this.#planner = new TablePlanner(options.clock, options.timing);
    this.#term = options.term;
    this.#endOffset = options.term + 1;
    this.#claimedAtMs = options.claimSentAtMs;
    this.#lastContactAtMs = options.claimSentAtMs;
    this.#lastWitnesses = options.claim.witnesses ?? [];
    this.#lastWitnesses
      .forEach((name) => this.#recordedWitnesses.set(name, Infinity));
    const { unknownOwnersUntilMs } = options.getPredecessor();
    for (const [service, table] of options.tables) {
      this.#setTable(service, table);
      if (unknownOwnersUntilMs > -Infinity) {
        this.#unsharedTables.add(service);
      }
    }
  }

  /** Offset of this keeper's latest claim. */
  get term(): number {
    return this.#term;
  }

  /** Whether the store was restored since this keeper's latest claim. */
  get hasOutdatedTerm(): boolean {
    return getEra(this.#term) < this.#options.store.era;
  }

  get hasStopped(): boolean {
    return this.#stop.signal.aborted;
  }

  /** Runs until the keeper is replaced or stopped. Never rejects. */
  async run(): Promise<void> {
    const { clock, timing } = this.#options;
    while (!this.hasStopped) {
      if (this.hasOutdatedTerm) {
        await this.#claimAfterRestore();
      }
      const nowMs = clock.readMs();
      for (const reconciler of this.#reconcilers.values()) {
        reconciler.advance();
      }
      if (nowMs >= this.#nextPlanAtMs && this.#mayAct()) {
        this.#nextPlanAtMs = nowMs + timing.planIntervalMs;
        await this.#plan();
      }
      await this.#writeLostTables();
      await this.#writeSettled();
      await this.#writeWitnesses();
      if (!this.hasStopped && !this.#mayAct()) {
        await this.#regainAuthority();
      }
      await clock.sleep(TICK_MS, this.#stop.signal);
    }
  }

  /**
   * Makes the next iteration of the main loop plan, because targets changed.
   */
  schedulePlan(): void {
    this.#nextPlanAtMs = 0;
  }

  /** Stops the keeper, which then sends no more orders. */
  stop(why: StopReason): void {
    if (!this.hasStopped) {
      this.#stop.abort();
      this.#options.observe({ kind: "stopped", why });
    }
  }

  /**
   * Stops and, if no unanswered grant can still take effect, records a
   * resignation, so that the successor need not wait for this keeper.
   */
  async leave(): Promise<void> {
    const { clock, timing } = this.#options;
    // A resignation counts only if the claim is in the store.
    while (this.hasOutdatedTerm && !this.hasStopped) {
      await clock.sleep(TICK_MS);
    }
    this.stop("asked");
    await clock.sleep(timing.orderTimeoutMs);
    if (this.isClean) {
      const value = this.#serializeClaim({
        term: this.#endOffset,
        resigned: true,
      });
      await this.#append(KEEPER_KEY, value);
    }
  }

  #serializeClaim(
    { term, resigned }: Required<Pick<KeeperClaim, "term" | "resigned">>,
  ): string {
    const { claim, listUnresolved } = this.#options;
    const record: KeeperClaim = {
      ...claim,
      term,
      ...(resigned ? { resigned } : {}),
      unresolved: listUnresolved(),
      witnesses: this.#lastWitnesses,
    };
    return JSON.stringify(record);
  }

  /**
   * When the store last confirmed this keeper, in the era of its term; local
   * clock.
   */
  get confirmedAtMs(): number {
    this.#lastContactAtMs = Math.max(
      this.#lastContactAtMs,
      this.#options.getConfirmedAtMs(),
    );
    return this.#lastContactAtMs;
  }

  /** Whether none of its unanswered grants can take effect any more. */
  get isClean(): boolean {
    return [...this.#reconcilers.values()]
      .every((reconciler) => !reconciler.hasUnansweredGrants());
  }

  /**
   * Checked before each order. After a long time without the store, another
   * keeper may have claimed the partition, and its waiting time may be over. A
   * successor that was asked for pledges has refused them or waits until its
   * last pledge has expired, but at least for `authorityMs`; a successor that
   * was never asked waits for `maxAuthorityMs`.
   */
  #mayAct(): boolean {
    const { clock, timing, getTrustedSinceMs } = this.#options;
    const { confirmedAtMs } = this;
    if (this.hasStopped || confirmedAtMs < getTrustedSinceMs()) {
      return false;
    }
    const nowMs = clock.readMs();
    const confirmedUntilMs = confirmedAtMs + timing.authorityMs;
    const untilMs = nowMs < confirmedUntilMs
      ? confirmedUntilMs
      : this.#computePledgedUntilMs(nowMs);
    const mayAct = nowMs < untilMs;
    this.#authorizedUntilMs = mayAct
      ? Math.max(this.#authorizedUntilMs, untilMs)
      : Math.min(this.#authorizedUntilMs, nowMs);
    return mayAct;
  }

  /**
   * Until when pledges let this keeper act. After a gap in its authority, only
   * pledges of processes count that ran before it: a process that started later
   * may have forgotten a newer claim, or its promise to a successor to give no
   * pledge. A successor counts on this, so that a lapse lasts.
   */
  #computePledgedUntilMs(nowMs: number): number {
    const { timing, getPledge } = this.#options;
    const ageMs = nowMs - this.confirmedAtMs;
    if (ageMs >= timing.maxAuthorityMs || !this.#hasTakenOver()) {
      return -Infinity;
    }
    const isBrief = this.#isSettled() || ageMs < timing.unsettledAuthorityMs;
    const pledge = getPledge(isBrief ? "witnesses" : "all-instances");
    // No successor moves keys earlier than a hold after the end of authority.
    const lapsedAtMs = Math.max(
      this.#authorizedUntilMs,
      this.confirmedAtMs + timing.authorityMs + timing.holdMs,
    );
    const isGap = nowMs > lapsedAtMs && pledge.lastStartMs > lapsedAtMs;
    const longestMs = this.confirmedAtMs + timing.maxAuthorityMs;
    return isGap ? -Infinity : Math.min(pledge.untilMs, longestMs);
  }

  /**
   * Whether the store has confirmed this keeper since no predecessor can act any
   * more. Before that, a restore of the store may let a predecessor go on that
   * this keeper has replaced.
   */
  #hasTakenOver(): boolean {
    const { isClean, untilMs } = this.#describeInherited();
    return isClean || this.confirmedAtMs >= untilMs;
  }

  /** Whether the claim is in every copy that the store is restored from. */
  #isSettled(): boolean {
    const { settledAfterMs } = this.#options.timing;
    return this.confirmedAtMs - this.#claimedAtMs >= settledAfterMs;
  }

  /**
   * Whether no successor can have moved keys of this keeper in an earlier era,
   * except for those of ended targets. One that claimed after the last
   * confirmation waits for a hold after each release, and then gives keys to new
   * owners only if the store has just confirmed it.
   */
  #isSoleKeeper(): boolean {
    const { clock, timing, getTrustedSinceMs } = this.#options;
    const { confirmedAtMs } = this;
    const soleUntilMs = computeHoldEndMs(confirmedAtMs, timing.holdMs) -
      timing.confirmedForMoveMs;
    return this.#mayAct() ||
      (!this.hasStopped && confirmedAtMs >= getTrustedSinceMs() &&
        clock.readMs() < soleUntilMs);
  }

  /** Claims again after the store was restored, or stops. */
  async #claimAfterRestore(): Promise<void> {
    if (!this.#isSoleKeeper()) {
      this.stop("no-authority");
      return;
    }
    if (this.#options.clock.readMs() >= this.#nextClaimAtMs) {
      this.#nextClaimAtMs = this.#options.clock.readMs() + CLAIM_INTERVAL_MS;
      await this.#restoreFromStore();
    }
  }

  /**
   * Writes the tables again at the end of the partition, and then claims it: a
   * claim in the new era tells a successor that the tables are complete. On
   * failure the next iteration of the main loop reads the partition first.
   */
  async #claimAgain(end: number): Promise<void> {
    if (!this.#isSoleKeeper()) {
      this.stop("no-authority");
      return;
    }
    let offset = end;
    for (const [service, table] of this.#tables) {
      const value = serializeTable(table);
      const key = formatTableKey(service);
      if (!await this.#appendAt(offset, key, value)) {
        return;
      }
      offset++;
    }
    const sentAtMs = this.#options.clock.readMs();
    const value = this.#serializeClaim({ term: offset, resigned: false });
    if (await this.#appendAt(offset, KEEPER_KEY, value)) {
      this.#startTerm(offset, sentAtMs);
    }
  }

  async #appendAt(at: number, key: string, value: string): Promise<boolean> {
    const { store, partition, onAppended } = this.#options;
    const appended = await store.append({ partition, key, value, at });
    if (appended.ok) {
      onAppended?.({ offset: appended.val, key, value });
    }
    return appended.ok;
  }

  #startTerm(term: number, claimSentAtMs: number): void {
    const previousTerm = this.#term;
    this.#term = term;
    this.#endOffset = term + 1;
    this.#claimedAtMs = claimSentAtMs;
    this.#lastContactAtMs = claimSentAtMs;
    this.#releasesRequiredUntilMs = this.#computeUnknownHoldsEndMs();
    this.#lastWitnessesRecord = "";
    this.#nextWitnessesAtMs = 0;
    this.#lostTables.clear();
    for (const service of this.#tables.keys()) {
      this.#unsharedTables.add(service);
    }
    this.#options.observe({ kind: "claimed-again", term, previousTerm });
    this.#options.onClaimedAgain?.(term);
  }

  /**
   * When the holds end that an unknown successor may have granted in the last
   * era, on keys of ended targets.
   */
  #computeUnknownHoldsEndMs(): number {
    const { clock, timing } = this.#options;
    const lastGrantAtMs = clock.readMs() + timing.confirmedForMoveMs +
      timing.orderTimeoutMs;
    return computeHoldEndMs(lastGrantAtMs, timing.holdMs);
  }

  /** Writes the tables that the store lost. */
  async #writeLostTables(): Promise<void> {
    for (const service of [...this.#lostTables]) {
      const table = this.#tables.get(service);
      if (table !== undefined && this.#mayAct()) {
        await this.#appendTable(service, table);
      }
    }
  }

  /**
   * Reads the store at limited intervals to confirm that there is no newer
   * claim.
   */
  async #regainAuthority(): Promise<void> {
    const { clock } = this.#options;
    if (clock.readMs() >= this.#nextRegainAtMs) {
      this.#nextRegainAtMs = clock.readMs() + CONFIRM_INTERVAL_MS;
      await this.#restoreFromStore();
    }
  }

  #setTable(service: string, table: KeyTable): void {
    this.#tables.set(service, table);
    let reconciler = this.#reconcilers.get(service);
    if (reconciler === undefined) {
      reconciler = this.#createReconciler(service);
      this.#reconcilers.set(service, reconciler);
    }
    reconciler.setTable(table);
  }

  #createReconciler(service: string): TableReconciler {
    const { clock, orders, timing, term, hasEnded, observe } = this.#options;
    return new TableReconciler({
      clock,
      orders,
      timing,
      mayAct: () => this.#mayAct(),
      hasEnded,
      inheritedToken: term,
      getTerm: () => this.#term,
      inheritedRanges: this.#options.tables.get(service)?.ranges ?? [],
      getInherited: () => this.#describeInherited(),
      isConfirmed: () =>
        clock.readMs() - this.confirmedAtMs < timing.confirmedForMoveMs,
      getReleasesRequiredUntilMs: () => this.#releasesRequiredUntilMs,
      report: (report) => observe({ kind: "order", service, ...report }),
      onGranted: (range) => this.#options.onGranted?.({ service, range }),
      onSuperseded: () => void this.#restoreFromStore(),
    });
  }

  /** Grants of earlier keepers that may still be in force. */
  #describeInherited(): InheritedGrants {
    const { timing, getPredecessor } = this.#options;
    const { kind, lastOrderAtMs, unknownOwnersUntilMs } = getPredecessor();
    return {
      untilMs: computeHoldEndMs(lastOrderAtMs, timing.holdMs),
      isClean: kind === "resigned" || kind === "none",
      isPredecessorActive: kind === "unknown",
      unknownOwnersUntilMs,
    };
  }

  /**
   * Whether a key can be moved without a long wait. Until the grants of a lost
   * keeper have expired, each move leaves its keys unserved for up to 3.5 s. In
   * that time a fifth of all requests is rejected, whereas an overloaded owner
   * that keeps its keys rejects a twentieth.
   */
  #hasFastMoves(): boolean {
    const { isClean, untilMs } = this.#describeInherited();
    return isClean || this.#options.clock.readMs() >= untilMs;
  }

  async #plan(): Promise<void> {
    for (const snapshot of this.#options.listServiceSnapshots()) {
      const { service } = snapshot;
      if (!this.#tables.has(service) && this.#mayTableExist()) {
        continue;
      }
      const plan = this.#planner.plan(snapshot, {
        table: this.#tables.get(service),
        reconciler: this.#reconcilers.get(service),
        token: this.#endOffset,
        rebalance: this.#hasFastMoves(),
      });
      if (plan !== undefined) {
        await this.#writeTable(service, plan);
      }
    }
  }

  /** Whether an unknown keeper may have written a table that is lost. */
  #mayTableExist(): boolean {
    return this.#options.clock.readMs() < Math.max(
      this.#releasesRequiredUntilMs,
      this.#describeInherited().unknownOwnersUntilMs,
    );
  }

  async #writeTable(
    service: string,
    { table: next, changes, movedKeys }: PlannedTable,
  ): Promise<void> {
    const token = this.#endOffset;
    if (await this.#appendTable(service, next)) {
      this.#options.observe({
        kind: "planned",
        service,
        token,
        changes,
        movedKeys,
        ranges: next.ranges.length,
      });
    }
  }

  /** Records the incarnations that this keeper asks for pledges. */
  async #writeWitnesses(): Promise<void> {
    const {
      clock,
      listWitnessesToRecord: listWitnesses,
      listUnresolved,
    } = this.#options;
    const nowMs = clock.readMs();
    if (nowMs < this.#nextWitnessesAtMs || !this.#mayAct()) {
      return;
    }
    this.#nextWitnessesAtMs = nowMs + WITNESSES_INTERVAL_MS;
    const alive = listWitnesses();
    const instances = alive.length > 0 ? alive : this.#lastWitnesses;
    const unresolved = listUnresolved();
    const record: KeeperWitnesses = {
      term: this.#term,
      instances,
      unresolved,
    };
    const text = JSON.stringify(record);
    if (text === this.#lastWitnessesRecord) {
      return;
    }
    // Until the store has confirmed the append, either record may be the
    // newest.
    instances.forEach((name) => this.#recordedWitnesses.set(name, Infinity));
    this.#lastWitnesses = instances;
    if (await this.#append(WITNESSES_KEY, text)) {
      this.#lastWitnessesRecord = text;
      this.#expireWitnesses(instances);
    }
  }

  /** Lets the witnesses expire that the newest record does not list. */
  #expireWitnesses(listed: readonly string[]): void {
    const { clock, timing } = this.#options;
    const settledAtMs = clock.readMs() + timing.settledAfterMs;
    for (const [name, expiresAtMs] of this.#recordedWitnesses) {
      if (listed.includes(name)) {
        continue;
      }
      if (expiresAtMs <= this.confirmedAtMs) {
        this.#recordedWitnesses.delete(name);
      } else {
        const earliestMs = Math.min(expiresAtMs, settledAtMs);
        this.#recordedWitnesses.set(name, earliestMs);
      }
    }
  }

  /**
   * Incarnations that a successor may find recorded as this keeper's witnesses.
   */
  listNamedWitnesses(): readonly string[] {
    return [...this.#recordedWitnesses]
      .filter(([, expiresAtMs]) => expiresAtMs > this.confirmedAtMs)
      .map(([name]) => name);
  }

  /** Records which ranges have been granted to their new owners. */
  async #writeSettled(): Promise<void> {
    const nowMs = this.#options.clock.readMs();
    if (nowMs < this.#nextSettledAtMs) {
      return;
    }
    for (const [service, table] of this.#tables) {
      const reconciler = this.#reconcilers.get(service)!;
      const hasCompletedMoves = table.ranges
        .some((range) =>
          range.former.length > 0 && reconciler.isSettled(range)
        );
      if (!hasCompletedMoves || !this.#mayAct()) {
        continue;
      }
      const next = settleRanges(table, (range) => reconciler.isSettled(range));
      const offset = this.#endOffset;
      if (await this.#appendTable(service, next)) {
        this.#options.observe({ kind: "settled", service, offset });
      }
    }
  }

  async #appendTable(service: string, after: KeyTable): Promise<boolean> {
    const isUnshared = this.#lostTables.has(service) ||
      this.#unsharedTables.has(service);
    const before = isUnshared ? undefined : this.#tables.get(service);
    const offset = this.#endOffset;
    const key = formatTableKey(service);
    if (!await this.#append(key, serializeTable(after))) {
      return false;
    }
    this.#lostTables.delete(service);
    if (findHighestToken(after) > this.#term) {
      this.#unsharedTables.delete(service);
    }
    this.#nextSettledAtMs = this.#options.clock.readMs() + SETTLE_INTERVAL_MS;
    this.#setTable(service, after);
    this.#reconcilers.get(service)!.advance();
    this.#options.onTableWritten?.({ service, offset, before, after });
    return true;
  }

  async #append(key: string, value: string): Promise<boolean> {
    const { store, partition, clock, observe } = this.#options;
    const sentAtMs = clock.readMs();
    if (sentAtMs < this.#nextAppendAtMs) {
      return false;
    }
    const appended = await store.append({
      partition,
      key,
      value,
      at: this.#endOffset,
    });
    if (appended.ok) {
      this.#endOffset = appended.val + 1;
      this.#lastContactAtMs = sentAtMs;
      this.#options.onAppended?.({ offset: appended.val, key, value });
      return true;
    }
    const failure = appended.val;
    observe({
      kind: "append-failed",
      cause: failure.kind,
      message: "message" in failure ? failure.message : failure.kind,
    });
    this.#nextAppendAtMs = clock.readMs() + APPEND_BACKOFF_MS;
    if (failure.kind !== "refused") {
      await this.#restoreFromStore();
    }
    return false;
  }

  /**
   * Reads the partition after a conflict or a lost response and continues from
   * its contents. An append of this keeper may have taken effect after all; a
   * newer claim stops the keeper. An append that is still in flight either
   * fails or is found by the next read, since its condition names one offset.
   */
  async #restoreFromStore(): Promise<void> {
    const state = await this.#readPartitionState();
    if (!state.ok || this.hasStopped) {
      return;
    }
    const { term, claim, end, tables } = state.val;
    const isOwnClaim = claim?.incarnation === this.#options.claim.incarnation;
    if (term !== undefined && term > this.#term && !isOwnClaim) {
      this.stop("replaced");
      return;
    }
    if (isOfEarlierEra(this.#term, end) || (term ?? -1) < this.#term) {
      // The claim is lost, or a late append of an earlier keeper hides it.
      await this.#claimAgain(end);
      return;
    }
    this.#endOffset = end;
    for (const [service, table] of tables) {
      this.#restoreTable(service, table);
    }
    this.#options.onRestored?.(end);
  }

  /**
   * Takes over a table from the store, unless it is older than the known one: a
   * late append can be carried out after a restore of the store.
   */
  #restoreTable(service: string, table: KeyTable): void {
    const known = this.#tables.get(service);
    if (
      known !== undefined && findHighestToken(table) < findHighestToken(known)
    ) {
      this.#lostTables.add(service);
      return;
    }
    this.#setTable(service, table);
  }

  async #readPartitionState(): Promise<Result<PartitionState, StoreFailure>> {
    const { store, partition, clock } = this.#options;
    const sentAtMs = clock.readMs();
    const read = await store.readNewest(partition);
    if (!read.ok) {
      return Err(read.val);
    }
    const { records, end } = read.val;
    if (getEra(end) === getEra(this.#term)) {
      this.#lastContactAtMs = sentAtMs;
    }
    return Ok(parsePartitionState(records, end));
  }
}
