/**
 * One instance's time as the keeper of a partition of the table of owners.
 *
 * The partition is the only arbiter. A keeper's claim is a record there; its
 * offset is the keeper's term. Every later record is appended on the condition
 * that the partition ends where this keeper last wrote, so one that has been
 * replaced can write nothing more; and the offset of a record, known before it
 * is appended, is the fencing token of what the record assigns.
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
import { computeHoldEndMs } from "./hold_tracker.ts";
import {
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
import { type ServiceSnapshot, TablePlanner } from "./table_planner.ts";

/**
 * What is known of the keeper before. `none`: there was none. `resigned`: it has
 * stopped, and none of its orders is on its way. `ended`: it has stopped, and
 * may have orders on their way. `unknown`: it may live and act.
 */
export interface PredecessorState {
  readonly kind: "none" | "resigned" | "ended" | "unknown";
  /** None of its orders leaves after this; own clock. */
  readonly lastOrderAtMs: number;
}

export type KeeperEvent =
  | {
    readonly kind: "planned";
    readonly service: string;
    readonly token: number;
    readonly changes: number;
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
    readonly kind: "stopped";
    readonly why: "replaced" | "no-authority" | "asked";
  }
  | ({ readonly kind: "order"; readonly service: string } & OrderReport);

export interface KeyKeeperOptions {
  readonly clock: Clock;
  readonly store: Store;
  readonly orders: KeyOrderSender;
  readonly partition: Partition;
  readonly timing: KeeperTiming;
  /** Offset of the claim. */
  readonly term: number;
  /** When the claim was sent, which is what it confirms; own clock. */
  readonly claimSentAtMs: number;
  readonly claim: KeeperClaim;
  /** Tables as they stood when the claim was accepted. */
  readonly tables: ReadonlyMap<string, KeyTable>;
  /** What is known by now of the keeper before this one. */
  readonly getPredecessor: () => PredecessorState;
  readonly listServiceSnapshots: () => readonly ServiceSnapshot[];
  readonly hasEnded: (holder: Holder) => boolean;
  /** Incarnations that are to be named as witnesses, in a fixed order. */
  readonly listWitnesses: () => readonly string[];
  /** Earlier keepers that may act yet. */
  readonly listUnresolved: () => readonly UnresolvedKeeper[];
  /** Whether every witness lets this keeper act without the store. */
  readonly hasPledges: () => boolean;
  /** When a read last showed that no newer claim stands; own clock. */
  readonly getConfirmedAtMs: () => number;
  /** What was confirmed before this time does not count; own clock. */
  readonly getTrustedSinceMs: () => number;
  readonly observe: (event: KeeperEvent) => void;
  /** Told of each record that was accepted. */
  readonly onAppended?: (record: StoreRecord) => void;
  /**
   * Told where the partition ends once that had to be read: a table may stand
   * there whose answer was lost, so that nobody has been told of it.
   */
  readonly onRestored?: (end: number) => void;
  /** Told of each table that was written, after its record was accepted. */
  readonly onTableWritten?: (written: {
    readonly service: string;
    readonly offset: number;
    readonly before: KeyTable | undefined;
    readonly after: KeyTable;
  }) => void;
  /** Told of each range that has reached its new owner, before a record says so. */
  readonly onGranted?: (granted: GrantedRange) => void;
}

/** A range whose new owner has been granted it. */
export interface GrantedRange {
  readonly service: string;
  readonly range: OwnedRange;
}

/** A call has a price; a hold outlives several of these. */
const REGAIN_EVERY_MS = 500;
/** A store that has just refused an append is left alone for this long. */
const REFUSED_PAUSE_MS = 250;
/**
 * Moves that have ended are recorded with the next plan, or after this where
 * there is none; instances have been told of each already. Appends have a price:
 * recorded every 300 ms they were half of a keeper's five a second.
 */
const SETTLED_EVERY_MS = 1_000;
/** Between two looks at what is due. */
const TICK_MS = 50;
/** Instances that start or end one after the other are named together. */
const WITNESSES_EVERY_MS = 1_000;

export class KeyKeeper {
  readonly #options: KeyKeeperOptions;
  readonly #tables = new Map<string, KeyTable>();
  readonly #reconcilers = new Map<string, TableReconciler>();
  readonly #stop = new AbortController();
  readonly #planner: TablePlanner;
  #end: number;
  #contactAtMs: number;
  #witnesses = "";
  /** Incarnations that the newest record may name. */
  #named: ReadonlySet<string> = new Set();
  #nextWitnessesAtMs = 0;
  #nextAppendAtMs = -Infinity;
  #nextSettledAtMs = -Infinity;
  #nextPlanAtMs = 0;
  #nextRegainAtMs = 0;

  constructor(options: KeyKeeperOptions) {
    this.#options = options;
    this.#planner = new TablePlanner(options.clock, options.timing);
    this.#end = options.term + 1;
    this.#contactAtMs = options.claimSentAtMs;
    for (const [service, table] of options.tables) {
      this.#setTable(service, table);
    }
  }

  /** Offset of this keeper's claim. */
  get term(): number {
    return this.#options.term;
  }

  get hasStopped(): boolean {
    return this.#stop.signal.aborted;
  }

  /** Runs until it is replaced or stopped. Never rejects. */
  async run(): Promise<void> {
    const { clock, timing } = this.#options;
    while (!this.hasStopped) {
      const nowMs = clock.readMs();
      for (const keeper of this.#reconcilers.values()) {
        keeper.advance();
      }
      if (nowMs >= this.#nextPlanAtMs && this.#mayAct()) {
        this.#nextPlanAtMs = nowMs + timing.planIntervalMs;
        await this.#plan();
      }
      await this.#writeSettled();
      await this.#writeWitnesses();
      if (!this.hasStopped && !this.#mayAct()) {
        await this.#regainAuthority();
      }
      await clock.sleep(TICK_MS, this.#stop.signal);
    }
  }

  /** Plans at the next look: targets have changed. */
  schedulePlan(): void {
    this.#nextPlanAtMs = 0;
  }

  /** A newer claim stands: not one order more. */
  stop(why: "replaced" | "asked"): void {
    if (!this.hasStopped) {
      this.#stop.abort();
      this.#options.observe({ kind: "stopped", why });
    }
  }

  /** Tells the successor that it need not wait for anything of this keeper. */
  async leave(): Promise<void> {
    this.stop("asked");
    const { clock, timing, claim } = this.#options;
    await clock.sleep(timing.orderTimeoutMs);
    if (this.isClean) {
      const unresolved = this.#options.listUnresolved();
      await this.#append(
        KEEPER_KEY,
        JSON.stringify({ ...claim, resigned: true, unresolved }),
      );
    }
  }

  /** When the store last confirmed this keeper; own clock. */
  get confirmedAtMs(): number {
    return Math.max(this.#contactAtMs, this.#options.getConfirmedAtMs());
  }

  /** Whether none of its grants may be carried out unseen any more. */
  get isClean(): boolean {
    return [...this.#reconcilers.values()]
      .every((keeper) => !keeper.hasUnanswered());
  }

  /**
   * Asked before each order. Without the store for long, another keeper may
   * have been claimed and its waiting time may be over. Whoever claims and was
   * asked for pledges has refused or waits until its last one has run out;
   * whoever was never asked waits `maxAuthorityMs`.
   */
  #mayAct(): boolean {
    const { clock, timing, getTrustedSinceMs, hasPledges } = this.#options;
    const { confirmedAtMs } = this;
    if (this.hasStopped || confirmedAtMs < getTrustedSinceMs()) {
      return false;
    }
    const ageMs = clock.readMs() - confirmedAtMs;
    return ageMs < timing.authorityMs ||
      (ageMs < timing.maxAuthorityMs && hasPledges());
  }

  /** Asks the store whether this keeper still stands, as often as is useful. */
  async #regainAuthority(): Promise<void> {
    const { clock } = this.#options;
    if (clock.readMs() >= this.#nextRegainAtMs) {
      this.#nextRegainAtMs = clock.readMs() + REGAIN_EVERY_MS;
      await this.#restoreFromStore();
    }
  }

  #setTable(service: string, table: KeyTable): void {
    this.#tables.set(service, table);
    let keeper = this.#reconcilers.get(service);
    if (keeper === undefined) {
      keeper = this.#createReconciler(service);
      this.#reconcilers.set(service, keeper);
    }
    keeper.setTable(table);
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
      inheritedRanges: this.#options.tables.get(service)?.ranges ?? [],
      getInherited: () => this.#describeInherited(),
      report: (report) => observe({ kind: "order", service, ...report }),
      onGranted: (range) => this.#options.onGranted?.({ service, range }),
      onSuperseded: () => void this.#restoreFromStore(),
    });
  }

  /** What may still be in force of the grants of keepers before. */
  #describeInherited(): InheritedGrants {
    const { timing, getPredecessor } = this.#options;
    const { kind, lastOrderAtMs } = getPredecessor();
    return {
      untilMs: computeHoldEndMs(lastOrderAtMs, timing.holdMs),
      isClean: kind === "resigned" || kind === "none",
    };
  }

  /**
   * Whether a key can be moved without a long wait. Until the grants of a keeper
   * that was lost have run out, each move leaves its keys unserved for a hold:
   * 3.5 s, in which a fifth of all requests was refused where an overloaded
   * owner would have refused a twentieth.
   */
  #hasFastMoves(): boolean {
    const { isClean, untilMs } = this.#describeInherited();
    return isClean || this.#options.clock.readMs() >= untilMs;
  }

  async #plan(): Promise<void> {
    for (const facts of this.#options.listServiceSnapshots()) {
      const { service } = facts;
      const plan = this.#planner.plan(facts, {
        table: this.#tables.get(service),
        reconciler: this.#reconcilers.get(service),
        token: this.#end,
        rebalance: this.#hasFastMoves(),
      });
      if (plan !== undefined) {
        await this.#writeTable(service, plan.table, plan.changes);
      }
    }
  }

  async #writeTable(
    service: string,
    next: KeyTable,
    changes: number,
  ): Promise<void> {
    const token = this.#end;
    if (await this.#appendTable(service, next)) {
      this.#options.observe({
        kind: "planned",
        service,
        token,
        changes,
        ranges: next.ranges.length,
      });
    }
  }

  /** Names those whom this keeper will ask for pledges. */
  async #writeWitnesses(): Promise<void> {
    const { clock, term, listWitnesses, listUnresolved } = this.#options;
    const nowMs = clock.readMs();
    if (nowMs < this.#nextWitnessesAtMs || !this.#mayAct()) {
      return;
    }
    this.#nextWitnessesAtMs = nowMs + WITNESSES_EVERY_MS;
    const instances = listWitnesses();
    const unresolved = listUnresolved();
    const record: KeeperWitnesses = { term, instances, unresolved };
    const text = JSON.stringify(record);
    if (text === this.#witnesses) {
      return;
    }
    // Until the store has taken it, either record may be the newest.
    this.#named = new Set([...this.#named, ...instances]);
    if (await this.#append(WITNESSES_KEY, text)) {
      this.#witnesses = text;
      this.#named = new Set(instances);
    }
  }

  /** Incarnations that a successor may find named as this keeper's witnesses. */
  listNamedWitnesses(): readonly string[] {
    return [...this.#named];
  }

  /** Tells everybody which ranges have reached their new owners. */
  async #writeSettled(): Promise<void> {
    const nowMs = this.#options.clock.readMs();
    if (nowMs < this.#nextSettledAtMs) {
      return;
    }
    for (const [service, table] of this.#tables) {
      const keeper = this.#reconcilers.get(service)!;
      const isNews = table.ranges
        .some((range) => range.former.length > 0 && keeper.isSettled(range));
      if (!isNews || !this.#mayAct()) {
        continue;
      }
      const next = settleRanges(table, (range) => keeper.isSettled(range));
      const offset = this.#end;
      if (await this.#appendTable(service, next)) {
        this.#options.observe({ kind: "settled", service, offset });
      }
    }
  }

  async #appendTable(service: string, after: KeyTable): Promise<boolean> {
    const offset = this.#end;
    const before = this.#tables.get(service);
    const key = formatTableKey(service);
    if (!await this.#append(key, serializeTable(after))) {
      return false;
    }
    this.#nextSettledAtMs = this.#options.clock.readMs() + SETTLED_EVERY_MS;
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
      at: this.#end,
    });
    if (appended.ok) {
      this.#end = appended.val + 1;
      this.#contactAtMs = sentAtMs;
      this.#options.onAppended?.({ offset: appended.val, key, value });
      return true;
    }
    const failure = appended.val;
    observe({
      kind: "append-failed",
      cause: failure.kind,
      message: "message" in failure ? failure.message : failure.kind,
    });
    this.#nextAppendAtMs = clock.readMs() + REFUSED_PAUSE_MS;
    if (failure.kind !== "refused") {
      await this.#restoreFromStore();
    }
    return false;
  }

  /**
   * After a conflict or a lost answer: what stands in the store decides. An
   * append of this keeper's may have taken effect after all; a newer claim ends
   * it. An append still on its way can only fail or be found the next time,
   * since its condition names one offset.
   */
  async #restoreFromStore(): Promise<void> {
    const standing = await this.#readPartitionState();
    if (!standing.ok) {
      return;
    }
    if (standing.val.term !== this.#options.term) {
      this.stop("replaced");
      return;
    }
    this.#end = standing.val.end;
    for (const [service, table] of standing.val.tables) {
      this.#setTable(service, table);
    }
    this.#options.onRestored?.(this.#end);
  }

  async #readPartitionState(): Promise<Result<PartitionState, StoreFailure>> {
    const { store, partition, clock } = this.#options;
    const sentAtMs = clock.readMs();
    const read = await store.readNewest(partition);
    if (!read.ok) {
      return Err(read.val);
    }
    this.#contactAtMs = sentAtMs;
    return Ok(parsePartitionState(read.val.records, read.val.end));
  }
}
