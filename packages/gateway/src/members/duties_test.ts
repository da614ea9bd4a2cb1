import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { Duties } from "./duties.ts";
import { createInstances, createMembers } from "./member_fixtures.ts";
import { type Member, Members, serializeMember } from "./members.ts";

const HEARTBEAT_MS = 500;
/** An instance that has been silent for this long is not alive any more. */
const SILENT_MS = 1_700;

/** Many instances, each with its own view of the others. */
class Fleet {
  readonly clock = new VirtualClock();
  readonly names: readonly string[];
  readonly duties = new Map<string, Duties>();
  readonly lost = new Set<string>();
  readonly silent = new Set<string>();
  /** Paths that each instance has lost. */
  readonly lostPaths = new Map<string, number>();
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
          countLostPaths: () => this.lostPaths.get(self.instance) ?? 0,
        }),
      );
    }
  }

  /** Each instance that is not silent sends heartbeats while time passes. */
  async advance(ms: number): Promise<void> {
    for (let spentMs = 0; spentMs < ms; spentMs += HEARTBEAT_MS) {
      for (const members of this.#members.values()) {
        for (
          const name of this.names.filter((name) => !this.silent.has(name))
        ) {
          members.recordStatus(
            name,
            {
              hasLostStore: this.lost.has(name),
              lostPaths: this.lostPaths.get(name) ?? 0,
            },
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

test("a few of 200 instances become candidates, all of them strong", async () => {
  // A single keeper of all keys that has a quarter of a core cannot renew 400
  // ranges in time, so every key is refused. If all 200 instances joined the
  // group, that alone would be 40 calls a second.
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

test("candidates that lose the store or are lost are replaced", async () => {
  // A partial outage cuts half of the candidates off the store, and another one
  // is lost. Others must replace them as soon as this is known, and step back
  // afterwards.
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

test("an outage of the whole store leaves the candidates unchanged", async () => {
  // Every instance loses the store at once. If the next in rank became
  // candidates, all 200 would join the group when the store is back, and each
  // key's keeper would change.
  const fleet = new Fleet(createInstances(200));
  await fleet.advance(2_000);
  const before = fleet.list((duties) => duties.isCandidate());
  fleet.names.forEach((name) => fleet.lost.add(name));
  await fleet.advance(3_000);
  assert.deepEqual(fleet.list((duties) => duties.isCandidate()), before);
});

test("an instance that has just started is no candidate yet", async () => {
  // 200 instances start together and know no others. None must join before it
  // learns of the others, but an instance that is alone must join in the end.
  const fleet = new Fleet(createInstances(1));
  assert.equal(fleet.list((duties) => duties.isCandidate()).length, 0);
  await fleet.advance(1_500);
  assert.equal(fleet.list((duties) => duties.isCandidate()).length, 1);
});

test("a message for all goes to one instance in each other data centre", async () => {
  const fleet = new Fleet(createInstances(50));
  await fleet.advance(2_000);
  const duties = fleet.duties.get("bole-0")!;
  const receivers = duties.listBroadcastReceivers();
  assert.equal(receivers.length, 9 + 4);
  // No instance of this data centre is alive: all there are receivers.
  fleet.names.filter((name) => name.startsWith("yeka"))
    .forEach((name) => fleet.silent.add(name));
  await fleet.advance(SILENT_MS + HEARTBEAT_MS);
  assert.equal(duties.listBroadcastReceivers().length, 9 + 3 + 10);
});

test("an older record never replaces a newer one", () => {
  // An instance has restarted and announced it, and the record of its earlier
  // incarnation is read late. If that replaced the new one, its keeper would
  // count as alive for a minute.
  const [self, other] = createInstances(2);
  const members = new Members(self!);
  const { instance } = other!;
  const later = serializeMember({ ...other!, incarnation: "2" });
  members.apply(instance, later, { offset: 7, nowMs: 0 });
  const earlier = serializeMember(other!);
  assert.ok(members.apply(instance, earlier, { offset: 3, nowMs: 0 }).ok);
  assert.ok(members.hasEnded({ instance, incarnation: "1" }));
  assert.ok(!members.apply(instance, "{}", { offset: 9, nowMs: 0 }).ok);
  assert.equal(members.get(instance)?.incarnation, "2");
});

test("each instance that follows the configuration has a rank of its own", async () => {
  // If all candidates' reads of the configuration end together, none of them
  // finds a change in between.
  const fleet = new Fleet(createInstances(40));
  await fleet.advance(2_000);
  const ranks = fleet.names
    .map((name) => fleet.duties.get(name)!.findCandidateRank())
    .filter((rank) => rank !== undefined)
    .toSorted();
  assert.deepEqual(ranks, [0, 1, 2, 3, 4, 5]);
});

test("an instance that has lost paths to targets is no candidate beside others that have not", async () => {
  const fleet = new Fleet(createInstances(12));
  await fleet.advance(SILENT_MS);
  const [first, second] = fleet.list((duties) => duties.isCandidate());
  fleet.lostPaths.set(first!, 9);
  fleet.lostPaths.set(second!, 1);
  await fleet.advance(SILENT_MS);
  const candidates = fleet.list((duties) => duties.isCandidate());
  assert.equal(candidates.includes(first!), false);
  assert.equal(candidates.includes(second!), true);
  assert.deepEqual(fleet.list((duties) => duties.isUnfit()), [first]);
});

test("the instances that reach the most targets stay candidates if all have lost paths", async () => {
  const fleet = new Fleet(createInstances(60));
  await fleet.advance(SILENT_MS);
  const before = fleet.list((duties) => duties.isHeartbeatSender());
  before.forEach((name) => fleet.lostPaths.set(name, 9));
  await fleet.advance(SILENT_MS);
  assert.notDeepEqual(fleet.list((duties) => duties.isCandidate()), []);
});
