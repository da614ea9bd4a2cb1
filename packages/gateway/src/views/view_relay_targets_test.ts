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
const POLL_DELAY_MS = 750;
const PEER_DATA_TTL_MS = 1_000;
const LOCAL_READER_TTL_MS = 900;

/** Interval between two heartbeat datagrams of an instance. */
const HEARTBEAT_INTERVAL_MS = 500;

/**
 * Simulates instances that pass on what they read; the prefix of an instance's
 * name is its data centre.
 */
class ReaderSimulation {
  readonly clock = new VirtualClock();
  readonly store = new FakeStore(this.clock);
  readonly views = new Map<string, PartitionView>();
  readonly duties = new Map<string, Duties>();
  readonly known = new Map<string, Map<string, string>>();
  /** Number of reads by instance. */
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

  /**
   * Finds the instance that reads for all, and asserts that there is exactly
   * one.
   */
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
      hasLostStore: () => this.views.get(name)?.hasLostStore === true,
      countLostPaths: () => 0,
    });
    const relay = this.#createRelay(name, members, duties);
    const view = new PartitionView({
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
        pollDelayMs: POLL_DELAY_MS,
        waitMs: 0,
        peerDataTtlMs: duties.isReader()
          ? 0
          : duties.isLocalReader()
          ? LOCAL_READER_TTL_MS
          : PEER_DATA_TTL_MS,
        maxBackoffMs: 400,
      }),
      apply: ({ key, value }) => known.set(key, value),
      observe: () => undefined,
      onRead: (batch) =>
        relay.sendTargets(
          batch,
          ({ key, value }) => known.get(key) !== value,
          () => true,
        ),
    });
    this.views.set(name, view);
    this.duties.set(name, duties);
    this.#members.set(name, members);
    this.#relays.set(name, relay);
    void view.run(new AbortController().signal);
  }

  #createRelay(name: string, members: Members, duties: Duties): ViewRelay {
    const { instance } = createMember(name);
    return new ViewRelay({
      clock: this.clock,
      instance,
      directory: new KeyDirectory(),
      duties,
      findMember: (other) => members.get(other),
      getTargetsView: () => this.views.get(name)!,
      getConfigurationView: () => this.views.get(name)!,
      getOwnersView: () => undefined,
      fetchTable: () => undefined,
      send: (to, message) => this.#transfer(name, to, message),
    });
  }

  async #runHeartbeats(): Promise<void> {
    for (;;) {
      for (const [name, members] of this.#members) {
        for (const other of this.views.keys()) {
          if (other !== name && !this.silent.has(other)) {
            const hasLost = this.views.get(other)!.hasLostStore;
            members.recordStatus(
              other,
              { hasLostStore: hasLost },
              this.clock.readMs(),
            );
          }
        }
      }
      await this.clock.sleep(HEARTBEAT_INTERVAL_MS);
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

test("one instance of a data centre reads for all instances there", async () => {
  const names = ["one", "two", "three"];
  const simulation = new ReaderSimulation(names);
  await simulation.clock.advance(5_000);
  const reader = simulation.findReader();
  simulation.store.write(PARTITION, "a", "leaving");
  simulation.store.write(PARTITION, "b", "present");
  await simulation.clock.advance(POLL_DELAY_MS + 50);
  for (const [name, known] of simulation.known) {
    assert.deepEqual([...known], [["a", "leaving"], ["b", "present"]], name);
  }
  await simulation.clock.advance(15_000);
  const own = simulation.reads.get(reader)!;
  assert.ok(own > 20, `${own}`);
  assert.ok(simulation.countReads() - own <= 4, `${[...simulation.reads]}`);
});

/** Sixteen instances in four data centres. */
const MANY = ["bole", "kirkos", "yeka", "lideta"]
  .flatMap((dataCentre) => [1, 2, 3, 4].map((one) => `${dataCentre}-${one}`));

test("one instance reads for the instances of all data centres", async () => {
  // Each target writes its entry every second. If one instance in each data
  // centre read them, the store would send the same bytes to each data centre.
  // With a single reader, all instances have a change before its next read.
  const simulation = new ReaderSimulation(MANY);
  await simulation.clock.advance(5_000);
  const reader = simulation.findReader();
  simulation.store.write(PARTITION, "b", "present");
  await simulation.clock.advance(POLL_DELAY_MS + 50);
  for (const [name, known] of simulation.known) {
    assert.equal(known.get("b"), "present", name);
  }
  const before = simulation.countReads() - simulation.reads.get(reader)!;
  await simulation.clock.advance(30_000);
  const after = simulation.countReads() - simulation.reads.get(reader)!;
  assert.equal(after - before, 0, `${[...simulation.reads]}`);
});

test("a reader that loses the store reports this and is replaced", async () => {
  // The store refuses calls only from the reader, which keeps sending
  // heartbeats. If they did not report the lost store, every instance would
  // read for itself: 16 times as many calls.
  const simulation = new ReaderSimulation(MANY);
  await simulation.clock.advance(5_000);
  const reader = simulation.findReader();
  simulation.store.setFaultMode(reader, "refusing");
  await simulation.clock.advance(3_000);
  assert.notEqual(simulation.findReader(), reader);
  const before = simulation.countReads();
  await simulation.clock.advance(15_000);
  const perSecond = (simulation.countReads() - before) / 15;
  assert.ok(perSecond < 6, `${perSecond} a second`);
});

test("a change is seen in time when a data centre's local reader falls silent", async () => {
  // The instance that forwards entries within a data centre is lost while a
  // target leaves. The other instances there must see the change within 2 s, or
  // they send requests to a target that is shutting down.
  const simulation = new ReaderSimulation(MANY);
  await simulation.clock.advance(5_000);
  const local =
    [...simulation.duties].find(([name, duties]) =>
      name !== simulation.findReader() && duties.isLocalReader()
    )![0];
  simulation.silent.add(local);
  simulation.store.setFaultMode(local, "silent");
  simulation.store.write(PARTITION, "a", "leaving");
  await simulation.clock.advance(PEER_DATA_TTL_MS + 100);
  for (const [name, known] of simulation.known) {
    assert.ok(name === local || known.get("a") === "leaving", name);
  }
});

test("many entries that change at once arrive in datagrams", async () => {
  // A third of 180 targets leaves at the same moment. If the instances had to
  // read the entries themselves, they would all call the store at once.
  const simulation = new ReaderSimulation(MANY);
  await simulation.clock.advance(5_000);
  const reader = simulation.findReader();
  const before = simulation.countReads() - simulation.reads.get(reader)!;
  for (let index = 0; index < 60; index++) {
    simulation.store.write(PARTITION, `target-${index}`, "x".repeat(400));
  }
  await simulation.clock.advance(POLL_DELAY_MS + 50);
  for (const [name, known] of simulation.known) {
    assert.equal(known.size, 61, name);
  }
  assert.equal(simulation.countReads() - simulation.reads.get(reader)!, before);
});

test("an instance that reads for others and falls silent is replaced", async () => {
  // The reader freezes or is lost while a target leaves. The other instances
  // must see the change well within 2 s, or they send requests to a target that
  // is shutting down.
  const simulation = new ReaderSimulation(["one", "two", "three"]);
  await simulation.clock.advance(5_000);
  const reader = simulation.findReader();
  simulation.silent.add(reader);
  simulation.store.setFaultMode(reader, "silent");
  simulation.store.write(PARTITION, "a", "leaving");
  await simulation.clock.advance(PEER_DATA_TTL_MS + 100);
  for (const [name, known] of simulation.known) {
    assert.ok(name === reader || known.get("a") === "leaving", name);
  }
});

test("missed records are read from the store, never skipped", async () => {
  // The datagram that reports a leaving target is lost. The next datagram
  // starts at an offset beyond the end of this instance's view.
  const simulation = new ReaderSimulation(["one", "two"]);
  await simulation.clock.advance(5_000);
  const reader = simulation.findReader();
  const receiver = reader === "one" ? "two" : "one";
  const view = simulation.views.get(receiver)!;
  const { end } = view;
  simulation.store.write(PARTITION, "a", "leaving");
  view.applyBatch({
    base: end + 1,
    end: end + 1,
    ageMs: 0,
    sinceOutageMs: null,
    records: [],
  });
  assert.equal(view.end, end);
  await simulation.clock.advance(100);
  assert.equal(simulation.known.get(receiver)!.get("a"), "leaving");
});

test("records older than the known state are ignored", async () => {
  // A reader resumes after a freeze and passes on records that it read before
  // the freeze.
  const simulation = new ReaderSimulation(["one", "two"]);
  await simulation.clock.advance(1_000);
  simulation.store.write(PARTITION, "a", "leaving");
  await simulation.clock.advance(2_000);
  const view = simulation.views.get("two")!;
  const { end } = view;
  view.applyBatch({
    base: 0,
    end: end - 1,
    ageMs: 0,
    sinceOutageMs: null,
    records: [{ offset: 0, key: "a", value: "present" }],
  });
  assert.equal(view.end, end);
  assert.equal(simulation.known.get("two")!.get("a"), "leaving");
});
