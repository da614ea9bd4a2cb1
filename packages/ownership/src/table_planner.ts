/**
 * The next table of a service's owners: the first one, once there is reason to
 * deal its keys out, and then what moves, what is granted anew under a new token,
 * and which moves have ended.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type { KeeperTiming } from "./keeper_timing.ts";
import type { KeyRate } from "./key_load.ts";
import { planReassignments } from "./key_planner.ts";
import {
  applyReassignments,
  createTable,
  isSameIncarnation,
  type KeyTable,
  renewTokens,
  settleRanges,
} from "./key_table.ts";
import type { OwnerCandidate } from "./owner_load.ts";
import type { TableReconciler } from "./table_reconciler.ts";

/** What a keeper needs to know of one service. */
export interface ServiceSnapshot {
  readonly service: string;
  /** Targets that may own keys. */
  readonly candidates: readonly OwnerCandidate[];
  readonly rates: readonly KeyRate[];
}

/** How things stand with a service when its next table is planned. */
export interface PlanInput {
  /** Undefined where there is none yet. */
  readonly table: KeyTable | undefined;
  /** Whoever carries that table out. */
  readonly reconciler: TableReconciler | undefined;
  /** Of what the next table assigns. */
  readonly token: number;
  /** Whether owners that have too much are relieved as well. */
  readonly rebalance: boolean;
}

export interface PlannedTable {
  readonly table: KeyTable;
  /** Stretches of keys that pass to another owner. */
  readonly changes: number;
}

/** Targets of a service without a table, and since when there are so many. */
interface TargetCount {
  readonly count: number;
  readonly sinceMs: number;
}

export class TablePlanner {
  readonly #clock: Clock;
  readonly #timing: KeeperTiming;
  readonly #targetCounts = new Map<string, TargetCount>();

  constructor(clock: Clock, timing: KeeperTiming) {
    this.#clock = clock;
    this.#timing = timing;
  }

  /** Undefined where nothing is to be changed. */
  plan(facts: ServiceSnapshot, basis: PlanInput): PlannedTable | undefined {
    const { reconciler: keeper, token, rebalance: balances } = basis;
    const candidates = facts.candidates
      .filter((candidate) => keeper?.isUnusable(candidate) !== true);
    if (basis.table === undefined) {
      return candidates.length === 0 || !this.#mayCreateTable(facts)
        ? undefined
        : {
          table: createTable(candidates, token),
          changes: candidates.length,
        };
    }
    // As it stands at the targets: some moves of it may have ended.
    const table = settleRanges(
      basis.table,
      (range) => keeper?.isSettled(range) === true,
    );
    const renewed = renewStaleTokens(table, candidates, basis);
    const changes = planReassignments(table, candidates, facts.rates, {
      rebalance: balances,
    });
    return changes.length === 0 && renewed === table ? undefined : {
      table: applyReassignments(renewed, changes, token),
      changes: changes.length,
    };
  }

  /**
   * Whether all targets seem to be there, or keys are asked for already. Dealt
   * to the first target that registers, all keys would have to move again.
   */
  #mayCreateTable({ service, candidates, rates }: ServiceSnapshot): boolean {
    const nowMs = this.#clock.readMs();
    const count = candidates.length;
    const known = this.#targetCounts.get(service);
    const arrival = known?.count === count ? known : { count, sinceMs: nowMs };
    this.#targetCounts.set(service, arrival);
    return rates.length > 0 ||
      nowMs - arrival.sinceMs >= this.#timing.distributeAfterMs;
  }
}

/**
 * The table with new tokens for what its owners must not be granted under the
 * old ones. Failure: a target is killed and starts again under its id, and a
 * renewal gives the new life keys under the token of the one before.
 */
function renewStaleTokens(
  table: KeyTable,
  candidates: readonly OwnerCandidate[],
  { reconciler: keeper, token }: PlanInput,
): KeyTable {
  const lives = new Map(candidates.map((one) => [one.id, one]));
  let hasRenewed = false;
  const renewed = renewTokens(table, (range) => {
    const life = lives.get(range.owner.id);
    if (life === undefined || life.address !== range.owner.address) {
      return undefined;
    }
    if (
      isSameIncarnation(life, range.owner) &&
      keeper?.hasStaleToken(range) !== true
    ) {
      return undefined;
    }
    hasRenewed = true;
    return life;
  }, token);
  return hasRenewed ? renewed : table;
}
