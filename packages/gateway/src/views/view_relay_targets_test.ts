import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeStore } from "@lentilspur/ports/fake_store";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { Duties } from "../members/duties.ts";
import { KeyDirectory } from "./key_directory.ts";
import { createMember, createMembers } from "../members/member_fixtures.ts";
import type { Member, Members } from "../members/members.ts";
import { PartitionView } from "./partition_view.ts";
import type { PeerMessage } from "../peers/peer_message.ts";
import { ViewRelay } from "./view_relay.ts";

const PARTITION = { topic: "targets", part: 0 };
const GAP_MS = 750;
const VALID_MS = 1_000;
const LOCAL_VALID_MS = 900;

/** Between two datagrams by which an instance says that it is there. */
const ALIVE_EVERY_MS = 500;

/** Instances that pass on what they read; a name begins with its data centre. */
class Readers {
  readonly clock = new VirtualClock();
  readonly store = new FakeStore(this.clock);
  readonly tails = new Map<string, PartitionView>();
  readonly duties = new Map<string, Duties>();
  readonly known = new Map<string, Map<string, string>>();
  /** Reads of each instance. */
  readonly reads = new Map<string, number>();
  readonly silent = new Set<string>();
  readonly #members = new Map<string, Members>();
  readonly #relays = new Map<string, ViewRelay>();

  constructor(names: readonly string[]) {
    this.store.write(PARTITION, "a", "present");
    for (const name of names) {
      this.#start(name, names);
    }
    void this.#runHeartbeats();
  }

  /** The instance that reads for all, as all of them see it. */
  findReader(): string {
    const readers = [...this.duties]
      .filter(([, duties]) => duties.isReader())
      .map(([name]) => name);
    assert.equal(readers.length, 1, `${readers}`);
    return readers[0]!;
  }

  countReads(): number {
    return [...this.reads.values()].reduce((sum, count) => sum + count, 0);
  }

  #start(name: string, names: readonly string[]): void {
    const known = new Map<string, string>();
    this.known.set(name, known);
    const client = this.store.createClient(name);
    const self = createMember(name);
    const members = createMembers(
      self,
      names.map((one) => createMember(one)),
      this.clock.readMs(),
    );
    const duties = new Duties({
      clock: this.clock,
      self,
      members,
      hasLostStore: () => this.tails.get(name)?.hasLostStore === true,
    });
    const relay = this.#createRelay(name, members, duties);
    const tail = new PartitionView({
      clock: this.clock,
      store: {
        ...client,
        read: (request) => {
          this.reads.set(name, (this.reads.get(name) ?? 0) + 1);
          return client.read(request);
        },
      },
      partition: PARTITION,
      getPollingPolicy: () => ({
        pollDelayMs: GAP_MS,
        waitMs: 0,
        peerDataTtlMs: duties.isReader()
          ? 0
          : duties.isLocalReader()
          ? LOCAL_VALID_MS
          : VALID_MS,
        maxBackoffMs: 400,
      }),
      apply: ({ key, value }) => known.set(key, value),
      observe: () => undefined,
      onRead: (slice) =>
        relay.sendTargets(
          slice,
          ({ key, value }) => known.get(key) !== value,
        ),
    });
    this.tails.set(name, tail);
    this.duties.set(name, duties);
    this.#members.set(name, members);
    this.#relays.set(name, relay);
    void tail.run(new AbortController().signal);
  }

  #createRelay(name: string, members: Members, duties: Duties): ViewRelay {
    const { instance } = createMember(name);
    return new ViewRelay({
      clock: this.clock,
      instance,
      directory: new KeyDirectory(),
      duties,
      findMember: (other) => members.get(other),
      getTargetsView: () => this.tails.get(name)!,
      getConfigurationView: () => this.tails.get(name)!,
      getOwnersView: () => undefined,
      fetchTable: () => undefined,
      send: (to, message) => this.#transfer(name, to, message),
    });
  }

  async #runHeartbeats(): Promise<void> {
    for (;;) {
      for (const [name, members] of this.#members) {
        for (const other of this.tails.keys()) {
          if (other !== name && !this.silent.has(other)) {
            const hasLost = this.tails.get(other)!.hasLostStore;
            members.recordStoreStatus(other, hasLost, this.clock.readMs());
          }
        }
      }
      await this.clock.sleep(ALIVE_EVERY_MS);
    }
  }

  #transfer(
    from: string,
    to: readonly Member[],
    message: PeerMessage,
  ): boolean {
    if (message.kind === "targets" && !this.silent.has(from)) {
      to.forEach(({ instance }) =>
        this.#relays.get(instance)!.applyTargets(message)
      );
    }
    return true;
  }
}

test("one instance of a data centre reads for all of them", async () => {
  const names = ["one", "two", "three"];
  const readers = new Readers(names);
  await readers.clock.advance(5_000);
  const reader = readers.findReader();
  readers.store.write(PARTITION, "a", "leaving");
  readers.store.write(PARTITION, "b", "present");
  await readers.clock.advance(GAP_MS + 50);
  for (const [name, known] of readers.known) {
    assert.deepEqual([...known], [["a", "leaving"], ["b", "present"]], name);
  }
  await readers.clock.advance(15_000);
  const own = readers.reads.get(reader)!;
  assert.ok(own > 20, `${own}`);
  assert.ok(readers.countReads() - own <= 4, `${[...readers.reads]}`);
});

/** Sixteen instances in four data centres. */
const MANY = ["bole", "kirkos", "yeka", "lideta"]
  .flatMap((dataCentre) => [1, 2, 3, 4].map((one) => `${dataCentre}-${one}`));

test("one instance reads for those of all data centres", async () => {
  // Every target writes its entry each second. With a reader in each data
  // centre the same bytes are asked for once for each of them; here one asks,
  // and a change has reached everybody before the next read.
  const readers = new Readers(MANY);
  await readers.clock.advance(5_000);
  const reader = readers.findReader();
  readers.store.write(PARTITION, "b", "present");
  await readers.clock.advance(GAP_MS + 50);
  for (const [name, known] of readers.known) {
    assert.equal(known.get("b"), "present", name);
  }
  const before = readers.countReads() - readers.reads.get(reader)!;
  await readers.clock.advance(30_000);
  const after = readers.countReads() - readers.reads.get(reader)!;
  assert.equal(after - before, 0, `${[...readers.reads]}`);
});

test("a reader that loses the store is replaced, and says so", async () => {
  // The store turns away just the instance that reads for all. It goes on
  // telling that it is there; without word of the store everybody would read
  // for itself from then on, 16 times as many calls.
  const readers = new Readers(MANY);
  await readers.clock.advance(5_000);
  const reader = readers.findReader();
  readers.store.setFaultMode(reader, "refusing");
  await readers.clock.advance(3_000);
  assert.notEqual(readers.findReader(), reader);
  const before = readers.countReads();
  await readers.clock.advance(15_000);
  const perSecond = (readers.countReads() - before) / 15;
  assert.ok(perSecond < 6, `${perSecond} a second`);
});

test("where a data centre's reader falls silent a change is seen in time", async () => {
  // The instance that passes entries on in Yeka is lost, and a target leaves.
  // The others there must see it within 2 s, or they send to a target that ends.
  const readers = new Readers(MANY);
  await readers.clock.advance(5_000);
  const local =
    [...readers.duties].find(([name, duties]) =>
      name !== readers.findReader() && duties.isLocalReader()
    )![0];
  readers.silent.add(local);
  readers.store.setFaultMode(local, "silent");
  readers.store.write(PARTITION, "a", "leaving");
  await readers.clock.advance(VALID_MS + 100);
  for (const [name, known] of readers.known) {
    assert.ok(name === local || known.get("a") === "leaving", name);
  }
});

test("many entries that change at once come in datagrams", async () => {
  // A third of 180 targets leaves at one moment. Told to read them instead, all
  // instances would call the store together.
  const readers = new Readers(MANY);
  await readers.clock.advance(5_000);
  const reader = readers.findReader();
  const before = readers.countReads() - readers.reads.get(reader)!;
  for (let index = 0; index < 60; index++) {
    readers.store.write(PARTITION, `target-${index}`, "x".repeat(400));
  }
  await readers.clock.advance(GAP_MS + 50);
  for (const [name, known] of readers.known) {
    assert.equal(known.size, 61, name);
  }
  assert.equal(readers.countReads() - readers.reads.get(reader)!, before);
});

test("an instance that reads for others and falls silent is replaced", async () => {
  // The reader is frozen or lost while a target leaves. The others must see it
  // well within 2 s all the same, or they send to a target that ends.
  const readers = new Readers(["one", "two", "three"]);
  await readers.clock.advance(5_000);
  const reader = readers.findReader();
  readers.silent.add(reader);
  readers.store.setFaultMode(reader, "silent");
  readers.store.write(PARTITION, "a", "leaving");
  await readers.clock.advance(VALID_MS + 100);
  for (const [name, known] of readers.known) {
    assert.ok(name === reader || known.get("a") === "leaving", name);
  }
});

test("what was missed is read, never skipped", async () => {
  // One datagram with a leaving target is lost. The next one says that it goes
  // on from further than this instance has got to.
  const readers = new Readers(["one", "two"]);
  await readers.clock.advance(5_000);
  const reader = readers.findReader();
  const listener = reader === "one" ? "two" : "one";
  const tail = readers.tails.get(listener)!;
  const { end } = tail;
  readers.store.write(PARTITION, "a", "leaving");
  tail.applyBatch({
    base: end + 1,
    end: end + 1,
    ageMs: 0,
    sinceOutageMs: null,
    records: [],
  });
  assert.equal(tail.end, end);
  await readers.clock.advance(100);
  assert.equal(readers.known.get(listener)!.get("a"), "leaving");
});

test("what is older than what is known changes nothing", async () => {
  // A reader wakes from a freeze and passes on what it had read before it.
  const readers = new Readers(["one", "two"]);
  await readers.clock.advance(1_000);
  readers.store.write(PARTITION, "a", "leaving");
  await readers.clock.advance(2_000);
  const tail = readers.tails.get("two")!;
  const { end } = tail;
  tail.applyBatch({
    base: 0,
    end: end - 1,
    ageMs: 0,
    sinceOutageMs: null,
    records: [{ offset: 0, key: "a", value: "present" }],
  });
  assert.equal(tail.end, end);
  assert.equal(readers.known.get("two")!.get("a"), "leaving");
});
