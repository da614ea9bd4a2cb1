/**
 * Plans the next ownership table of a service: the initial distribution of its
 * keys, and after that which ranges move, which ranges are granted again under
 * a new token, and which moves are complete.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type { KeeperTiming } from "./keeper_timing.ts";
import type { KeyRate } from "./key_load.ts";
import { planReassignments } from "./key_planner.ts";
import {
  applyReassignments,
  assignNewTokens,
  createKeyTable,
  isSameIncarnation,
  type KeyTable,
  settleRanges,
} from "./key_table.ts";
import type { OwnerCandidate } from "./owner_load.ts";
import { countMovedKeys, type MovedKeys } from "./planned_move.ts";
import type { TableReconciler } from "./table_reconciler.ts";

/** State of a service that its next table is planned from. */
export interface ServiceSnapshot {
  readonly service: string;
  /** Targets that may own keys. */
  readonly candidates: readonly OwnerCandidate[];
  readonly rates: readonly KeyRate[];
}

/** A service's current table and the options for its next one. */
export interface PlanInput {
  /** Undefined if the service has no table yet. */
  readonly table: KeyTable | undefined;
  /** Carries out the current table. */
  readonly reconciler: TableReconciler | undefined;
  /** Fencing token of the ranges that the next table assigns. */
  readonly token: number;
  /** Whether keys of overloaded owners are moved as well. */
  readonly rebalance: boolean;
}

export interface PlannedTable {
  readonly table: KeyTable;
  /** Number of reassignments, or number of owners in the first table. */
  readonly changes: number;
  /** Number of keys that change owners, by reason. */
  readonly movedKeys: MovedKeys;
}

/**
 * Number of targets of a service without a table, and since when this number is
 * unchanged.
 */
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

  /** Returns undefined if nothing is to be changed. */
  plan(snapshot: ServiceSnapshot, input: PlanInput): PlannedTable | undefined {
    const { reconciler, token, rebalance } = input;
    const candidates = snapshot.candidates
      .filter((candidate) => reconciler?.isUnusable(candidate) !== true);
    if (input.table === undefined) {
      return candidates.length === 0 || !this.#mayCreateTable(snapshot)
        ? undefined
        : {
          table: createKeyTable(candidates, token),
          changes: candidates.length,
          movedKeys: {},
        };
    }
    // Some moves may have completed since the table was recorded.
    const table = settleRanges(
      input.table,
      (range) => reconciler?.isSettled(range) === true,
    );
    const reissued = updateStaleTokens(table, candidates, input);
    const changes = planReassignments(table, candidates, snapshot.rates, {
      rebalance,
    });
    return changes.length === 0 && reissued === table ? undefined : {
      table: applyReassignments(reissued, changes, token),
      changes: changes.length,
      movedKeys: countMovedKeys(changes),
    };
  }

  /**
   * Whether all targets seem to have registered, or keys are already requested.
   * If the first target that registers got all keys, they would have to move
   * again.
   */
  #mayCreateTable({ service, candidates, rates }: ServiceSnapshot): boolean {
    const nowMs = this.#clock.readMs();
    const count = candidates.length;
    const known = this.#targetCounts.get(service);
    const targetCount = known?.count === count
      ? known
      : { count, sinceMs: nowMs };
    this.#targetCounts.set(service, targetCount);
    return rates.length > 0 ||
      nowMs - targetCount.sinceMs >= this.#timing.distributeAfterMs;
  }
}

/**
 * Assigns a new token to each range whose owner has restarted, or whose current
 * token must not be sent any more. Failure: a target is killed and restarts
 * under its id, and a renewal gives the new incarnation keys under the token of
 * the previous one.
 */
function updateStaleTokens(
  table: KeyTable,
  candidates: readonly OwnerCandidate[],
  { reconciler, token }: PlanInput,
): KeyTable {
  const incarnations = new Map(candidates.map((one) => [one.id, one]));
  let hasReissued = false;
  const reissued = assignNewTokens(table, (range) => {
    const incarnation = incarnations.get(range.owner.id);
    if (
      incarnation === undefined || incarnation.address !== range.owner.address
    ) {
      return undefined;
    }
    if (
      isSameIncarnation(incarnation, range.owner) &&
      reconciler?.hasStaleToken(range) !== true
    ) {
      return undefined;
    }
    hasReissued = true;
    return incarnation;
  }, token);
  return hasReissued ? reissued : table;
}
