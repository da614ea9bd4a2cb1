/**
 * The load of each target as the planner sees it, and how it changes as moves
 * are planned.
 *
 * Load pattern: a target reports that it is idle while its places are full, or
 * repeats a figure of a minute ago. Were reports believed, units would move to
 * it and back again. Here a report shifts a target's load by at most
 * `REPORT_SHARE` of the mean, two of them by less than the smallest gap on
 * which the planner acts; so no report alone ever moves a unit.
 */
import type {
  PlacementInput,
  PlacementTarget,
  PlacementUnit,
} from "./placement_input.ts";

/** What a target's report can shift its load by, as a share of the mean. */
const REPORT_SHARE = 0.1;
/** Each unit counts at least this share of a mean unit, so idle ones spread. */
const BASE_SHARE = 0.1;
/** A cold target takes its full part only after this; caches fill in seconds. */
const WARM_UP_MS = 20_000;
/** Part that a target takes at once when it joins. */
const COLD_CAPACITY = 0.25;

export interface TargetLoad {
  readonly id: string;
  /** Part of a warm target's work that it may take, 0 to 1. */
  readonly capacity: number;
  load: number;
}

export class TargetLoads {
  readonly #loads = new Map<string, TargetLoad>();
  readonly #meanUnitLoad: number;
  readonly meanLoad: number;

  constructor(input: PlacementInput) {
    this.#meanUnitLoad = computeMeanUnitLoad(input.units);
    for (const target of input.targets) {
      const capacity = computeCapacity(target);
      this.#loads.set(target.id, { id: target.id, capacity, load: 0 });
    }
    for (const unit of input.units) {
      this.#addLoad(unit.movingTo ?? unit.owner, this.weigh(unit));
    }
    this.meanLoad = this.#computeMeanLoad();
    for (const target of input.targets) {
      this.#applyReport(target, input.placesPerTarget);
    }
  }

  /** What a unit counts: its load, but at least a part of a mean unit's. */
  weigh(unit: Pick<PlacementUnit, "load">): number {
    return unit.load + BASE_SHARE * this.#meanUnitLoad;
  }

  /** Load for the part that it may take, relative to the mean. */
  computeLevel(target: TargetLoad): number {
    return target.load / (target.capacity * this.meanLoad);
  }

  /** Targets that may take work; the least loaded first. */
  listByLevel(): readonly TargetLoad[] {
    return [...this.#loads.values()]
      .filter(({ capacity }) => capacity > 0)
      .sort((left, right) =>
        this.computeLevel(left) - this.computeLevel(right) ||
        compareText(left.id, right.id)
      );
  }

  /** The target that would be least loaded with `load` more. */
  findLeastLoaded(load: number): TargetLoad | undefined {
    let best: TargetLoad | undefined;
    let bestLevel = Infinity;
    for (const target of this.#loads.values()) {
      const level = (target.load + load) / target.capacity;
      if (target.capacity > 0 && level < bestLevel) {
        best = target;
        bestLevel = level;
      }
    }
    return best;
  }

  get(id: string): TargetLoad | undefined {
    return this.#loads.get(id);
  }

  move(load: number, options: { from: string | null; to: string }): void {
    this.#addLoad(options.from, -load);
    this.#addLoad(options.to, load);
  }

  #addLoad(id: string | null, load: number): void {
    const target = id === null ? undefined : this.#loads.get(id);
    if (target !== undefined) {
      target.load += load;
    }
  }

  #computeMeanLoad(): number {
    let load = 0;
    let capacity = 0;
    for (const target of this.#loads.values()) {
      load += target.load;
      capacity += target.capacity;
    }
    return capacity > 0 && load > 0 ? load / capacity : 1;
  }

  #applyReport(target: PlacementTarget, places: number): void {
    const known = this.#loads.get(target.id);
    if (known === undefined || target.reportedLoad === undefined) {
      return;
    }
    const difference = target.reportedLoad * places - known.load;
    const bound = REPORT_SHARE * this.meanLoad * known.capacity;
    known.load += Math.min(bound, Math.max(-bound, difference));
  }
}

/**
 * Slow start: a target that has just joined runs its first requests slowly, so
 * it gets a part of its units at once and the rest as it warms up.
 */
function computeCapacity(target: PlacementTarget): number {
  if (target.leaving) {
    return 0;
  }
  return Math.min(
    1,
    COLD_CAPACITY + (1 - COLD_CAPACITY) * target.ageMs / WARM_UP_MS,
  );
}

function computeMeanUnitLoad(units: readonly PlacementUnit[]): number {
  let load = 0;
  for (const unit of units) {
    load += unit.load;
  }
  return load > 0 ? load / units.length : 1;
}

/** By code unit, the same on every machine; locale rules differ. */
export function compareText(left: string, right: string): number {
  return left < right ? -1 : left > right ? 1 : 0;
}
