/** Applies joins, leaves and losses of targets, and changes of stewards. */
import type { Entry, RejectionReason, TargetLossEvidence } from "./entries.ts";
import { OPERATOR_PREFIX } from "./apply_membership.ts";
import type { EntryContext, Tables } from "./tables.ts";
import type { TargetState } from "./view.ts";

type EntryOf<K extends Entry["kind"]> = Extract<Entry, { kind: K }>;

export function applyTargetJoined(
  tables: Tables,
  entry: EntryOf<"target-joined">,
  context: EntryContext,
): RejectionReason | undefined {
  if (!tables.isMember(context.author)) {
    return "not-a-member";
  }
  if (tables.targets.has(entry.target.id)) {
    return "already-known";
  }
  if (!tables.templates.has(entry.target.template)) {
    return "unknown-template";
  }
  if (!tables.isMember(entry.steward)) {
    return "unknown-instance";
  }
  tables.targets.set(entry.target.id, {
    target: entry.target,
    leaving: false,
    steward: entry.steward,
    stewardToken: context.position,
    takenOver: false,
  });
  return undefined;
}

export function applyTargetLeaving(
  tables: Tables,
  entry: EntryOf<"target-leaving">,
  context: EntryContext,
): RejectionReason | undefined {
  if (!tables.isMember(context.author)) {
    return "not-a-member";
  }
  const state = tables.targets.get(entry.target);
  if (state === undefined) {
    return "unknown-target";
  }
  if (state.leaving) {
    return "already-known";
  }
  tables.targets.set(entry.target, { ...state, leaving: true });
  return undefined;
}

export function applyTargetLeft(
  tables: Tables,
  entry: EntryOf<"target-left">,
  context: EntryContext,
): RejectionReason | undefined {
  if (!tables.isMember(context.author)) {
    return "not-a-member";
  }
  if (!tables.targets.has(entry.target)) {
    return "unknown-target";
  }
  const isEmpty = tables.units.countOfTarget(entry.target) === 0 &&
    tables.units.countMovingTo(entry.target) === 0;
  if (!isEmpty) {
    return "still-holding";
  }
  tables.targets.delete(entry.target);
  return undefined;
}

export function applyTargetLost(
  tables: Tables,
  entry: EntryOf<"target-lost">,
  context: EntryContext,
): RejectionReason | undefined {
  const state = tables.targets.get(entry.target);
  if (state === undefined) {
    return "unknown-target";
  }
  if (entry.expectedStewardToken !== state.stewardToken) {
    return "stale-precondition";
  }
  const refusal = checkTargetLoss(state, entry.evidence, context);
  if (refusal !== undefined) {
    return refusal;
  }
  tables.targets.delete(entry.target);
  transferUnits(tables, state, entry, context);
  cancelMovesTo(tables, state);
  return undefined;
}

export function applyStewardChanged(
  tables: Tables,
  entry: EntryOf<"steward-changed">,
  context: EntryContext,
): RejectionReason | undefined {
  const state = tables.targets.get(entry.target);
  if (state === undefined) {
    return "unknown-target";
  }
  if (!tables.isMember(context.author)) {
    return "not-a-member";
  }
  // Only the steward itself can know that it has stopped sending.
  if (state.steward !== null && state.steward !== context.author) {
    return "not-the-author";
  }
  if (entry.expectedToken !== state.stewardToken) {
    return "stale-precondition";
  }
  if (!tables.isMember(entry.to)) {
    return "unknown-instance";
  }
  tables.targets.set(entry.target, {
    ...state,
    steward: entry.to,
    stewardToken: context.position,
  });
  return undefined;
}

function checkTargetLoss(
  state: TargetState,
  evidence: TargetLossEvidence,
  context: EntryContext,
): RejectionReason | undefined {
  switch (evidence.kind) {
    case "operator":
      return context.author.startsWith(OPERATOR_PREFIX)
        ? undefined
        : "not-the-author";
    case "grants-lapsed":
      // A target that does not check goes on running what reached it,
      // however long ago its grants would have lapsed.
      if (!state.target.checksGrants) {
        return "evidence-insufficient";
      }
      return checkSteward(state, context);
    case "process-ended":
    case "restarted":
      return checkSteward(state, context);
  }
}

/** Only the steward knows when it last granted or sent anything. */
function checkSteward(
  state: TargetState,
  context: EntryContext,
): RejectionReason | undefined {
  return state.steward === context.author ? undefined : "not-the-author";
}

function transferUnits(
  tables: Tables,
  lost: TargetState,
  entry: EntryOf<"target-lost">,
  context: EntryContext,
): void {
  const { template } = lost.target;
  const owners = new Map(
    entry.reassigned.map((each) => [each.unit, each.to]),
  );
  for (const unit of tables.units.listOfTarget(entry.target)) {
    const wanted = owners.get(unit.unit);
    const target = wanted === undefined
      ? undefined
      : tables.targets.get(wanted);
    const isFit = target?.target.template === template;
    tables.units.set(template, {
      unit: unit.unit,
      owner: isFit ? target.target.id : null,
      token: context.position,
      move: null,
    });
  }
}

/** The old owner has not given these units up, so they stay where they are. */
function cancelMovesTo(tables: Tables, lost: TargetState): void {
  for (const unit of tables.units.listMovingTo(lost.target.id)) {
    tables.units.set(lost.target.template, { ...unit, move: null });
  }
}
