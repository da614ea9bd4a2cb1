/**
 * Tracks the predecessors of a keeper in one partition: which of them may still
 * act, and until when.
 *
 * Guards against two owners of a key: a replaced keeper may keep renewing its
 * grants because it does not know that it was replaced. There can be several
 * such predecessors, if each was lost before it learned whether the one before
 * it had stopped. The records of the partition name them, and the one that may
 * act the longest determines how long the successor waits. Each record says for
 * how long a keeper had been replaced, so that the next successor does not count
 * from the beginning.
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
  parseInstance,
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
  /** By when the keeper had been replaced, as far as known; own clock. */
  readonly replacedAtMs: number;
  /** When this instance first learned that the process has ended; own clock. */
  endedSeenAtMs: number | undefined;
}

type KeeperState = Pick<PredecessorState, "kind" | "lastOrderAtMs">;

/**
 * What bounds the time for which a keeper may act. `stopped`: it has stopped.
 * `own-pledge`: this instance is a witness of it. `witness`: another witness has
 * answered that its pledge is over. `longest`: nothing but the longest time that
 * any keeper acts.
 */
type WaitBound = "stopped" | "own-pledge" | "witness" | "longest";

/** A predecessor that may have sent orders whose holds are still in force. */
export interface UnresolvedPredecessor {
  readonly instance: string;
  readonly incarnation: string;
  readonly term: number;
  readonly kind: PredecessorState["kind"];
  readonly bound: WaitBound;
  readonly leftMs: number;
}

/** Each step of a keeper that is waited for costs one append. */
const REPLACED_STEP_MS = 5_000;
/** Clocks differ in rate. */
const MIN_CLOCK_RATE = 0.98;

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
    this.#predecessors = this.#predecessors.map((predecessor, index) => ({
      ...predecessor,
      claimedAtMs,
      // The first one was the keeper until now.
      replacedAtMs: index === 0 ? claimedAtMs : predecessor.replacedAtMs,
    }));
  }

  /**
   * The predecessors that may have sent orders whose holds are still in force,
   * as records name them.
   */
  listUnresolved(): readonly UnresolvedKeeper[] {
    return this.#listUnresolvedStates().map(({ keeper }) =>
      this.#toRecorded(keeper)
    );
  }

  /** Witnesses whose answers would bound the wait, without duplicates. */
  listWitnessesToAsk(): readonly string[] {
    const witnesses = this.#listUnresolvedStates()
      .filter(({ keeper, kind }) =>
        kind === "unknown" && keeper.canLapse === true &&
        this.#findBound(keeper) === "longest"
      )
      .flatMap(({ keeper }) => keeper.witnesses.map(parseInstance));
    return [...new Set(witnesses)];
  }

  /**
   * The unresolved predecessors, each with its state and the time left to wait.
   */
  describeUnresolved(): readonly UnresolvedPredecessor[] {
    return this.#listUnresolvedStates().map(({ keeper, kind, leftMs }) => {
      const { instance, incarnation, term } = keeper;
      const bound = kind === "unknown" ? this.#findBound(keeper) : "stopped";
      const name = { instance, incarnation, term };
      return { ...name, kind, bound, leftMs: Math.round(leftMs) };
    });
  }

  /**
   * All predecessors that may act, as the record of a claim names them. One that
   * has resigned does not: if this claim gets no answer, the next one would find
   * it here without its resignation.
   */
  listAll(): readonly UnresolvedKeeper[] {
    return this.#predecessors.filter(({ resigned }) => !resigned)
      .map((keeper) => this.#toRecorded(keeper));
  }

  /** The longest known time since the replacement is recorded, in steps. */
  #toRecorded(keeper: TrackedPredecessor): UnresolvedKeeper {
    const ageMs = this.#options.clock.readMs() - keeper.replacedAtMs;
    const steps = Math.floor(ageMs * MIN_CLOCK_RATE / REPLACED_STEP_MS);
    const age = steps > 0 ? { replacedForMs: steps * REPLACED_STEP_MS } : {};
    return { ...toUnresolved(keeper), ...age };
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
      replacedAtMs: nowMs - readReplacedForMs(keeper),
      endedSeenAtMs: this.#findEndSeenMs(keeper),
    }));
  }

  /** By when the keeper's process is known to have ended, if it is. */
  #findEndSeenMs(keeper: KeeperClaim): number | undefined {
    const { claim, clock, exchange } = this.#options;
    if (!this.#hasEnded(keeper)) {
      return undefined;
    }
    const isEarlierProcess = keeper.instance === claim.instance &&
      keeper.incarnation !== claim.incarnation;
    return isEarlierProcess ? exchange.startedAtMs : clock.readMs();
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
    const { exchange } = this.#options;
    if (keeper.resigned) {
      return { kind: "resigned", lastOrderAtMs: keeper.claimedAtMs };
    }
    const latestMs = this.#computeLatestOrderMs(keeper);
    const stopNotice = exchange.findStopNotice(this.#part, keeper);
    if (stopNotice !== undefined) {
      const kind = stopNotice.isClean ? "resigned" : "ended";
      return { kind, lastOrderAtMs: Math.min(latestMs, stopNotice.atMs) };
    }
    keeper.endedSeenAtMs ??= this.#findEndSeenMs(keeper);
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
   * To act for longer than `authorityMs`, a keeper needs the pledges of all
   * instances that it names as witnesses, in whichever incarnation. So it has
   * stopped once the pledge of one of them is over: of this instance, or of one
   * that has answered so. Any other keeper may act for up to `maxAuthorityMs`,
   * and so may one of an earlier version: it may act again on the pledge of a
   * process that started later.
   */
  #computeLatestOrderMs(keeper: TrackedPredecessor): number {
    const { timing, eraSeenAtMs } = this.#options;
    const { replacedAtMs, incarnation } = keeper;
    if (incarnation === LOST_KEEPERS) {
      return eraSeenAtMs + timing.unsettledAuthorityMs;
    }
    return Math.min(
      replacedAtMs + timing.maxAuthorityMs,
      Math.max(
        replacedAtMs + timing.authorityMs,
        this.#computePledgesOverMs(keeper),
      ),
    );
  }

  /** When a pledge that the keeper needs is over; Infinity if unknown. */
  #computePledgesOverMs(keeper: TrackedPredecessor): number {
    const { exchange, timing } = this.#options;
    const ownMs = this.#isWitness(keeper)
      ? exchange.computePledgedUntilMs(this.#part, Infinity)
      : Infinity;
    // By then, the keeper can no longer begin to act on pledges.
    const witnessMs = keeper.canLapse === true
      ? Math.max(
        keeper.replacedAtMs + timing.pledgeMs,
        exchange.computePledgesOverMs(this.#part, keeper),
      )
      : Infinity;
    return Math.min(ownMs, witnessMs);
  }

  #findBound(keeper: TrackedPredecessor): WaitBound {
    if (this.#isWitness(keeper)) {
      return "own-pledge";
    }
    return this.#computePledgesOverMs(keeper) < Infinity
      ? "witness"
      : "longest";
  }

  /** Whether the keeper needs pledges of this instance. */
  #isWitness({ witnesses, canLapse }: UnresolvedKeeper): boolean {
    const { claim } = this.#options;
    return witnesses.some((witness) =>
      canLapse === true
        ? parseInstance(witness) === claim.instance
        : witness === formatIncarnation(claim)
    );
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

/** Records say nothing about the time of a replacement in other forms. */
function readReplacedForMs({ replacedForMs }: UnresolvedKeeper): number {
  return Number.isFinite(replacedForMs) ? Math.max(0, replacedForMs!) : 0;
}

/** From least to most certain that the keeper has stopped. */
const KINDS_LEAST_CERTAIN_FIRST = ["unknown", "ended", "resigned"] as const;

function toUnresolved(
  { instance, incarnation, startNumber, term, witnesses, canLapse }:
    UnresolvedKeeper,
): UnresolvedKeeper {
  const start = startNumber === undefined ? {} : { startNumber };
  const lapse = canLapse === true ? { canLapse } : {};
  return { instance, incarnation, ...start, term, witnesses, ...lapse };
}
