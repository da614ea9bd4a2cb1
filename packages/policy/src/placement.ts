/**
 * Where units go when they must: first assignment, loss of a target, drain of
 * a leaving one. Only units that have lost their owner, or are about to, are
 * touched, so churn is the least possible. `balance.ts` decides moves that are
 * not forced.
 *
 * Load pattern: a target is lost or leaves under load. Hashing its part anew
 * (round robin over targets) would move units of all the others as well.
 */
import type {
  PlacementInput,
  PlacementUnit,
  PlannedAssignment,
  PlannedMove,
} from "./placement_input.ts";
export { planBalance, planHotKeys, planHotKeysOver } from "./balance.ts";
import { compareText, TargetLoads } from "./target_loads.ts";

/** Drain moves under way at a time; each stops its unit for a short while. */
const MAX_DRAIN_MOVES = 64;

/** Places units that have no owner, dearest first, each where least is. */
export function planInitialAssignment(
  input: PlacementInput,
): readonly PlannedAssignment[] {
  const ownerless = input.units.filter((unit) => unit.owner === null);
  return assignToLeastLoaded(input, ownerless, "no owner");
}

/** Places the units of lost targets; those of others stay where they are. */
export function planLoss(
  input: PlacementInput,
  lostTargets: ReadonlySet<string>,
): readonly PlannedAssignment[] {
  const targets = input.targets.filter(({ id }) => !lostTargets.has(id));
  const orphaned = input.units.filter(({ owner }) =>
    owner !== null && lostTargets.has(owner)
  );
  return assignToLeastLoaded(
    { ...input, targets },
    orphaned,
    "its owner was lost",
  );
}

/**
 * Moves units off leaving targets, the few hottest first: their callers would
 * be hurt most if the target ended before its drain.
 */
export function planDrain(input: PlacementInput): readonly PlannedMove[] {
  const leaving = new Set(
    input.targets.filter((target) => target.leaving).map(({ id }) => id),
  );
  const underWay = input.units.filter((unit) => unit.moving).length;
  const affected = input.units
    .filter(({ owner, moving }) =>
      owner !== null && leaving.has(owner) && !moving
    )
    .sort(compareByLoad)
    .slice(0, Math.max(0, MAX_DRAIN_MOVES - underWay));
  const loads = new TargetLoads(input);
  const moves: PlannedMove[] = [];
  for (const unit of affected) {
    const load = loads.weigh(unit);
    const to = loads.findLeastLoaded(load);
    if (to === undefined) {
      break;
    }
    loads.move(load, { from: unit.owner, to: to.id });
    moves.push({
      template: input.template,
      unit: unit.unit,
      from: unit.owner!,
      to: to.id,
      reason: "drain",
      why: `${unit.owner} is leaving; ${to.id} is least loaded`,
    });
  }
  return moves;
}

function assignToLeastLoaded(
  input: PlacementInput,
  units: readonly PlacementUnit[],
  cause: string,
): readonly PlannedAssignment[] {
  const loads = new TargetLoads(input);
  const assignments: PlannedAssignment[] = [];
  for (const unit of units.toSorted(compareByLoad)) {
    const load = loads.weigh(unit);
    const to = loads.findLeastLoaded(load);
    if (to === undefined) {
      break;
    }
    loads.move(load, { from: null, to: to.id });
    assignments.push({
      template: input.template,
      unit: unit.unit,
      to: to.id,
      why: `${cause}; ${to.id} is least loaded`,
    });
  }
  return assignments;
}

function compareByLoad(left: PlacementUnit, right: PlacementUnit): number {
  return right.load - left.load || compareText(left.unit, right.unit);
}
