/** Applies assignments and moves of units. */
import type { Entry, RejectionReason, UnitId } from "./entries.ts";
import type { EntryContext, Tables } from "./tables.ts";
import { getKeyOfUnit, hashKeyToShard, makeShardUnit } from "./units.ts";
import type { UnitState } from "./view.ts";

type EntryOf<K extends Entry["kind"]> = Extract<Entry, { kind: K }>;

export function applyUnitsAssigned(
  tables: Tables,
  entry: EntryOf<"units-assigned">,
  context: EntryContext,
): RejectionReason | undefined {
  if (!tables.isMember(context.author)) {
    return "not-a-member";
  }
  for (const { unit, to } of entry.units) {
    const state = tables.units.get(entry.template, unit);
    if (state === undefined) {
      return "unknown-unit";
    }
    if (state.owner !== null) {
      return "already-known";
    }
    if (!isTargetOf(tables, entry.template, to)) {
      return "unknown-target";
    }
  }
  for (const { unit, to } of entry.units) {
    const token = context.position;
    tables.units.set(entry.template, { unit, owner: to, token, move: null });
  }
  return undefined;
}

export function applyMoveStarted(
  tables: Tables,
  entry: EntryOf<"move-started">,
  context: EntryContext,
): RejectionReason | undefined {
  if (!tables.isMember(context.author)) {
    return "not-a-member";
  }
  if (!isTargetOf(tables, entry.template, entry.to)) {
    return "unknown-target";
  }
  const state = tables.units.get(entry.template, entry.unit) ??
    getUnlistedKey(tables, entry.template, entry.unit);
  if (state === undefined || state.owner === null) {
    return "unknown-unit";
  }
  const refusal = checkMove(tables, entry, state);
  if (refusal !== undefined) {
    return refusal;
  }
  tables.units.set(entry.template, {
    ...state,
    move: { to: entry.to, reason: entry.reason, token: context.position },
  });
  return undefined;
}

export function applyMoveReleased(
  tables: Tables,
  entry: EntryOf<"move-released">,
  context: EntryContext,
): RejectionReason | undefined {
  const state = tables.units.get(entry.template, entry.unit);
  const refusal = checkStewardOfMove(tables, state, entry.moveToken, context);
  if (refusal !== undefined || state?.move == null) {
    return refusal ?? "not-moving";
  }
  if (state.move.reason === "hot-key-over") {
    moveKeyBack(tables, entry.template, entry.unit, context);
    return undefined;
  }
  tables.units.set(entry.template, {
    unit: state.unit,
    owner: state.move.to,
    token: context.position,
    move: null,
  });
  return undefined;
}

export function applyMoveAbandoned(
  tables: Tables,
  entry: EntryOf<"move-abandoned">,
  context: EntryContext,
): RejectionReason | undefined {
  const state = tables.units.get(entry.template, entry.unit);
  const refusal = checkStewardOfMove(tables, state, entry.moveToken, context);
  if (refusal !== undefined || state === undefined) {
    return refusal ?? "unknown-unit";
  }
  tables.units.set(entry.template, { ...state, move: null });
  return undefined;
}

function checkMove(
  tables: Tables,
  entry: EntryOf<"move-started">,
  state: UnitState,
): RejectionReason | undefined {
  if (state.move !== null) {
    return "already-moving";
  }
  if (entry.expectedToken !== state.token) {
    return "stale-precondition";
  }
  if (entry.reason === "hot-key-over") {
    return checkRetirement(tables, entry);
  }
  if (entry.to === state.owner) {
    return "already-known";
  }
  return checkKeyBoundAndShard(tables, entry);
}

/** A hot key goes back only to where its shard is and stays meanwhile. */
function checkRetirement(
  tables: Tables,
  entry: EntryOf<"move-started">,
): RejectionReason | undefined {
  const shard = getShardOfKeyUnit(tables, entry.template, entry.unit);
  if (
    shard === undefined ||
    tables.units.get(entry.template, entry.unit) === undefined
  ) {
    return "unknown-unit";
  }
  if (shard.move !== null) {
    return "already-moving";
  }
  return shard.owner === entry.to ? undefined : "stale-precondition";
}

function checkKeyBoundAndShard(
  tables: Tables,
  entry: EntryOf<"move-started">,
): RejectionReason | undefined {
  const template = tables.templates.get(entry.template);
  if (template === undefined) {
    return "unknown-template";
  }
  if (getKeyOfUnit(entry.unit) === undefined) {
    const isAwaited = tables.units.hasRetiringKey(
      template.name,
      entry.unit,
      template.shardCount,
    );
    return isAwaited ? "already-moving" : undefined;
  }
  const isNew = tables.units.get(template.name, entry.unit) === undefined;
  const isFull = tables.units.countKeys(template.name) >= template.maxHotKeys;
  return isNew && isFull ? "bound-reached" : undefined;
}

/** A key that has no place of its own yet shares its shard's owner. */
function getUnlistedKey(
  tables: Tables,
  template: string,
  unit: UnitId,
): UnitState | undefined {
  const shard = getShardOfKeyUnit(tables, template, unit);
  if (shard === undefined || shard.move !== null) {
    return undefined;
  }
  return { unit, owner: shard.owner, token: shard.token, move: null };
}

function getShardOfKeyUnit(
  tables: Tables,
  template: string,
  unit: UnitId,
): UnitState | undefined {
  const key = getKeyOfUnit(unit);
  const shardCount = tables.templates.get(template)?.shardCount;
  if (key === undefined || shardCount === undefined) {
    return undefined;
  }
  const shard = makeShardUnit(hashKeyToShard(key, shardCount));
  return tables.units.get(template, shard);
}

/**
 * The shard gets the newer token, so that the fencing tokens which one key
 * meets in its life only ever grow.
 */
function moveKeyBack(
  tables: Tables,
  template: string,
  unit: UnitId,
  context: EntryContext,
): void {
  const shard = getShardOfKeyUnit(tables, template, unit);
  tables.units.remove(template, unit);
  if (shard !== undefined) {
    tables.units.set(template, { ...shard, token: context.position });
  }
}

/** Only the owner's steward knows that the owner has given the unit up. */
function checkStewardOfMove(
  tables: Tables,
  state: UnitState | undefined,
  moveToken: number,
  context: EntryContext,
): RejectionReason | undefined {
  if (state === undefined) {
    return "unknown-unit";
  }
  if (state.move?.token !== moveToken) {
    return "not-moving";
  }
  const owner = state.owner === null
    ? undefined
    : tables.targets.get(state.owner);
  return owner?.steward === context.author ? undefined : "not-the-author";
}

function isTargetOf(
  tables: Tables,
  template: string,
  target: string,
): boolean {
  return tables.targets.get(target)?.target.template === template;
}
