import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeStore } from "@lentilspur/ports/fake_store";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { createMember } from "./member_fixtures.ts";
import { type Member, Members, serializeMember } from "./members.ts";
import { startMembership } from "./membership_simulation.ts";

/** Instances that publish their records; a restarted one has a new process. */
class MemberSimulation {
  readonly clock = new VirtualClock();
  readonly store = new FakeStore(this.clock);

  start(member: Member): Members {
    const { members } = startMembership({
      clock: this.clock,
      store: this.store.createClient(member.instance),
      member,
      readIntervalMs: 1_000,
      signal: new AbortController().signal,
    });
    return members;
  }
}

test(
  "an instance whose record is lost in a restore of the store writes it again",
  async () => {
    const simulation = new MemberSimulation();
    simulation.start(createMember("bole-1"));
    await simulation.clock.advance(10_000);
    simulation.start(createMember("bole-2"));
    await simulation.clock.advance(2_000);
    simulation.store.restore({ copyAgeMs: 3_000, awayMs: 800 });
    await simulation.clock.advance(4_000);
    const late = simulation.start(createMember("bole-3"));
    await simulation.clock.advance(1_000);
    assert.equal(late.instanceCount, 3);
  },
);

test("an earlier incarnation that a restored store shows does not end the later one", async () => {
  const simulation = new MemberSimulation();
  simulation.start(createMember("bole-1"));
  await simulation.clock.advance(10_000);
  const restarted = createMember("bole-1", { incarnation: "2" });
  const startNumber = 2;
  simulation.store.restore({ copyAgeMs: 3_000 });
  const late = simulation.start(createMember("bole-2"));
  await simulation.clock.advance(200);
  const { instance, incarnation } = restarted;
  assert.equal(
    late.hasEnded({ instance, incarnation, startNumber }),
    false,
  );
});

test("a record with a lower start number never replaces a known one", () => {
  const members = new Members(createMember("bole-1"));
  const apply = (incarnation: string, startNumber: number, offset: number) => {
    const member = createMember("bole-2", { incarnation, startNumber });
    members.apply("bole-2", serializeMember(member), { offset, nowMs: 0 });
  };
  apply("later", 2, 5);
  apply("earlier", 1, 9);
  assert.equal(members.get("bole-2")?.incarnation, "later");
  const hasEnded = (incarnation: string, startNumber: number) =>
    members.hasEnded({ instance: "bole-2", incarnation, startNumber });
  assert.equal(hasEnded("earlier", 1), true);
  assert.equal(hasEnded("same number", 2), false);
});
