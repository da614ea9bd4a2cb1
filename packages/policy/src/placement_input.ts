/**
 * What the planner is told of one template's targets and units, and what it
 * answers. Plain read-only data: the control loop fills it from the state view
 * and from its table of observed loads.
 *
 * Load is counted in places kept busy: a target with 2 places carries at
 * most 2. What the system observed itself counts; a target's own report may
 * only tip a balance that is already uneven.
 */
import type { PlacementWeights } from "@lentilspur/declarations/template";
import type { MoveReason, UnitId } from "@lentilspur/state/entries";

export interface PlacementTarget {
  readonly id: string;
  readonly dataCentre: string;
  readonly leaving: boolean;
  /** Since it joined, on the planner's own clock; Infinity where unknown. */
  readonly ageMs: number;
  /** Share of its places in use, 0 to 1, as the target itself says. */
  readonly reportedLoad?: number;
}

export interface PlacementUnit {
  readonly unit: UnitId;
  readonly owner: string | null;
  /** Places that it keeps busy, by own observation; 0 where nothing is known. */
  readonly load: number;
  readonly moving: boolean;
  /** Where it is on its way to; its load counts there already. */
  readonly movingTo?: string;
}

/** A key that is hot and has no unit of its own yet. */
export interface HotKeyCandidate {
  readonly key: string;
  readonly owner: string;
  readonly load: number;
}

/** A hot key's own unit, and where its shard is. */
export interface HotUnit {
  readonly unit: UnitId;
  readonly owner: string;
  readonly load: number;
  readonly shardOwner: string;
  readonly moving: boolean;
}

export interface PlacementInput {
  readonly template: string;
  readonly targets: readonly PlacementTarget[];
  readonly units: readonly PlacementUnit[];
  readonly weights: PlacementWeights;
  readonly placesPerTarget: number;
  /** True while the last plan still had moves: go on until it is even. */
  readonly correcting?: boolean;
}

export interface PlannedMove {
  readonly template: string;
  readonly unit: UnitId;
  readonly from: string;
  readonly to: string;
  readonly reason: MoveReason;
  /** One phrase with the figures that led to it, for the decision line. */
  readonly why: string;
}

/** Where a unit without an owner goes. */
export interface PlannedAssignment {
  readonly template: string;
  readonly unit: UnitId;
  readonly to: string;
  readonly why: string;
}
