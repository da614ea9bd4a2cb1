/**
 * The seam between the control side, which knows what this instance may do,
 * and the data path, which does it. The data path asks right before each act;
 * an answer is good for the same turn of the event loop only.
 */
import type { Position } from "@lentilspur/outcomes/position";
import type { RememberedRequest } from "@lentilspur/ports/peer";
import type { TargetAddress } from "@lentilspur/ports/target";
import type { UnitId } from "@lentilspur/state/entries";

export type Permission =
  | {
    readonly kind: "permitted";
    readonly unit: UnitId;
    readonly target: TargetAddress;
    readonly stewardToken: Position;
    readonly unitToken: Position;
    /** A target that does not check is never sent more than this much time. */
    readonly maxRunMs: number;
    /** Until when this holds if nothing changes, on this instance's clock. */
    readonly untilMs: number;
  }
  /** Another instance stewards the owner, as far as this one has folded. */
  | { readonly kind: "not-steward"; readonly steward: string | null }
  /** A short move or take-over is under way; wait for a change, then ask again. */
  | {
    readonly kind: "owner-changing";
    readonly why: "moving" | "granting" | "waiting-out" | "unowned";
  }
  /** This instance may not act for anything until its lease is renewed. */
  | { readonly kind: "lease-lapsed" };

export interface Authority {
  check(template: string, key: string): Permission;
  /** Resolves after the next change of what `check` may answer, or `maxMs`. */
  waitForChange(maxMs: number, signal?: AbortSignal): Promise<void>;
}

/** What a steward's own contact with a target has shown lately. */
export interface TargetContact {
  /** When a dispatch or probe last got any bytes back; own clock. */
  readonly lastHeardAt: number;
  readonly consecutiveFailures: number;
  /** When it last refused a request for its token or grant, if ever. */
  readonly lastFencedAt?: number;
}

/** Handled requests of some units, as known when they changed hands. */
export interface UnitMemory {
  /**
   * The change that this memory is complete up to: the new unit token of a
   * released move, or the new steward token of a hand-over. The memory counts
   * only while the unit is served under exactly this unit or steward token as
   * the higher of the two; were it bound to whatever tokens come next, memory
   * of a move that failed would count after the steward kept serving and died.
   */
  readonly token: Position;
  /** Ids minted before this and not remembered are answered as unknown. */
  readonly floor: Position;
  readonly remembered: readonly RememberedRequest[];
}

/** What the control side asks of the data path. */
export interface UnitWork {
  /**
   * Resolves once no dispatched request of the unit is unsettled. For a key's
   * unit that means every request for that key, under whichever unit it was
   * dispatched: a key that becomes hot had been served under its shard.
   */
  waitForIdle(
    template: string,
    unit: UnitId,
    signal?: AbortSignal,
  ): Promise<void>;
  /** Handled request ids of these units, for the next steward. */
  collectMemory(
    template: string,
    units: readonly UnitId[],
  ): readonly RememberedRequest[];
  /**
   * Ids of the unit minted at or after this position are all in
   * `collectMemory`. `undefined` for a unit that the fold does not know, or
   * whose target has no steward.
   */
  getMemoryFloor(template: string, unit: UnitId): Position | undefined;
  /** Takes memory over that an earlier steward, or another unit, collected. */
  addMemory(
    template: string,
    units: readonly UnitId[],
    memory: UnitMemory,
  ): void;
  /** Forgets units that this instance no longer serves. */
  removeMemory(template: string, units: readonly UnitId[]): void;
  getContact(target: string): TargetContact | undefined;
  /**
   * When a dispatch for the unit last ended without its fate being known, on
   * this instance's clock; for a key's unit, a dispatch for that key under any
   * unit. Kept for as long as it may still matter for a target that does not
   * check its grants.
   */
  getLastUnknownMs(template: string, unit: UnitId): number | undefined;
}
