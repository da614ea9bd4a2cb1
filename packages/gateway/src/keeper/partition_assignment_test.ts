import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeStore } from "@lentilspur/ports/fake_store";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { PartitionAssignment } from "./partition_assignment.ts";

const TOPIC = "owners";
const PARTS = 4;

/** Instances that share the partitions of one store. */
class Group {
  readonly clock = new VirtualClock();
  readonly store = new FakeStore(this.clock, PARTS);
  readonly candidates = new Set<string>();
  readonly joins = new Map<string, number>();
  readonly #shares = new Map<string, PartitionAssignment>();

  start(instance: string): void {
    const client = this.store.createClient(instance);
    const share = new PartitionAssignment({
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
      observe: () => undefined,
    });
    this.#shares.set(instance, share);
    void share.run(new AbortController().signal);
  }

  listParts(instance: string): readonly number[] {
    return [...this.#shares.get(instance)!.listAssigned().keys()];
  }
}

test("partitions fall to those that stand ready, and to nobody else", async () => {
  // A hundred instances that only serve requests would join twice a second each.
  const group = new Group();
  group.candidates.add("a").add("b");
  ["a", "b", "c"].forEach((instance) => group.start(instance));
  await group.clock.advance(5_000);
  assert.equal(
    group.listParts("a").length + group.listParts("b").length,
    PARTS,
  );
  assert.deepEqual(group.listParts("c"), []);
  assert.equal(group.joins.get("c"), undefined);
});

test("one that stands ready no more leaves, but not for a lost datagram", async () => {
  // A datagram is lost, and for a moment another instance takes its place. To
  // leave at once and join again would hand each partition over twice.
  const group = new Group();
  group.candidates.add("a").add("b");
  ["a", "b"].forEach((instance) => group.start(instance));
  await group.clock.advance(5_000);
  const before = group.listParts("a");
  group.candidates.delete("a");
  await group.clock.advance(2_000);
  assert.deepEqual(group.listParts("a"), before);
  await group.clock.advance(10_000);
  assert.deepEqual(group.listParts("a"), []);
  assert.equal(group.listParts("b").length, PARTS);
});
