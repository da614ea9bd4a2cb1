/**
 * The state as canonical text and back. Tables are sorted by name and the two
 * bounded memories keep their order, so equal states give equal text and a
 * digest of the text tells whether two instances agree.
 */
import { z } from "zod";
import type {
  ClientAccount,
  Template,
} from "@lentilspur/declarations/template";
import type { Position } from "@lentilspur/outcomes/position";
import type { UnitId } from "./entries.ts";
import { Tables } from "./tables.ts";
import type { MemberState, TargetState, UnitMove } from "./view.ts";

/** Grows when the text changes in a way that an older reader would misread. */
const SNAPSHOT_FORMAT = 1;

type UnitRow = readonly [UnitId, string | null, Position, UnitMove | null];

interface Snapshot {
  readonly format: number;
  readonly nextOffset: number;
  readonly configurationVersion: number;
  readonly epoch: number;
  readonly templates: readonly Template[];
  readonly clientAccounts: readonly ClientAccount[];
  readonly members: readonly MemberState[];
  readonly removals: readonly (readonly [string, Position])[];
  readonly targets: readonly TargetState[];
  readonly units: readonly (readonly [string, readonly UnitRow[]])[];
  readonly envelopeIds: readonly string[];
}

// The digest of a checkpoint vouches for the contents; this refuses only text
// that was written in another format.
const snapshotHead = z.object({ format: z.literal(SNAPSHOT_FORMAT) });

export function serializeTables(tables: Tables): string {
  const snapshot: Snapshot = {
    format: SNAPSHOT_FORMAT,
    nextOffset: tables.nextOffset,
    configurationVersion: tables.configurationVersion,
    epoch: tables.epoch,
    templates: sortByName(tables.templates),
    clientAccounts: sortByName(tables.clientAccounts),
    members: sortByName(tables.members),
    removals: [...tables.removals],
    targets: sortByName(tables.targets),
    units: listUnitRows(tables),
    envelopeIds: tables.envelopeIds.list(),
  };
  return JSON.stringify(snapshot);
}

export function restoreTables(text: string): Tables {
  const parsed: unknown = JSON.parse(text);
  snapshotHead.parse(parsed);
  const snapshot = parsed as Snapshot;
  const tables = new Tables();
  tables.nextOffset = snapshot.nextOffset;
  tables.configurationVersion = snapshot.configurationVersion;
  tables.epoch = snapshot.epoch;
  for (const template of snapshot.templates) {
    tables.templates.set(template.name, template);
  }
  for (const account of snapshot.clientAccounts) {
    tables.clientAccounts.set(account.name, account);
  }
  for (const member of snapshot.members) {
    tables.members.set(member.instance.id, member);
  }
  for (const [id, position] of snapshot.removals) {
    tables.removals.set(id, position);
  }
  for (const state of snapshot.targets) {
    tables.targets.set(state.target.id, state);
  }
  for (const [template, rows] of snapshot.units) {
    restoreUnits(tables, template, rows);
  }
  for (const id of snapshot.envelopeIds) {
    tables.envelopeIds.add(id);
  }
  return tables;
}

function restoreUnits(
  tables: Tables,
  template: string,
  rows: readonly UnitRow[],
): void {
  for (const [unit, owner, token, move] of rows) {
    tables.units.set(template, { unit, owner, token, move });
  }
}

function listUnitRows(tables: Tables): Snapshot["units"] {
  return [...tables.templates.keys()].sort().map((template) => {
    const rows = tables.units.list(template).map((state): UnitRow => [
      state.unit,
      state.owner,
      state.token,
      state.move,
    ]);
    return [template, rows.sort(compareRows)] as const;
  });
}

function compareRows(left: UnitRow, right: UnitRow): number {
  return left[0] < right[0] ? -1 : left[0] > right[0] ? 1 : 0;
}

function sortByName<T>(map: ReadonlyMap<string, T>): readonly T[] {
  return [...map.entries()]
    .sort(([left], [right]) => left < right ? -1 : left > right ? 1 : 0)
    .map(([, value]) => value);
}
