import assert from "node:assert/strict";
import { test } from "node:test";
import {
  applyReassignments,
  applyTablePatch,
  type Assignee,
  createTable,
  diffTables,
  type KeyTable,
  serializeTable,
  settleRanges,
} from "@lentilspur/ownership/key_table";
import type { Partition, StoreRecord } from "@lentilspur/ports/store";
import { FakeStore } from "@lentilspur/ports/fake_store";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { Duties } from "./duties.ts";
import { KeyDirectory } from "./key_directory.ts";
import { type Member, Members, serializeMember } from "./members.ts";
import { PartitionTail } from "./partition_tail.ts";
import type { PeerMessage } from "./peer_message.ts";
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
  readonly tails = new Map<string, PartitionTail>();
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
    const members = createMembers(name, names, this.clock.readMs());
    const duties = new Duties({
      clock: this.clock,
      self,
      members,
      hasLostStore: () => this.tails.get(name)?.isLost === true,
    });
    const relay = this.#createRelay(name, members, duties);
    const tail = new PartitionTail({
      clock: this.clock,
      store: {
        ...client,
        read: (request) => {
          this.reads.set(name, (this.reads.get(name) ?? 0) + 1);
          return client.read(request);
        },
      },
      partition: PARTITION,
      getPace: () => ({
        gapMs: GAP_MS,
        waitMs: 0,
        validMs: duties.isReader()
          ? 0
          : duties.isLocalReader()
          ? LOCAL_VALID_MS
          : VALID_MS,
        maxPauseMs: 400,
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
    const { instance, dataCentre } = createMember(name);
    return new ViewRelay({
      instance,
      dataCentre,
      directory: new KeyDirectory(),
      duties,
      findMember: (other) => members.get(other),
      getTargetsTail: () => this.tails.get(name)!,
      getOwnersTail: () => undefined,
      send: (member, message) => this.#transfer(name, member, message),
    });
  }

  async #runHeartbeats(): Promise<void> {
    for (;;) {
      for (const [name, members] of this.#members) {
        for (const other of this.tails.keys()) {
          if (other !== name && !this.silent.has(other)) {
            const hasLost = this.tails.get(other)!.isLost;
            members.recordStore(other, hasLost, this.clock.readMs());
          }
        }
      }
      await this.clock.sleep(ALIVE_EVERY_MS);
    }
  }

  #transfer(from: string, to: Member, message: PeerMessage): boolean {
    if (message.kind === "targets" && !this.silent.has(from)) {
      this.#relays.get(to.instance)!.applyTargets(message);
    }
    return true;
  }
}

/** `bole-3` is the third in Bole; a name without a number stands in Bole. */
function createMember(instance: string): Member {
  return {
    instance,
    incarnation: "1",
    dataCentre: instance.includes("-") ? instance.split("-")[0]! : "bole",
    host: instance,
    port: 1,
    statusPort: 2,
    cores: 1,
  };
}

function createMembers(
  self: string,
  names: readonly string[],
  nowMs: number,
): Members {
  const members = new Members(createMember(self));
  for (const [offset, name] of names.entries()) {
    members.apply(name, serializeMember(createMember(name)), { offset, nowMs });
  }
  return members;
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
  readers.store.setMood(reader, "refusing");
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
  readers.store.setMood(local, "silent");
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
  readers.store.setMood(reader, "silent");
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
  tail.applySlice({
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
  tail.applySlice({
    base: 0,
    end: end - 1,
    ageMs: 0,
    sinceOutageMs: null,
    records: [{ offset: 0, key: "a", value: "present" }],
  });
  assert.equal(tail.end, end);
  assert.equal(readers.known.get("two")!.get("a"), "leaving");
});

/** The relay of one of two instances. */
function createRelay({ clock, directory, getTail, send }: {
  readonly clock: VirtualClock;
  readonly directory: KeyDirectory;
  readonly getTail: () => PartitionTail | undefined;
  readonly send: (message: PeerMessage) => boolean;
}): ViewRelay {
  const members = createMembers("one", ["one", "two"], clock.readMs());
  const self = createMember("one");
  return new ViewRelay({
    instance: "one",
    dataCentre: "bole",
    directory,
    duties: new Duties({ clock, self, members, hasLostStore: () => false }),
    findMember: (name) => members.get(name),
    getTargetsTail: () => getTail()!,
    getOwnersTail: getTail,
    send: (_member, message) => send(message),
  });
}

/** A tail that goes by what it is told for a minute. */
function createOwnersTail({ clock, store, partition, apply }: {
  readonly clock: VirtualClock;
  readonly store: FakeStore;
  readonly partition: Partition;
  readonly apply: (record: StoreRecord) => void;
}): PartitionTail {
  return new PartitionTail({
    clock,
    store: store.createClient("two"),
    partition,
    getPace: () => ({
      gapMs: 100,
      waitMs: 0,
      validMs: 60_000,
      maxPauseMs: 400,
    }),
    apply,
    observe: () => undefined,
  });
}

/** Ids and addresses as long as real ones. */
function createOwners(count: number): readonly Assignee[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `i-${(index * 7_919_777).toString(16).padStart(10, "0")}`,
    address: `10.3.64.${index}:8422`,
  }));
}

test("a keeper's table reaches the others by what differs from the last", async () => {
  // Ten ranges move at once. The others route by the new owners without a call
  // to the store; one that missed the table before reads instead of guessing.
  const clock = new VirtualClock();
  const store = new FakeStore(clock);
  const directory = new KeyDirectory();
  const sent: PeerMessage[] = [];
  const partition = { topic: "owners", part: 3 };
  const tails: PartitionTail[] = [];
  const relay = createRelay({
    clock,
    directory,
    getTail: () => tails[0],
    send: (message) => {
      const isShort = JSON.stringify(message).length <= 1_400;
      if (isShort) {
        sent.push(message);
      }
      return isShort;
    },
  });
  const owners = createOwners(25);
  const before = createTable(owners, 5);
  const changes = Array.from({ length: 10 }, (_, index) => ({
    from: index * 6_000,
    to: index * 6_000 + 40,
    owner: owners[(index * 11 + 3) % 25]!,
  }));
  const after = applyReassignments(before, changes, 9);
  relay.sendTable({ part: 3, service: "files", offset: 1, before, after });
  const [message] = sent;
  assert.ok(message?.kind === "owners" && message.text !== "");

  store.write(partition, "table/files", serializeTable(before));
  const applied: StoreRecord[] = [];
  const tail = createOwnersTail({
    clock,
    store,
    partition,
    apply: (record) => {
      applied.push(record);
      const { offset, value } = record;
      directory.applyTable("files", value, { offset, nowMs: clock.readMs() });
    },
  });
  tails.push(tail);
  relay.applyTable(message);
  assert.equal(applied.length, 0, "nothing counts before the first read");
  void tail.run(new AbortController().signal);
  await clock.advance(1_000);
  relay.applyTable(message);
  assert.deepEqual(directory.getTable("files"), after);
  assert.equal(tail.end, 2);

  store.write(partition, "table/files", serializeTable(after));
  store.write(partition, "table/files", serializeTable(before));
  relay.applyTable({ ...message, offset: 5, since: 4 });
  assert.deepEqual(directory.getTable("files"), after, "it is not guessed");
  await clock.advance(200);
  assert.deepEqual(directory.getTable("files"), before, "it is read");
});

test("records between two tables that are for successors only are not read", async () => {
  // A keeper names its witnesses anew when an instance starts. With 200 of them
  // each such record was read by all: 700 calls in the first 8 s.
  const clock = new VirtualClock();
  const store = new FakeStore(clock);
  const directory = new KeyDirectory();
  const sent: PeerMessage[] = [];
  const partition = { topic: "owners", part: 3 };
  const owners = createOwners(6);
  const first = createTable(owners, 1);
  const change = { from: 0, to: 99, owner: owners[5]! };
  const second = applyReassignments(first, [change], 3);
  store.write(partition, "keeper", "{}");
  store.write(partition, "table/files", serializeTable(first));
  let reads = 0;
  const tail = createOwnersTail({
    clock,
    store,
    partition,
    apply: ({ offset, key, value }) => {
      if (key === "table/files") {
        directory.applyTable("files", value, { offset, nowMs: clock.readMs() });
      } else {
        reads++;
      }
    },
  });
  const relay = createRelay({
    clock,
    directory,
    getTail: () => tail,
    send: (message) => {
      sent.push(message);
      return true;
    },
  });
  void tail.run(new AbortController().signal);
  await clock.advance(1_000);
  relay.sendClaim(3, 0);
  relay.sendTable({
    part: 3,
    service: "files",
    offset: 1,
    before: undefined,
    after: first,
  });
  store.write(partition, "witnesses", "[]");
  reads = 0;
  relay.sendTable({
    part: 3,
    service: "files",
    offset: 3,
    before: first,
    after: second,
  });
  assert.equal(relay.getTableEnd(3), 4);
  const message = sent.at(-1)!;
  assert.ok(message.kind === "owners");
  relay.applyTable(message);
  assert.deepEqual(directory.getTable("files"), second);
  assert.equal(tail.end, 4);
  await clock.advance(1_000);
  assert.equal(reads, 0);

  // A table at 4 was written whose answer was lost: nobody was told of it.
  relay.recordResolved(3, 5);
  relay.sendTable({
    part: 3,
    service: "files",
    offset: 5,
    before: first,
    after: second,
  });
  const next = sent.at(-1)!;
  assert.ok(next.kind === "owners" && next.since === 5);
});

test("a difference too long for a datagram comes in pieces, in any order", async () => {
  // A plan moves keys of 150 targets at once. Told to read the table instead,
  // 58 instances would read it at the same moment, several times a second.
  const clock = new VirtualClock();
  const store = new FakeStore(clock);
  const directory = new KeyDirectory();
  const sent: PeerMessage[] = [];
  const partition = { topic: "owners", part: 0 };
  const owners = createOwners(150);
  const before = createTable(owners, 1);
  const changes = owners.map((_, index) => ({
    from: index * 400,
    to: index * 400 + 30,
    owner: owners[(index * 11 + 3) % 150]!,
  }));
  const after = applyReassignments(before, changes, 1);
  store.write(partition, "table/files", serializeTable(before));
  const tail = createOwnersTail({
    clock,
    store,
    partition,
    apply: ({ offset, value }) => {
      directory.applyTable("files", value, { offset, nowMs: clock.readMs() });
    },
  });
  const relay = createRelay({
    clock,
    directory,
    getTail: () => tail,
    send: (message) => {
      assert.ok(JSON.stringify(message).length <= 1_400);
      sent.push(message);
      return true;
    },
  });
  void tail.run(new AbortController().signal);
  await clock.advance(1_000);
  relay.sendTable({ part: 0, service: "files", offset: 1, before, after });
  assert.ok(sent.length > 1);
  for (const message of sent.toReversed()) {
    assert.ok(message.kind === "owners");
    assert.deepEqual(directory.getTable("files"), before, "not yet whole");
    relay.applyTable(message);
  }
  assert.deepEqual(directory.getTable("files"), after);
});

test("a table and its difference give the later table", () => {
  const owners = ["a", "b", "c"].map((id) => ({ id, address: `${id}:1` }));
  let table: KeyTable = createTable(owners, 1);
  for (let token = 2; token < 60; token++) {
    const from = token * 1_009 % 60_000;
    const change = { from, to: from + 400, owner: owners[token % 3]! };
    const next = token % 4 === 0
      ? settleRanges(table, () => true)
      : applyReassignments(table, [change], token);
    assert.deepEqual(applyTablePatch(table, diffTables(table, next)), next);
    table = next;
  }
});
