import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { Duties } from "./duties.ts";
import { createInstances, createMembers } from "./member_fixtures.ts";
import { type Member, Members, serializeMember } from "./members.ts";

const HEARTBEAT_MS = 500;
/** An instance that has been silent for this long is not heard of any more. */
const SILENT_MS = 1_700;

/** What each of many instances takes the others for. */
class Fleet {
  readonly clock = new VirtualClock();
  readonly names: readonly string[];
  readonly duties = new Map<string, Duties>();
  readonly lost = new Set<string>();
  readonly silent = new Set<string>();
  readonly #members = new Map<string, Members>();

  constructor(instances: readonly Member[]) {
    this.names = instances.map(({ instance }) => instance);
    for (const self of instances) {
      const members = createMembers(self, instances, 0);
      this.#members.set(self.instance, members);
      this.duties.set(
        self.instance,
        new Duties({
          clock: this.clock,
          self,
          members,
          hasLostStore: () => this.lost.has(self.instance),
        }),
      );
    }
  }

  /** Each that is not silent says how it is; some time passes. */
  async advance(ms: number): Promise<void> {
    for (let spentMs = 0; spentMs < ms; spentMs += HEARTBEAT_MS) {
      for (const members of this.#members.values()) {
        for (const name of this.names.filter((one) => !this.silent.has(one))) {
          members.recordStoreStatus(
            name,
            this.lost.has(name),
            this.clock.readMs(),
          );
        }
      }
      await this.clock.advance(HEARTBEAT_MS);
    }
  }

  list(has: (duties: Duties) => boolean): readonly string[] {
    return this.names.filter((name) =>
      !this.silent.has(name) && has(this.duties.get(name)!)
    );
  }
}

test("a few of 200 instances stand ready, the strongest", async () => {
  // All targets' keys are kept by one instance. Were it one of those with a
  // quarter of a core, it could not renew 400 ranges in time, and every key
  // would be refused; were all 200 to join the group, that alone would be 40
  // calls a second.
  const fleet = new Fleet(createInstances(200));
  await fleet.advance(2_000);
  const candidates = fleet.list((duties) => duties.isCandidate());
  assert.equal(candidates.length, 6, `${candidates}`);
  const strong = createInstances(15).map(({ instance }) => instance);
  assert.ok(candidates.every((name) => strong.includes(name)));
  const dataCentres = new Set(candidates.map((name) => name.split("-")[0]));
  assert.ok(dataCentres.size >= 3, `${candidates}`);
  assert.equal(fleet.list((duties) => duties.isReader()).length, 1);
  assert.equal(fleet.list((duties) => duties.isLocalReader()).length, 5);
});

test("candidates that the store turns away or that are lost are replaced", async () => {
  // A partial outage turns half of the candidates away, and one of the others
  // is lost. Others stand ready as soon as it is heard, and step back after.
  const fleet = new Fleet(createInstances(60));
  await fleet.advance(2_000);
  const before = fleet.list((duties) => duties.isCandidate());
  before.slice(0, 3).forEach((name) => fleet.lost.add(name));
  fleet.silent.add(before[3]!);
  await fleet.advance(SILENT_MS + HEARTBEAT_MS);
  const during = fleet.list((duties) => duties.isCandidate());
  assert.equal(during.length, 6);
  assert.ok(during.every((name) => !fleet.lost.has(name)), `${during}`);
  fleet.lost.clear();
  fleet.silent.clear();
  await fleet.advance(1_000);
  assert.deepEqual(fleet.list((duties) => duties.isCandidate()), before);
});

test("in an outage of the whole store nobody else steps in", async () => {
  // Every instance loses the store at once. Did those step in that are next,
  // all 200 would join the group when it is back, and each key's keeper change.
  const fleet = new Fleet(createInstances(200));
  await fleet.advance(2_000);
  const before = fleet.list((duties) => duties.isCandidate());
  fleet.names.forEach((name) => fleet.lost.add(name));
  await fleet.advance(3_000);
  assert.deepEqual(fleet.list((duties) => duties.isCandidate()), before);
});

test("an instance that has just started takes itself for nobody yet", async () => {
  // 200 instances start together and know nobody. None must join before it has
  // heard of the others; an instance that is alone must in the end.
  const fleet = new Fleet(createInstances(1));
  assert.equal(fleet.list((duties) => duties.isCandidate()).length, 0);
  await fleet.advance(1_500);
  assert.equal(fleet.list((duties) => duties.isCandidate()).length, 1);
});

test("what everybody is to know goes to one instance in each other place", async () => {
  const fleet = new Fleet(createInstances(50));
  await fleet.advance(2_000);
  const duties = fleet.duties.get("bole-0")!;
  const receivers = duties.listBroadcastReceivers();
  assert.equal(receivers.length, 9 + 4);
  // Nobody of a data centre is heard of: each one there is told.
  fleet.names.filter((name) => name.startsWith("yeka"))
    .forEach((name) => fleet.silent.add(name));
  await fleet.advance(SILENT_MS + HEARTBEAT_MS);
  assert.equal(duties.listBroadcastReceivers().length, 9 + 3 + 10);
});

test("an older record never replaces a newer one", () => {
  // An instance has started again and told so. The record of its earlier start
  // is read late: taken over, its keeper would count as alive for a minute.
  const [self, other] = createInstances(2);
  const members = new Members(self!);
  const { instance } = other!;
  const later = serializeMember({ ...other!, incarnation: "2" });
  members.apply(instance, later, { offset: 7, nowMs: 0 });
  const earlier = serializeMember(other!);
  assert.ok(members.apply(instance, earlier, { offset: 3, nowMs: 0 }));
  assert.ok(members.hasEnded(instance, "1"));
  assert.ok(!members.apply(instance, "{}", { offset: 9, nowMs: 0 }));
  assert.equal(members.get(instance)?.incarnation, "2");
});

test("those that follow the configuration have places of their own", async () => {
  // Reads that all end together leave none that finds a change in between.
  const fleet = new Fleet(createInstances(40));
  await fleet.advance(2_000);
  const places = fleet.names
    .map((name) => fleet.duties.get(name)!.findCandidateRank())
    .filter((place) => place !== undefined)
    .toSorted();
  assert.deepEqual(places, [0, 1, 2, 3, 4, 5]);
});
