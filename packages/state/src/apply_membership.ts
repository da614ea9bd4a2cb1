/** Applies joins, leaves and losses of the system's own instances. */
import type {
  Entry,
  InstanceLossEvidence,
  RejectionReason,
} from "./entries.ts";
import { computeTakeOverQuorum, MAX_GUARDIANS } from "./quorum.ts";
import type { EntryContext, Tables } from "./tables.ts";
import type { MemberState } from "./view.ts";

type EntryOf<K extends Entry["kind"]> = Extract<Entry, { kind: K }>;

/** Authors that are no instances: people at the command line. */
export const OPERATOR_PREFIX = "operator:";

export function applyInstanceJoined(
  tables: Tables,
  entry: EntryOf<"instance-joined">,
  context: EntryContext,
): RejectionReason | undefined {
  const { instance, guardians } = entry;
  if (instance.id !== context.author) {
    return "not-the-author";
  }
  // An id that was taken over stays out: its holder may still be paused and
  // would otherwise wake up as a member that nobody let in.
  if (tables.isMember(instance.id) || tables.removals.has(instance.id)) {
    return "already-known";
  }
  if (!hasFitGuardians(tables, instance.id, guardians)) {
    return "bad-reference";
  }
  tables.members.set(instance.id, {
    instance,
    joinedAt: context.position,
    guardians,
    guardianToken: context.position,
  });
  return undefined;
}

export function applyGuardiansChanged(
  tables: Tables,
  entry: EntryOf<"guardians-changed">,
  context: EntryContext,
): RejectionReason | undefined {
  const member = tables.members.get(entry.instance);
  if (member === undefined) {
    return "unknown-instance";
  }
  // Only the holder may change who guards it: it alone knows that it has
  // pledges from both sets while the change is on its way.
  if (entry.instance !== context.author) {
    return "not-the-author";
  }
  if (entry.expectedToken !== member.guardianToken) {
    return "stale-precondition";
  }
  if (!hasFitGuardians(tables, entry.instance, entry.guardians)) {
    return "bad-reference";
  }
  tables.members.set(entry.instance, {
    ...member,
    guardians: entry.guardians,
    guardianToken: context.position,
  });
  return undefined;
}

export function applyInstanceLeft(
  tables: Tables,
  entry: EntryOf<"instance-left">,
  context: EntryContext,
): RejectionReason | undefined {
  if (entry.instance !== context.author) {
    return "not-the-author";
  }
  if (!tables.isMember(entry.instance)) {
    return "unknown-instance";
  }
  for (const state of tables.targets.values()) {
    if (state.steward === entry.instance) {
      return "still-holding";
    }
  }
  tables.removeMember(entry.instance, context.position);
  return undefined;
}

export function applyInstanceLost(
  tables: Tables,
  entry: EntryOf<"instance-lost">,
  context: EntryContext,
): RejectionReason | undefined {
  const member = tables.members.get(entry.instance);
  if (member === undefined) {
    return "unknown-instance";
  }
  const refusal = checkLossEvidence(tables, member, entry.evidence, context);
  if (refusal !== undefined) {
    return refusal;
  }
  tables.removeMember(entry.instance, context.position);
  transferStewardships(tables, entry, context);
  return undefined;
}

function checkLossEvidence(
  tables: Tables,
  member: MemberState,
  evidence: InstanceLossEvidence,
  context: EntryContext,
): RejectionReason | undefined {
  switch (evidence.kind) {
    case "operator":
      return context.author.startsWith(OPERATOR_PREFIX)
        ? undefined
        : "not-the-author";
    case "guardians":
      if (!tables.isMember(context.author)) {
        return "not-a-member";
      }
      if (context.author === member.instance.id) {
        return "not-the-author";
      }
      // Consents under an older set of guardians say nothing about a lease
      // that the present set holds up.
      if (evidence.guardianToken !== member.guardianToken) {
        return "stale-precondition";
      }
      return hasTakeOverQuorum(tables, member, evidence)
        ? undefined
        : "evidence-insufficient";
  }
}

function hasTakeOverQuorum(
  tables: Tables,
  member: MemberState,
  evidence: Extract<InstanceLossEvidence, { kind: "guardians" }>,
): boolean {
  const guardians = new Set(member.guardians);
  const given = new Set([...evidence.consented, ...evidence.waitedOut]);
  const allGuard = [...given].every((id) => guardians.has(id));
  // A guardian that is still a member may pledge at any moment; only a
  // removed one, whose own lease had lapsed, can be waited out.
  const allGone = evidence.waitedOut.every((id) => !tables.isMember(id));
  return allGuard && allGone &&
    given.size >= computeTakeOverQuorum(guardians.size);
}

function transferStewardships(
  tables: Tables,
  entry: EntryOf<"instance-lost">,
  context: EntryContext,
): void {
  const successors = new Map(
    entry.stewardships.map((each) => [each.target, each.to]),
  );
  for (const [id, state] of tables.targets) {
    if (state.steward !== entry.instance) {
      continue;
    }
    const successor = successors.get(id);
    const isFit = successor !== undefined && tables.isMember(successor);
    tables.targets.set(id, {
      ...state,
      steward: isFit ? successor : null,
      stewardToken: context.position,
      takenOver: true,
    });
  }
}

function hasFitGuardians(
  tables: Tables,
  instance: string,
  guardians: readonly string[],
): boolean {
  return guardians.length <= MAX_GUARDIANS &&
    new Set(guardians).size === guardians.length &&
    guardians.every((id) => id !== instance && tables.isMember(id));
}
