/**
 * Whom an instance asks to guard it: members spread over data centres, so that
 * the loss of one data centre leaves every survivor its quorum.
 */
import { WANTED_GUARDIANS } from "@lentilspur/state/quorum";
import type { MemberState } from "@lentilspur/state/view";
import { sortByRendezvous } from "./rendezvous.ts";

/** Ids of the chosen; those in `keep` that are still members stay. */
export function chooseGuardians(
  self: string,
  members: readonly MemberState[],
  keep: readonly string[] = [],
): readonly string[] {
  const others = members.filter((member) => member.instance.id !== self);
  const ranked = sortByRendezvous(
    self,
    others,
    (member) => member.instance.id,
  );
  const kept = ranked.filter((member) => keep.includes(member.instance.id));
  const chosen: MemberState[] = kept.slice(0, WANTED_GUARDIANS);
  while (chosen.length < Math.min(WANTED_GUARDIANS, ranked.length)) {
    chosen.push(chooseNext(ranked, chosen));
  }
  return chosen.map((member) => member.instance.id);
}

/** The best ranked in the data centre that has the fewest so far. */
function chooseNext(
  ranked: readonly MemberState[],
  chosen: readonly MemberState[],
): MemberState {
  const left = ranked.filter((member) => !chosen.includes(member));
  return left.reduce((best, member) =>
    countInDataCentre(member, chosen) < countInDataCentre(best, chosen)
      ? member
      : best
  );
}

function countInDataCentre(
  member: MemberState,
  chosen: readonly MemberState[],
): number {
  const { dataCentre } = member.instance;
  return chosen.filter((each) => each.instance.dataCentre === dataCentre)
    .length;
}
