import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeStore } from "@lentilspur/ports/fake_store";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { PartitionAssignment } from "./partition_assignment.ts";

const TOPIC = "owners";
const PARTS = 4;

/** Instances that divide the partitions of one store. */
class Group {
  readonly clock = new VirtualClock();
  readonly store = new FakeStore(this.clock, PARTS);
  readonly candidates = new Set<string>();
  readonly joins = new Map<string, number>();
  readonly #assignments = new Map<string, PartitionAssignment>();

  start(instance: string): void {
    const client = this.store.createClient(instance);
    const assignment = new PartitionAssignment({
      clock: this.clock,
      store: {
        ...client,
        join: (request) => {
          this.joins.set(instance, (this.joins.get(instance) ?? 0) + 1);
          return client.join(request);
        },
      },
      claim: { instance, incarnation: `${instance}.1` },
      topic: TOPIC,
      minMemberTtlMs: 1_000,
      isCandidate: () => this.candidates.has(instance),
      isUnfit: () => false,
      observe: () => undefined,
    });
    this.#assignments.set(instance, assignment);
    void assignment.run(new AbortController().signal);
  }

  listPartitions(instance: string): readonly number[] {
    return [...this.#assignments.get(instance)!.listAssigned().keys()];
  }
}

test("partitions are assigned to candidates only", async () => {
  // A hundred instances that only serve requests would each join twice a
  // second.
  const group = new Group();
  group.candidates.add("a").add("b");
  ["a", "b", "c"].forEach((instance) => group.start(instance));
  await group.clock.advance(5_000);
  assert.equal(
    group.listPartitions("a").length + group.listPartitions("b").length,
    PARTS,
  );
  assert.deepEqual(group.listPartitions("c"), []);
  assert.equal(group.joins.get("c"), undefined);
});

test("an instance leaves when it is no candidate any more, but not for a lost datagram", async () => {
  // A datagram is lost, and another instance becomes a candidate for a moment.
  // To leave at once and rejoin would hand over each partition twice.
  const group = new Group();
  group.candidates.add("a").add("b");
  ["a", "b"].forEach((instance) => group.start(instance));
  await group.clock.advance(5_000);
  const before = group.listPartitions("a");
  group.candidates.delete("a");
  await group.clock.advance(2_000);
  assert.deepEqual(group.listPartitions("a"), before);
  await group.clock.advance(10_000);
  assert.deepEqual(group.listPartitions("a"), []);
  assert.equal(group.listPartitions("b").length, PARTS);
});
