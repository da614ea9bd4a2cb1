/** Fills the planner's input from the folded state and local observation. */
import type {
  PlacementInput,
  PlacementTarget,
  PlacementUnit,
} from "@lentilspur/policy/placement_input";
import type { UnitId } from "@lentilspur/state/entries";
import type { StateView, UnitState } from "@lentilspur/state/view";

/** What this instance has seen itself; targets it does not steward are unknown. */
export interface PlacementHints {
  /** Places that the unit keeps busy; 0 where nothing is known. */
  getUnitLoad(template: string, unit: UnitId): number;
  /** Since the target joined, as far as this instance knows. */
  getTargetAgeMs(target: string): number;
}

export function buildPlacementInput(
  view: StateView,
  template: string,
  hints: PlacementHints,
): PlacementInput | undefined {
  const declared = view.getTemplate(template);
  if (declared === undefined) {
    return undefined;
  }
  const targets = view.listTargetsOfTemplate(template).map((
    { target, leaving },
  ): PlacementTarget => ({
    id: target.id,
    dataCentre: target.dataCentre,
    leaving,
    ageMs: hints.getTargetAgeMs(target.id),
  }));
  const units = view.listUnits(template)
    .map((unit) => toPlacementUnit(template, unit, hints));
  return {
    template,
    targets,
    units,
    weights: declared.placement,
    placesPerTarget: declared.placesPerTarget,
  };
}

function toPlacementUnit(
  template: string,
  state: UnitState,
  hints: PlacementHints,
): PlacementUnit {
  const base = {
    unit: state.unit,
    owner: state.owner,
    load: hints.getUnitLoad(template, state.unit),
    moving: state.move !== null,
  };
  return state.move === null ? base : { ...base, movingTo: state.move.to };
}
