/**
 * The keepers of a partition before the one here: which of them may act yet, and
 * until when.
 *
 * Guards against two owners of a key: a keeper that was replaced may renew its
 * grants without knowing it. Several such may stand one behind the other, where
 * each was lost before it had heard of the one before; the records name them,
 * and the one that may act longest decides how long a successor waits.
 */
import { computeHoldEndMs } from "@lentilspur/ownership/hold_tracker";
import {
  formatIncarnation,
  type KeeperClaim,
  type UnresolvedKeeper,
} from "@lentilspur/ownership/keeper_records";
import type { PartitionState } from "@lentilspur/ownership/partition_state";
import type { KeeperTiming } from "@lentilspur/ownership/keeper_timing";
import type { PredecessorState } from "@lentilspur/ownership/key_keeper";
import type { Clock } from "@lentilspur/ports/clock";
import type { KeeperExchange } from "./keeper_exchange.ts";

/** An earlier keeper, and what was known of it at this instance's claim. */
interface TrackedPredecessor extends UnresolvedKeeper {
  readonly resigned: boolean;
  /** When the claim here was known to be accepted; own clock. */
  readonly claimedAtMs: number;
  /** When its process was first known to have ended; own clock. */
  endedSeenAtMs: number | undefined;
}

/** An earlier keeper whose grants may still be in force. */
export interface AwaitedPredecessor {
  readonly instance: string;
  readonly incarnation: string;
  readonly term: number;
  readonly kind: PredecessorState["kind"];
  readonly leftMs: number;
}

export interface PredecessorTrackerOptions {
  readonly clock: Clock;
  readonly timing: KeeperTiming;
  /** This instance's. */
  readonly claim: KeeperClaim;
  readonly peers: KeeperExchange;
  readonly hasInstanceEnded: (claim: KeeperClaim) => boolean;
}

export class PredecessorTracker {
  readonly #options: PredecessorTrackerOptions;
  readonly #part: number;
  #keepers: readonly TrackedPredecessor[];

  /** As the partition's records name them right before the claim. */
  constructor(
    options: PredecessorTrackerOptions,
    part: number,
    standing: PartitionState,
  ) {
    this.#options = options;
    this.#part = part;
    this.#keepers = this.#createKeepers(standing);
  }

  /** Waiting times count from when the claim is known to have been accepted. */
  recordClaimed(): void {
    const claimedAtMs = this.#options.clock.readMs();
    this.#keepers = this.#keepers.map((one) => ({ ...one, claimedAtMs }));
  }

  /** Those of which some grant may still be in force. */
  listUnresolved(): readonly UnresolvedKeeper[] {
    return this.#listAwaited().map(({ keeper }) => toUnresolved(keeper));
  }

  /** Those that are waited for, with what is known of each and for how long. */
  describeAwaited(): readonly AwaitedPredecessor[] {
    return this.#listAwaited().map(({ keeper, kind, leftMs }) => {
      const { instance, incarnation, term } = keeper;
      return { instance, incarnation, term, kind, leftMs: Math.round(leftMs) };
    });
  }

  /** All of them, as a claim's record names them. */
  listAll(): readonly UnresolvedKeeper[] {
    return this.#keepers.map(toUnresolved);
  }

  /** All taken together. */
  computeState(): PredecessorState {
    const weighed = this.#keepers.map((keeper) => this.#weighKeeper(keeper));
    const kinds = weighed.map(({ kind }) => kind);
    return {
      kind: WORST_FIRST.find((one) => kinds.includes(one)) ?? "none",
      lastOrderAtMs: Math.max(
        -Infinity,
        ...weighed.map(({ lastOrderAtMs }) => lastOrderAtMs),
      ),
    };
  }

  #listAwaited() {
    const { clock, timing } = this.#options;
    const nowMs = clock.readMs();
    return this.#keepers.map((keeper) => {
      const { kind, lastOrderAtMs } = this.#weighKeeper(keeper);
      const leftMs = computeHoldEndMs(lastOrderAtMs, timing.holdMs) - nowMs;
      return { keeper, kind, leftMs };
    }).filter(({ kind, leftMs }) => kind !== "resigned" && leftMs > 0);
  }

  #createKeepers(standing: PartitionState): readonly TrackedPredecessor[] {
    const { claim, witnesses, unresolved, term, tables } = standing;
    const nowMs = this.#options.clock.readMs();
    if (term === undefined && tables.size === 0) {
      return [];
    }
    // One whose record cannot be read may be any; nothing will be heard of it.
    const last = claim ?? { instance: "", incarnation: "" };
    const all = [{ ...last, witnesses, term: term ?? -1 }, ...unresolved];
    return all.map((one) => ({
      ...toUnresolved(one),
      resigned: "resigned" in one && one.resigned === true,
      claimedAtMs: nowMs,
      endedSeenAtMs: this.#hasEnded(one) ? nowMs : undefined,
    }));
  }

  /**
   * It is an earlier claim or an earlier start of this very instance, or a later
   * start of its instance is known.
   */
  #hasEnded(keeper: KeeperClaim): boolean {
    const { claim, hasInstanceEnded } = this.#options;
    return keeper.instance === claim.instance || hasInstanceEnded(keeper);
  }

  #weighKeeper(keeper: TrackedPredecessor): PredecessorState {
    const { clock, peers } = this.#options;
    if (keeper.resigned) {
      return { kind: "resigned", lastOrderAtMs: keeper.claimedAtMs };
    }
    const latestMs = this.#computeLatestOrderMs(keeper);
    const stopped = peers.findStopNotice(this.#part, keeper);
    if (stopped !== undefined) {
      const kind = stopped.isClean ? "resigned" : "ended";
      return { kind, lastOrderAtMs: Math.min(latestMs, stopped.atMs) };
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

  /** For how long a keeper of which nothing is heard may have acted. */
  #computeLatestOrderMs(
    { claimedAtMs, witnesses }: TrackedPredecessor,
  ): number {
    const { timing, claim, peers } = this.#options;
    return witnesses.includes(formatIncarnation(claim))
      ? Math.max(
        claimedAtMs + timing.authorityMs,
        peers.getPledgedUntilMs(this.#part),
      )
      : claimedAtMs + timing.maxAuthorityMs;
  }
}

const WORST_FIRST = ["unknown", "ended", "resigned"] as const;

function toUnresolved(
  { instance, incarnation, term, witnesses }: UnresolvedKeeper,
): UnresolvedKeeper {
  return { instance, incarnation, term, witnesses };
}
