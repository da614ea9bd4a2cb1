import assert from "node:assert/strict";
import { test } from "node:test";
import {
  applyReassignments,
  applyTablePatch,
  type Assignee,
  createKeyTable,
  diffTables,
  type KeyTable,
  serializeTable,
  settleRanges,
} from "@lentilspur/ownership/key_table";
import type { Partition, StoreRecord } from "@lentilspur/ports/store";
import { FakeStore } from "@lentilspur/ports/fake_store";
import { SeededRandom } from "@lentilspur/ports/seeded_random";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { Duties } from "../members/duties.ts";
import { KeyDirectory } from "./key_directory.ts";
import { createMember, createMembers } from "../members/member_fixtures.ts";
import { PartitionView } from "./partition_view.ts";
import type { PeerMessage } from "../peers/peer_message.ts";
import { ViewRelay } from "./view_relay.ts";

/** Creates the relay of one of two instances. */
function createRelay({ clock, directory, getView, send }: {
  readonly clock: VirtualClock;
  readonly directory: KeyDirectory;
  readonly getView: () => PartitionView | undefined;
  readonly send: (message: PeerMessage) => boolean;
}): ViewRelay {
  const self = createMember("one", { cores: 2 });
  const all = [self, createMember("two")];
  const members = createMembers(self, all, clock.readMs());
  return new ViewRelay({
    clock,
    instance: "one",
    directory,
    duties: new Duties({
      clock,
      self,
      members,
      hasLostStore: () => false,
      countLostPaths: () => 0,
    }),
    findMember: (name) => members.get(name),
    getTargetsView: () => getView()!,
    getConfigurationView: () => getView()!,
    fetchTable: () => getView()!.scheduleRead(),
    getOwnersView: getView,
    // With no receivers nothing is sent.
    send: (to, message) => to.length === 0 || send(message),
  });
}

/** Creates a view that relies on its peers for a minute between reads. */
function createView({ clock, store, partition, apply }: {
  readonly clock: VirtualClock;
  readonly store: FakeStore;
  readonly partition: Partition;
  readonly apply: (record: StoreRecord) => void;
}): PartitionView {
  return new PartitionView({
    clock,
    store: store.createClient("two"),
    partition,
    getPollingPolicy: () => ({
      pollDelayMs: 100,
      waitMs: 0,
      peerDataTtlMs: 60_000,
      maxBackoffMs: 400,
    }),
    apply,
    observe: () => undefined,
  });
}

/** Creates owners with ids and addresses as long as real ones. */
function createOwners(count: number): readonly Assignee[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `i-${(index * 7_919_777).toString(16).padStart(10, "0")}`,
    address: `10.3.64.${index}:8422`,
  }));
}

test("a keeper sends its peers the difference to the previous table", async () => {
  // Ten ranges move at once. The other instances route to the new owners
  // without a read; an instance that missed the previous table reads the store.
  const clock = new VirtualClock();
  const store = new FakeStore(clock);
  const directory = new KeyDirectory();
  const sent: PeerMessage[] = [];
  const partition = { topic: "owners", part: 3 };
  const views: PartitionView[] = [];
  const relay = createRelay({
    clock,
    directory,
    getView: () => views[0],
    send: (message) => {
      const isShort = JSON.stringify(message).length <= 1_400;
      if (isShort) {
        sent.push(message);
      }
      return isShort;
    },
  });
  const owners = createOwners(25);
  const before = createKeyTable(owners, 5);
  const changes = Array.from({ length: 10 }, (_, index) => ({
    from: index * 6_000,
    to: index * 6_000 + 40,
    owner: owners[(index * 11 + 3) % 25]!,
  }));
  const after = applyReassignments(before, changes, 9);
  relay.sendTableDiff({ part: 3, service: "files", offset: 1, before, after });
  const [message] = sent;
  assert.ok(message?.kind === "owners" && message.text !== "");

  store.write(partition, "table/files", serializeTable(before));
  const applied: StoreRecord[] = [];
  const view = createView({
    clock,
    store,
    partition,
    apply: (record) => {
      applied.push(record);
      const { offset, value } = record;
      directory.applyTable("files", value, { offset, nowMs: clock.readMs() });
    },
  });
  views.push(view);
  relay.applyTableDiff(message);
  assert.equal(
    applied.length,
    0,
    "differences are ignored before the first read",
  );
  void view.run(new AbortController().signal);
  await clock.advance(1_000);
  relay.applyTableDiff(message);
  assert.deepEqual(directory.getTable("files"), after);
  assert.equal(view.end, 2);

  const latest = applyReassignments(after, changes.slice(0, 1), 12);
  store.write(partition, "table/files", serializeTable(after));
  store.write(partition, "table/files", serializeTable(latest));
  relay.applyTableDiff({ ...message, offset: 5, since: 4 });
  assert.deepEqual(
    directory.getTable("files"),
    after,
    "a difference to a missed table is not applied",
  );
  await clock.advance(200);
  assert.deepEqual(
    directory.getTable("files"),
    latest,
    "the table is read from the store",
  );
});

test("records between two tables that only successors need are not read", async () => {
  // A keeper writes a new list of witnesses when an instance starts. With 200
  // instances, each such record was read by all: 700 calls in the first 8 s.
  const clock = new VirtualClock();
  const store = new FakeStore(clock);
  const directory = new KeyDirectory();
  const sent: PeerMessage[] = [];
  const partition = { topic: "owners", part: 3 };
  const owners = createOwners(6);
  const first = createKeyTable(owners, 1);
  const change = { from: 0, to: 99, owner: owners[5]! };
  const second = applyReassignments(first, [change], 3);
  store.write(partition, "keeper", "{}");
  store.write(partition, "table/files", serializeTable(first));
  let otherRecords = 0;
  const view = createView({
    clock,
    store,
    partition,
    apply: ({ offset, key, value }) => {
      if (key === "table/files") {
        directory.applyTable("files", value, { offset, nowMs: clock.readMs() });
      } else {
        otherRecords++;
      }
    },
  });
  const relay = createRelay({
    clock,
    directory,
    getView: () => view,
    send: (message) => {
      sent.push(message);
      return true;
    },
  });
  void view.run(new AbortController().signal);
  await clock.advance(1_000);
  relay.sendClaim(3, 0);
  relay.sendTableDiff({
    part: 3,
    service: "files",
    offset: 1,
    before: undefined,
    after: first,
  });
  store.write(partition, "witnesses", "[]");
  otherRecords = 0;
  relay.sendTableDiff({
    part: 3,
    service: "files",
    offset: 3,
    before: first,
    after: second,
  });
  assert.equal(relay.getTableEnd(3), 4);
  const message = sent.at(-1)!;
  assert.ok(message.kind === "owners");
  relay.applyTableDiff(message);
  assert.deepEqual(directory.getTable("files"), second);
  assert.equal(view.end, 4);
  await clock.advance(1_000);
  assert.equal(otherRecords, 0);

  // The table at offset 4 was written, but the response to its append was lost,
  // so it was never announced.
  relay.recordTableEnd(3, 5);
  relay.sendTableDiff({
    part: 3,
    service: "files",
    offset: 5,
    before: first,
    after: second,
  });
  const next = sent.at(-1)!;
  assert.ok(next.kind === "owners" && next.since === 5);
});

test("a difference too long for one datagram arrives in fragments in any order", async () => {
  // A plan moves keys of 150 targets at once. If the instances had to read the
  // table instead, 58 of them would read it at the same moment, several times a
  // second.
  const clock = new VirtualClock();
  const store = new FakeStore(clock);
  const directory = new KeyDirectory();
  const sent: PeerMessage[] = [];
  const partition = { topic: "owners", part: 0 };
  const owners = createOwners(150);
  const before = createKeyTable(owners, 1);
  const changes = owners.map((_, index) => ({
    from: index * 400,
    to: index * 400 + 30,
    owner: owners[(index * 11 + 3) % 150]!,
  }));
  const after = applyReassignments(before, changes, 1);
  store.write(partition, "table/files", serializeTable(before));
  const view = createView({
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
    getView: () => view,
    send: (message) => {
      assert.ok(JSON.stringify(message).length <= 1_400);
      sent.push(message);
      return true;
    },
  });
  void view.run(new AbortController().signal);
  await clock.advance(1_000);
  relay.sendTableDiff({ part: 0, service: "files", offset: 1, before, after });
  assert.ok(sent.length > 1);
  for (const message of sent.toReversed()) {
    assert.ok(message.kind === "owners");
    assert.deepEqual(
      directory.getTable("files"),
      before,
      "a fragment is missing",
    );
    relay.applyTableDiff(message);
  }
  assert.deepEqual(directory.getTable("files"), after);
});

test("applying the difference of two tables gives the later table", () => {
  const owners = ["a", "b", "c"].map((id) => ({ id, address: `${id}:1` }));
  let table: KeyTable = createKeyTable(owners, 1);
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

test("a configuration arrives in fragments and is applied only when complete", async () => {
  const clock = new VirtualClock();
  const store = new FakeStore(clock);
  const partition = { topic: "configuration", part: 0 };
  const sent: PeerMessage[] = [];
  const views: PartitionView[] = [];
  const relay = createRelay({
    clock,
    directory: new KeyDirectory(),
    getView: () => views[0],
    send: (message) => sent.push(message) > 0,
  });
  store.write(partition, "newest", "first");
  const applied: StoreRecord[] = [];
  const view = createView({
    clock,
    store,
    partition,
    apply: (record) => applied.push(record),
  });
  views.push(view);
  void view.run(new AbortController().signal);
  await clock.advance(500);
  const random = new SeededRandom(3);
  const value = Array.from({ length: 4_000 }, () => random.draw().toString(36))
    .join("").slice(0, 5_000);
  const records = [{ offset: 1, key: "newest", value }];
  const batch = { base: 1, end: 2, ageMs: 0, sinceOutageMs: null, records };
  relay.sendConfiguration(batch);
  assert.ok(sent.length > 2, `${sent.length} fragments`);
  const fragments = sent.flatMap((message) =>
    message.kind === "configuration" ? [message] : []
  );
  fragments.slice(1).toReversed().forEach((one) =>
    relay.applyConfiguration(one)
  );
  assert.equal(view.end, 1, "nothing is applied while a fragment is missing");
  relay.applyConfiguration(fragments[0]!);
  assert.equal(view.end, 2);
  assert.equal(applied.at(-1)?.value, value);
  relay.applyConfiguration({ ...fragments[0]!, pieces: 1, end: 9 });
  assert.equal(view.end, 2, "a truncated text is ignored");
});
