/**
 * The fold of the log: every instance that has folded up to the same offset
 * holds the same state. It knows no clock, no randomness and no network, and
 * it is total: whatever stands in a record, the fold goes on.
 */
import type {
  ClientAccount,
  Template,
} from "@lentilspur/declarations/template";
import { makePosition, type Position } from "@lentilspur/outcomes/position";
import {
  applyConfigurationPublished,
  applyEpochAdvanced,
} from "./apply_configuration.ts";
import {
  applyGuardiansChanged,
  applyInstanceJoined,
  applyInstanceLeft,
  applyInstanceLost,
} from "./apply_membership.ts";
import {
  applyStewardChanged,
  applyTargetJoined,
  applyTargetLeaving,
  applyTargetLeft,
  applyTargetLost,
} from "./apply_targets.ts";
import {
  applyMoveAbandoned,
  applyMoveReleased,
  applyMoveStarted,
  applyUnitsAssigned,
} from "./apply_units.ts";
import type { Entry, RejectionReason, UnitId, Verdict } from "./entries.ts";
import { parseEnvelope } from "./entry_schema.ts";
import { restoreTables, serializeTables } from "./snapshot.ts";
import { type EntryContext, Tables } from "./tables.ts";
import { hashKeyToShard, makeKeyUnit, makeShardUnit } from "./units.ts";
import type {
  KeyLocation,
  MemberState,
  StateView,
  TargetState,
  UnitState,
} from "./view.ts";

export class Fold implements StateView {
  readonly #tables: Tables;

  constructor(tables: Tables = new Tables()) {
    this.#tables = tables;
  }

  /** Continues from what `serialize` gave; throws on any other text. */
  static restore(text: string): Fold {
    return new Fold(restoreTables(text));
  }

  /** The whole state as canonical text: equal states give equal text. */
  serialize(): string {
    return serializeTables(this.#tables);
  }

  /**
   * Folds the record at `offset`, which must be the next one. Returns a
   * verdict for each entry; none for a payload that is no envelope.
   */
  apply(offset: number, payload: string): readonly Verdict[] {
    if (offset !== this.#tables.nextOffset) {
      throw new RangeError(
        `Expected offset "${this.#tables.nextOffset}", got "${offset}"`,
      );
    }
    this.#tables.nextOffset = offset + 1;
    const envelope = parseEnvelope(payload);
    if (envelope === undefined) {
      return [];
    }
    // A writer that lost the answer to its append may append again. The
    // second copy must not act, even where its preconditions hold once more.
    if (this.#tables.envelopeIds.has(envelope.id)) {
      return envelope.entries.map(() => makeRejection("repeated"));
    }
    this.#tables.envelopeIds.add(envelope.id);
    return envelope.entries.map((entry, index) =>
      this.#applyEntry(entry, {
        position: makePosition(offset, index),
        author: envelope.author,
      })
    );
  }

  get nextOffset(): number {
    return this.#tables.nextOffset;
  }

  get configurationVersion(): number {
    return this.#tables.configurationVersion;
  }

  get epoch(): number {
    return this.#tables.epoch;
  }

  getTemplate(name: string): Template | undefined {
    return this.#tables.templates.get(name);
  }

  listTemplates(): readonly Template[] {
    return [...this.#tables.templates.values()];
  }

  getClientAccount(name: string): ClientAccount | undefined {
    return this.#tables.clientAccounts.get(name);
  }

  listClientAccounts(): readonly ClientAccount[] {
    return [...this.#tables.clientAccounts.values()];
  }

  getMember(id: string): MemberState | undefined {
    return this.#tables.members.get(id);
  }

  listMembers(): readonly MemberState[] {
    return [...this.#tables.members.values()];
  }

  getRemovalPosition(instance: string): Position | undefined {
    return this.#tables.removals.get(instance);
  }

  getTarget(id: string): TargetState | undefined {
    return this.#tables.targets.get(id);
  }

  listTargets(): readonly TargetState[] {
    return [...this.#tables.targets.values()];
  }

  listTargetsOfTemplate(template: string): readonly TargetState[] {
    return this.#tables.listTargetsOfTemplate(template);
  }

  getUnit(template: string, unit: UnitId): UnitState | undefined {
    return this.#tables.units.get(template, unit);
  }

  listUnits(template: string): readonly UnitState[] {
    return this.#tables.units.list(template);
  }

  listKeyUnits(template: string): readonly UnitState[] {
    return this.#tables.units.listKeys(template);
  }

  listUnitsOfTarget(target: string): readonly UnitState[] {
    return this.#tables.units.listOfTarget(target);
  }

  listUnitsMovingTo(target: string): readonly UnitState[] {
    return this.#tables.units.listMovingTo(target);
  }

  locateKey(template: string, key: string): KeyLocation | undefined {
    const declared = this.#tables.templates.get(template);
    if (declared === undefined) {
      return undefined;
    }
    const units = this.#tables.units;
    const unit = units.get(template, makeKeyUnit(key)) ??
      units.get(
        template,
        makeShardUnit(hashKeyToShard(key, declared.shardCount)),
      );
    if (unit === undefined) {
      return undefined;
    }
    const target = unit.owner === null
      ? undefined
      : this.#tables.targets.get(unit.owner);
    return { unit, target: target ?? null };
  }

  #applyEntry(entry: Entry, context: EntryContext): Verdict {
    const reason = applyEntry(this.#tables, entry, context);
    return reason === undefined
      ? { kind: "accepted", position: context.position }
      : makeRejection(reason);
  }
}

function makeRejection(reason: RejectionReason): Verdict {
  return { kind: "rejected", reason };
}

function applyEntry(
  tables: Tables,
  entry: Entry,
  context: EntryContext,
): RejectionReason | undefined {
  switch (entry.kind) {
    case "configuration-published":
      return applyConfigurationPublished(tables, entry, context);
    case "instance-joined":
      return applyInstanceJoined(tables, entry, context);
    case "guardians-changed":
      return applyGuardiansChanged(tables, entry, context);
    case "instance-left":
      return applyInstanceLeft(tables, entry, context);
    case "instance-lost":
      return applyInstanceLost(tables, entry, context);
    case "target-joined":
      return applyTargetJoined(tables, entry, context);
    case "target-leaving":
      return applyTargetLeaving(tables, entry, context);
    case "target-left":
      return applyTargetLeft(tables, entry, context);
    case "target-lost":
      return applyTargetLost(tables, entry, context);
    case "steward-changed":
      return applyStewardChanged(tables, entry, context);
    case "units-assigned":
      return applyUnitsAssigned(tables, entry, context);
    case "move-started":
      return applyMoveStarted(tables, entry, context);
    case "move-released":
      return applyMoveReleased(tables, entry, context);
    case "move-abandoned":
      return applyMoveAbandoned(tables, entry, context);
    case "epoch-advanced":
      return applyEpochAdvanced(tables, entry, context);
  }
}
