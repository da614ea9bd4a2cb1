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
import type { KeyOrders } from "@lentilspur/ports/key_orders";
import type { Partition, Store, StoreFailure } from "@lentilspur/ports/store";
import { computeHoldEndMs } from "./hold_book.ts";
import type { KeyRate } from "./key_load.ts";
import { planReassignments } from "./key_planner.ts";
import {
  applyReassignments,
  createTable,
  type Holder,
  isSameLife,
  type KeyTable,
  renewTokens,
  serializeTable,
  settleRanges,
} from "./key_table.ts";
import type { KeeperTiming } from "./keeper_timing.ts";
import {
  formatTableKey,
  KEEPER_KEY,
  type KeeperClaim,
} from "./keeper_records.ts";
import { parseStanding, type Standing } from "./keeper_standing.ts";
import type { OwnerCandidate } from "./owner_standing.ts";
import {
  type InheritedGrants,
  type OrderReport,
  RangeKeeper,
} from "./range_keeper.ts";

/** What a keeper needs to know of one service. */
export interface ServiceFacts {
  readonly service: string;
  /** Targets that may own keys. */
  readonly candidates: readonly OwnerCandidate[];
  readonly rates: readonly KeyRate[];
}

/**
 * `none`: there was none. `resigned`: it has stopped, and none of its orders is
 * on its way. `ended`: its process has ended. `unknown`: it may live and act.
 */
export type Predecessor = "none" | "resigned" | "ended" | "unknown";

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
  readonly orders: KeyOrders;
  readonly partition: Partition;
  readonly timing: KeeperTiming;
  /** Offset of the claim. */
  readonly term: number;
  readonly claim: KeeperClaim;
  /** Tables as they stood when the claim was accepted. */
  readonly tables: ReadonlyMap<string, KeyTable>;
  /** What is known by now of the keeper before this one. */
  readonly getPredecessor: () => Predecessor;
  readonly listFacts: () => readonly ServiceFacts[];
  readonly hasEnded: (holder: Holder) => boolean;
  /** When a read last showed that no newer claim stands; own clock. */
  readonly getConfirmedAtMs: () => number;
  /** What was confirmed before this time does not count; own clock. */
  readonly getTrustedSinceMs: () => number;
  readonly observe: (event: KeeperEvent) => void;
  /** Told of each table that was written, after its record was accepted. */
  readonly onTable?: (written: {
    readonly service: string;
    readonly offset: number;
    readonly before: KeyTable | undefined;
    readonly after: KeyTable;
  }) => void;
}

/** A call has a price; a hold outlives several of these. */
const REGAIN_EVERY_MS = 500;
/** Between two looks at what is due. */
const TICK_MS = 50;

export class KeyKeeper {
  readonly #options: KeyKeeperOptions;
  readonly #tables = new Map<string, KeyTable>();
  readonly #keepers = new Map<string, RangeKeeper>();
  readonly #stop = new AbortController();
  readonly #startedAtMs: number;
  #end: number;
  #contactAtMs: number;
  /** Targets of services without a table, and since when there are so many. */
  readonly #arrivals = new Map<
    string,
    { readonly count: number; readonly sinceMs: number }
  >();
  #nextPlanAtMs = 0;
  #nextRegainAtMs = 0;

  constructor(options: KeyKeeperOptions) {
    this.#options = options;
    this.#end = options.term + 1;
    this.#startedAtMs = options.clock.readMs();
    this.#contactAtMs = this.#startedAtMs;
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
      for (const keeper of this.#keepers.values()) {
        keeper.advance();
      }
      if (nowMs >= this.#nextPlanAtMs && this.#mayAct()) {
        this.#nextPlanAtMs = nowMs + timing.planEveryMs;
        await this.#plan();
      }
      await this.#writeSettled();
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
    const isClean = [...this.#keepers.values()]
      .every((keeper) => !keeper.hasUnanswered());
    if (isClean) {
      await this.#append(
        KEEPER_KEY,
        JSON.stringify({ ...claim, resigned: true }),
      );
    }
  }

  /**
   * Asked before each order. Without the store for long, another keeper may
   * have been claimed and its waiting time may be over.
   */
  #mayAct(): boolean {
    const { clock, timing, getConfirmedAtMs, getTrustedSinceMs } =
      this.#options;
    const heardAtMs = Math.max(this.#contactAtMs, getConfirmedAtMs());
    return !this.hasStopped && heardAtMs >= getTrustedSinceMs() &&
      clock.readMs() - heardAtMs < timing.authorityMs;
  }

  /** Asks the store whether this keeper still stands, as often as is useful. */
  async #regainAuthority(): Promise<void> {
    const { clock } = this.#options;
    if (clock.readMs() >= this.#nextRegainAtMs) {
      this.#nextRegainAtMs = clock.readMs() + REGAIN_EVERY_MS;
      await this.#resolve();
    }
  }

  #setTable(service: string, table: KeyTable): void {
    this.#tables.set(service, table);
    let keeper = this.#keepers.get(service);
    if (keeper === undefined) {
      keeper = this.#createRangeKeeper(service);
      this.#keepers.set(service, keeper);
    }
    keeper.setTable(table);
  }

  #createRangeKeeper(service: string): RangeKeeper {
    const { clock, orders, timing, term, hasEnded, observe } = this.#options;
    return new RangeKeeper({
      clock,
      orders,
      timing,
      mayAct: () => this.#mayAct(),
      hasEnded,
      inheritedToken: term,
      inheritedRanges: this.#options.tables.get(service)?.ranges ?? [],
      getInherited: () => this.#describeInherited(),
      report: (report) => observe({ kind: "order", service, ...report }),
      onSuperseded: () => void this.#resolve(),
    });
  }

  /** What may still be in force of the grants of keepers before. */
  #describeInherited(): InheritedGrants {
    const { timing, getPredecessor } = this.#options;
    const predecessor = getPredecessor();
    const lastGrantAtMs = predecessor === "unknown"
      ? this.#startedAtMs + timing.authorityMs
      : this.#startedAtMs;
    return {
      untilMs: computeHoldEndMs(lastGrantAtMs, timing.holdMs),
      isClean: predecessor === "resigned" || predecessor === "none",
    };
  }

  async #plan(): Promise<void> {
    for (const facts of this.#options.listFacts()) {
      const table = this.#planTable(facts);
      if (table !== undefined) {
        await this.#writeTable(facts.service, table.next, table.changes);
      }
    }
  }

  #planTable(
    facts: ServiceFacts,
  ): { readonly next: KeyTable; readonly changes: number } | undefined {
    const table = this.#tables.get(facts.service);
    const keeper = this.#keepers.get(facts.service);
    const candidates = facts.candidates
      .filter((candidate) => keeper?.isUnusable(candidate) !== true);
    if (table === undefined) {
      return candidates.length === 0 || !this.#mayDeal(facts) ? undefined : {
        next: createTable(candidates, this.#end),
        changes: candidates.length,
      };
    }
    const renewed = this.#renewTokens(facts.service, table, candidates);
    const changes = planReassignments(table, candidates, facts.rates);
    return changes.length === 0 && renewed === table ? undefined : {
      next: applyReassignments(renewed, changes, this.#end),
      changes: changes.length,
    };
  }

  /**
   * Whether all targets seem to be there, or keys are asked for already. Dealt
   * to the first target that registers, all keys would have to move again.
   */
  #mayDeal({ service, candidates, rates }: ServiceFacts): boolean {
    const nowMs = this.#options.clock.readMs();
    const count = candidates.length;
    const known = this.#arrivals.get(service);
    const arrival = known?.count === count ? known : { count, sinceMs: nowMs };
    this.#arrivals.set(service, arrival);
    return rates.length > 0 ||
      nowMs - arrival.sinceMs >= this.#options.timing.dealAfterMs;
  }

  /**
   * The table with new tokens for what its owners must not be granted under the
   * old ones. Failure: a target is killed and starts again under its id, and a
   * renewal gives the new life keys under the token of the one before.
   */
  #renewTokens(
    service: string,
    table: KeyTable,
    candidates: readonly OwnerCandidate[],
  ): KeyTable {
    const outworn = this.#keepers.get(service)?.listOutworn() ?? new Set();
    const lives = new Map(candidates.map((one) => [one.id, one]));
    let hasRenewed = false;
    const renewed = renewTokens(table, (range) => {
      const life = lives.get(range.owner.id);
      if (life === undefined || life.address !== range.owner.address) {
        return undefined;
      }
      if (isSameLife(life, range.owner) && !outworn.has(range)) {
        return undefined;
      }
      hasRenewed = true;
      return life;
    }, this.#end);
    return hasRenewed ? renewed : table;
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

  /** Tells everybody which ranges have reached their new owners. */
  async #writeSettled(): Promise<void> {
    for (const [service, table] of this.#tables) {
      const keeper = this.#keepers.get(service)!;
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
    this.#setTable(service, after);
    this.#options.onTable?.({ service, offset, before, after });
    return true;
  }

  async #append(key: string, value: string): Promise<boolean> {
    const { store, partition, clock, observe } = this.#options;
    const sentAtMs = clock.readMs();
    const appended = await store.append({
      partition,
      key,
      value,
      at: this.#end,
    });
    if (appended.ok) {
      this.#end = appended.val + 1;
      this.#contactAtMs = sentAtMs;
      return true;
    }
    const failure = appended.val;
    observe({
      kind: "append-failed",
      cause: failure.kind,
      message: "message" in failure ? failure.message : failure.kind,
    });
    if (failure.kind !== "refused") {
      await this.#resolve();
    }
    return false;
  }

  /**
   * After a conflict or a lost answer: what stands in the store decides. An
   * append of this keeper's may have taken effect after all; a newer claim ends
   * it. An append still on its way can only fail or be found the next time,
   * since its condition names one offset.
   */
  async #resolve(): Promise<void> {
    const standing = await this.#readStanding();
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
  }

  async #readStanding(): Promise<Result<Standing, StoreFailure>> {
    const { store, partition, clock } = this.#options;
    const sentAtMs = clock.readMs();
    const read = await store.readNewest(partition);
    if (!read.ok) {
      return Err(read.val);
    }
    this.#contactAtMs = sentAtMs;
    return Ok(parseStanding(read.val.records, read.val.end));
  }
}
