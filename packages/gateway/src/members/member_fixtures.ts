/** Creates the members of a sample deployment, for tests. */
import { type Member, Members, serializeMember } from "./members.ts";

/** `bole-3` is in the data centre `bole`, as is a name without a number. */
export function createMember(
  instance: string,
  changes: Partial<Member> = {},
): Member {
  return {
    instance,
    incarnation: "1",
    dataCentre: instance.includes("-") ? instance.split("-")[0]! : "bole",
    host: instance,
    port: 1,
    statusPort: 2,
    cores: 1,
    ...changes,
  };
}

const DATA_CENTRES = ["bole", "kirkos", "yeka", "lideta", "arada"] as const;

/** Instances in five data centres, the first three of each with more cores. */
export function createInstances(count: number): readonly Member[] {
  return Array.from({ length: count }, (_, index) => {
    const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length]!;
    const number = Math.floor(index / DATA_CENTRES.length);
    return createMember(`${dataCentre}-${number}`, {
      cores: number < 3 ? 1.35 : 0.27,
    });
  });
}

/** Creates the members that an instance knows once it has read all records. */
export function createMembers(
  self: Member,
  all: readonly Member[],
  nowMs: number,
): Members {
  const members = new Members(self);
  for (const [offset, member] of all.entries()) {
    members.apply(member.instance, serializeMember(member), { offset, nowMs });
  }
  members.markRead();
  members.recordOwnRecord(-Infinity);
  return members;
}
