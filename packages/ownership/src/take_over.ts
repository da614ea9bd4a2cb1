/**
 * When a silent instance may be taken over, by whom first, and who gets its
 * targets. The fold has the last word; two successors at once cost one
 * rejected entry.
 */
import type { TargetStewardship } from "@lentilspur/state/entries";
import { computeTakeOverQuorum } from "@lentilspur/state/quorum";
import type { MemberState, StateView } from "@lentilspur/state/view";
import { sortByRendezvous } from "./rendezvous.ts";

/**
 * Successors start one after another, so that usually only one appends. Well
 * above an append's round trip, well below the lease.
 */
export const SUCCESSOR_STAGGER_MS = 250;

/**
 * Guardians of the holder first; others only where too few guardians are left
 * for a quorum: those may be lost as well, and would wait for each other.
 * Undefined for an instance that is no successor at all.
 */
export function computeSuccessorRank(
  holder: MemberState,
  self: string,
  view: StateView,
): number | undefined {
  const guardians = holder.guardians.filter((id) => view.getMember(id));
  const quorum = computeTakeOverQuorum(holder.guardians.length);
  const others = guardians.length >= quorum ? [] : view.listMembers()
    .map((member) => member.instance.id)
    .filter((id) => id !== holder.instance.id && !guardians.includes(id));
  const ranked = [
    ...sortByRendezvous(holder.instance.id, guardians, (id) => id),
    ...sortByRendezvous(holder.instance.id, others, (id) => id),
  ];
  const rank = ranked.indexOf(self);
  return rank < 0 ? undefined : rank;
}

/** What has been gathered against one holder. */
export interface Consents {
  readonly consented: readonly string[];
  readonly waitedOut: readonly string[];
}

export function hasTakeOverQuorum(
  holder: MemberState,
  consents: Consents,
): boolean {
  const given = new Set([...consents.consented, ...consents.waitedOut]);
  return given.size >= computeTakeOverQuorum(holder.guardians.length);
}

/**
 * Spreads the lost instance's targets: in the target's data centre where there
 * is a member, to whoever stewards the fewest.
 */
export function planSuccession(
  lost: string,
  view: StateView,
): readonly TargetStewardship[] {
  const members = view.listMembers()
    .filter((member) => member.instance.id !== lost);
  const counts = countStewardships(view, members);
  const plan: TargetStewardship[] = [];
  for (const state of view.listTargets()) {
    if (state.steward !== lost) {
      continue;
    }
    const to = chooseSteward(state.target.dataCentre, members, counts);
    if (to !== undefined) {
      counts.set(to, (counts.get(to) ?? 0) + 1);
      plan.push({ target: state.target.id, to });
    }
  }
  return plan;
}

/** Targets that each member stewards. */
export function countStewardships(
  view: StateView,
  members: readonly MemberState[],
): Map<string, number> {
  const counts = new Map(members.map((member) => [member.instance.id, 0]));
  for (const { steward } of view.listTargets()) {
    if (steward !== null && counts.has(steward)) {
      counts.set(steward, counts.get(steward)! + 1);
    }
  }
  return counts;
}

/**
 * One hop within a data centre costs least, but a steward with many more
 * targets than the others becomes the slow one: the target's data centre wins
 * only within this many stewardships.
 */
const LOCAL_PREFERENCE = 2;

export function chooseSteward(
  dataCentre: string,
  members: readonly MemberState[],
  counts: ReadonlyMap<string, number>,
): string | undefined {
  let best: string | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const { instance } of members) {
    const isLocal = instance.dataCentre === dataCentre;
    const cost = (counts.get(instance.id) ?? 0) +
      (isLocal ? 0 : LOCAL_PREFERENCE);
    if (cost < bestCost) {
      best = instance.id;
      bestCost = cost;
    }
  }
  return best;
}
