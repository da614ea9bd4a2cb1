/**
 * Tracks the predecessors of a keeper in one partition: which of them may still
 * act, and until when.
 *
 * Guards against two owners of a key: a replaced keeper may keep renewing its
 * grants because it does not know that it was replaced. There can be several
 * such predecessors, if each was lost before it learned whether the one before
 * it had stopped. The records of the partition name them, and the one that may
 * act the longest determines how long the successor waits.
 *
 * After a restore of the store, keepers may act whose claims are lost, and the
 * tables may lack the last moves. All of them are waited for together, as one
 * predecessor without a name.
 */
import { computeHoldEndMs } from "@lentilspur/ownership/hold_tracker";
import {
  formatIncarnation,
  type KeeperClaim,
  LOST_KEEPERS,
  type UnresolvedKeeper,
} from "@lentilspur/ownership/keeper_records";
import {
  isClaimOfPresentEra,
  type PartitionState,
} from "@lentilspur/ownership/partition_state";
import type { KeeperTiming } from "@lentilspur/ownership/keeper_timing";
import type { PredecessorState } from "@lentilspur/ownership/key_keeper";
import type { Clock } from "@lentilspur/ports/clock";
import {
  encodeOffset,
  getEra,
  isOfEarlierEra,
} from "@lentilspur/ports/store_offset";
import type { KeeperExchange } from "./keeper_exchange.ts";

/** A predecessor, and what this instance knew of it when it claimed. */
interface TrackedPredecessor extends UnresolvedKeeper {
  readonly resigned: boolean;
  /** Whether the records of its last moves may have been lost. */
  readonly isOfEarlierEra: boolean;
  /**
   * When this instance learned that the store accepted its claim; own clock.
   */
  readonly claimedAtMs: number;
  /** When this instance first learned that the process has ended; own clock. */
  endedSeenAtMs: number | undefined;
}

type KeeperState = Pick<PredecessorState, "kind" | "lastOrderAtMs">;

/** A predecessor that may have sent orders whose holds are still in force. */
export interface UnresolvedPredecessor {
  readonly instance: string;
  readonly incarnation: string;
  readonly term: number;
  readonly kind: PredecessorState["kind"];
  readonly leftMs: number;
}

export interface PredecessorTrackerOptions {
  readonly clock: Clock;
  readonly timing: KeeperTiming;
  /** The claim of this instance. */
  readonly claim: KeeperClaim;
  readonly exchange: KeeperExchange;
  readonly hasInstanceEnded: (claim: KeeperClaim) => boolean;
  /** When this instance first saw the store's present era; own clock. */
  readonly eraSeenAtMs: number;
}

export class PredecessorTracker {
  readonly #options: PredecessorTrackerOptions;
  readonly #part: number;
  #predecessors: readonly TrackedPredecessor[];

  /** `state` is what the partition's records say right before the claim. */
  constructor(
    options: PredecessorTrackerOptions,
    part: number,
    state: PartitionState,
  ) {
    this.#options = options;
    this.#part = part;
    this.#predecessors = this.#createPredecessors(state);
  }

  /**
   * Restarts the waiting times: they count from the moment at which this
   * instance knows that the store has accepted its claim.
   */
  recordClaimed(): void {
    const claimedAtMs = this.#options.clock.readMs();
    this.#predecessors = this.#predecessors.map((predecessor) => ({
      ...predecessor,
      claimedAtMs,
    }));
  }

  /**
   * The predecessors that may have sent orders whose holds are still in force,
   * as records name them.
   */
  listUnresolved(): readonly UnresolvedKeeper[] {
    return this.#listUnresolvedStates().map(({ keeper }) =>
      toUnresolved(keeper)
    );
  }

  /**
   * The unresolved predecessors, each with its state and the time left to wait.
   */
  describeUnresolved(): readonly UnresolvedPredecessor[] {
    return this.#listUnresolvedStates().map(({ keeper, kind, leftMs }) => {
      const { instance, incarnation, term } = keeper;
      return { instance, incarnation, term, kind, leftMs: Math.round(leftMs) };
    });
  }

  /**
   * All predecessors that may act, as the record of a claim names them. One that
   * has resigned does not: if this claim gets no answer, the next one would find
   * it here without its resignation.
   */
  listAll(): readonly UnresolvedKeeper[] {
    return this.#predecessors.filter(({ resigned }) => !resigned)
      .map(toUnresolved);
  }

  /**
   * Combines the states of all predecessors: the kind that is least certain to
   * have stopped, and the latest time at which any of them may have sent an
   * order to a target.
   */
  computeState(): PredecessorState {
    const states = this.#predecessors.map((keeper) =>
      this.#computeKeeperState(keeper)
    );
    const kinds = states.map(({ kind }) => kind);
    return {
      kind: KINDS_LEAST_CERTAIN_FIRST.find((kind) => kinds.includes(kind)) ??
        "none",
      lastOrderAtMs: Math.max(
        -Infinity,
        ...states.map(({ lastOrderAtMs }) => lastOrderAtMs),
      ),
      unknownOwnersUntilMs: this.#computeUnknownOwnersUntilMs(),
    };
  }

  /**
   * When the holds end that a keeper of an earlier era may have granted, and
   * whose records may be lost.
   */
  #computeUnknownOwnersUntilMs(): number {
    const ends = this.#predecessors
      .filter(({ isOfEarlierEra, resigned }) => isOfEarlierEra && !resigned)
      .map((keeper) =>
        computeHoldEndMs(
          this.#computeKeeperState(keeper).lastOrderAtMs,
          this.#options.timing.holdMs,
        )
      );
    return Math.max(-Infinity, ...ends);
  }

  #listUnresolvedStates() {
    const { clock, timing } = this.#options;
    const nowMs = clock.readMs();
    return this.#predecessors.map((keeper) => {
      const { kind, lastOrderAtMs } = this.#computeKeeperState(keeper);
      const leftMs = computeHoldEndMs(lastOrderAtMs, timing.holdMs) - nowMs;
      return { keeper, kind, leftMs };
    }).filter(({ kind, leftMs }) => kind !== "resigned" && leftMs > 0);
  }

  #createPredecessors(state: PartitionState): readonly TrackedPredecessor[] {
    const nowMs = this.#options.clock.readMs();
    return listNamedKeepers(state).map((keeper) => ({
      ...toUnresolved(keeper),
      resigned: "resigned" in keeper && keeper.resigned === true,
      isOfEarlierEra: keeper.incarnation === LOST_KEEPERS ||
        isOfEarlierEra(keeper.term, state.end),
      claimedAtMs: nowMs,
      endedSeenAtMs: this.#hasEnded(keeper) ? nowMs : undefined,
    }));
  }

  /**
   * Whether the keeper's process has ended: the claim is from this instance or
   * from an earlier incarnation of it, or a later incarnation of the keeper's
   * instance is known.
   */
  #hasEnded(keeper: KeeperClaim): boolean {
    const { claim, hasInstanceEnded } = this.#options;
    return keeper.instance === claim.instance || hasInstanceEnded(keeper);
  }

  #computeKeeperState(keeper: TrackedPredecessor): KeeperState {
    const { clock, exchange } = this.#options;
    if (keeper.resigned) {
      return { kind: "resigned", lastOrderAtMs: keeper.claimedAtMs };
    }
    const latestMs = this.#computeLatestOrderMs(keeper);
    const stopNotice = exchange.findStopNotice(this.#part, keeper);
    if (stopNotice !== undefined) {
      const kind = stopNotice.isClean ? "resigned" : "ended";
      return { kind, lastOrderAtMs: Math.min(latestMs, stopNotice.atMs) };
    }
    if (keeper.endedSeenAtMs === undefined && this.#hasEnded(keeper)) {
      keeper.endedSeenAtMs = clock.readMs();
    }
    return keeper.endedSeenAtMs === undefined
      ? { kind: "unknown", lastOrderAtMs: latestMs }
      : {
        kind: "ended",
        lastOrderAtMs: Math.min(latestMs, keeper.endedSeenAtMs),
      };
  }

  /**
   * Latest time at which a keeper that has sent no stop notice may have acted.
   *
   * A keeper that names this instance as a witness needs its pledge to act for
   * longer than `authorityMs`, so the last pledge that this instance gave is
   * the bound. A keeper that does not name this instance may act for up to
   * `maxAuthorityMs`.
   */
  #computeLatestOrderMs(
    { claimedAtMs, witnesses, incarnation }: TrackedPredecessor,
  ): number {
    const { timing, claim, exchange, eraSeenAtMs } = this.#options;
    if (incarnation === LOST_KEEPERS) {
      return eraSeenAtMs + timing.unsettledAuthorityMs;
    }
    return witnesses.includes(formatIncarnation(claim))
      ? Math.max(
        claimedAtMs + timing.authorityMs,
        exchange.getPledgedUntilMs(this.#part),
      )
      : claimedAtMs + timing.maxAuthorityMs;
  }
}

/** The keepers that the records name, and those that they may lack. */
function listNamedKeepers(state: PartitionState): readonly UnresolvedKeeper[] {
  const { claim, witnesses, unresolved, term, tables, end } = state;
  // A keeper whose record cannot be read may be any instance. The empty name
  // matches no message and no restart, so its waiting time runs in full.
  const lastClaim = claim ?? { instance: "", incarnation: "" };
  const last = { ...lastClaim, witnesses, term: term ?? -1 };
  const others = unresolved
    .filter(({ incarnation }) => incarnation !== LOST_KEEPERS);
  if (!isClaimOfPresentEra(state)) {
    const lost = {
      instance: "",
      incarnation: LOST_KEEPERS,
      term: encodeOffset(getEra(end), 0),
      witnesses: [],
    };
    return term === undefined ? [lost] : [last, ...others, lost];
  }
  return term === undefined && tables.size === 0 ? [] : [last, ...unresolved];
}

/** From least to most certain that the keeper has stopped. */
const KINDS_LEAST_CERTAIN_FIRST = ["unknown", "ended", "resigned"] as const;

function toUnresolved(
  { instance, incarnation, startNumber, term, witnesses }: UnresolvedKeeper,
): UnresolvedKeeper {
  const start = startNumber === undefined ? {} : { startNumber };
  return { instance, incarnation, ...start, term, witnesses };
}
