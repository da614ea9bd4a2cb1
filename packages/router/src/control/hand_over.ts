/**
 * Hands a target to another steward while both are well: for a planned stop,
 * and to spread targets over instances.
 *
 * Callers wait through it: nothing new is sent, what runs finishes, the change
 * goes into the log, and the memory of handled requests follows.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type { PeerPort } from "@lentilspur/ports/peer";
import type { Position } from "@lentilspur/outcomes/position";
import type { DecisionSink } from "@lentilspur/proof/decision_line";
import type { UnitId } from "@lentilspur/state/entries";
import type { TargetState } from "@lentilspur/state/view";
import type { UnitWork } from "../authority.ts";
import type { ControlTiming } from "../settings.ts";
import type { LogAccess } from "./log_access.ts";
import { type MemoryParcel, transferMemory } from "./memory_transfer.ts";
import type { Stewardships } from "./stewardships.ts";

export interface HandOverOptions {
  readonly self: string;
  readonly clock: Clock;
  readonly peers: PeerPort;
  readonly log: LogAccess;
  readonly timing: ControlTiming;
  readonly decisions: DecisionSink;
  readonly stewardships: Stewardships;
  readonly work: UnitWork;
}

/** True once the log has the other instance as the target's steward. */
export async function transferStewardship(
  options: HandOverOptions,
  state: TargetState,
  to: string,
  signal: AbortSignal,
): Promise<boolean> {
  const { log, stewardships, decisions } = options;
  const target = state.target.id;
  stewardships.startHandOver(target);
  await waitForIdleTarget(options, state, signal);
  const parcels = collectParcels(options, state);
  const result = await log.submit([{
    kind: "steward-changed",
    target,
    expectedToken: state.stewardToken,
    to,
  }], signal);
  const verdict = result.ok ? result.val[0] : undefined;
  if (verdict?.kind !== "accepted") {
    stewardships.cancelHandOver(target);
    return false;
  }
  decisions.log({
    decision: "stewardship-changed",
    target,
    state: "handed-over",
    stewardToken: verdict.position,
  });
  for (const parcel of parcels) {
    await transferMemory(options, parcel, verdict.position);
  }
  return true;
}

async function waitForIdleTarget(
  options: HandOverOptions,
  state: TargetState,
  signal: AbortSignal,
): Promise<void> {
  const { log, work } = options;
  const { id, template } = state.target;
  for (const { unit } of log.getView().listUnitsOfTarget(id)) {
    await work.waitForIdle(template, unit, signal);
  }
}

/** Units with the same floor share a parcel. */
function collectParcels(
  options: HandOverOptions,
  state: TargetState,
): readonly MemoryParcel[] {
  const { log, work } = options;
  const { id, template } = state.target;
  const unitsByFloor = new Map<Position | undefined, UnitId[]>();
  for (const { unit } of log.getView().listUnitsOfTarget(id)) {
    const floor = work.getMemoryFloor(template, unit);
    const units = unitsByFloor.get(floor) ?? [];
    units.push(unit);
    unitsByFloor.set(floor, units);
  }
  return [...unitsByFloor].map(([floor, units]) => ({
    template,
    target: id,
    units,
    floor,
    remembered: work.collectMemory(template, units),
  }));
}
