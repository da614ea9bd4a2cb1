import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeStore } from "@lentilspur/ports/fake_store";
import type { Store, StoreRecord } from "@lentilspur/ports/store";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { PartitionView, type PartitionViewEvent } from "./partition_view.ts";

const PARTITION = { topic: "targets", part: 0 };
/** A link of 7 Mbit/s. */
const SLOW_LINK_BYTES_PER_MS = 875;
const LARGE_RECORD_BYTES = 216_000;

/** `changeClient` may wrap the store client to inject failures. */
function startView(
  changeClient = (client: Store): Store => client,
  restoreGraceMs = 0,
) {
  const clock = new VirtualClock();
  const store = new FakeStore(clock);
  const applied: StoreRecord[] = [];
  const events: PartitionViewEvent[] = [];
  const policy = { peerDataTtlMs: 0, maxBackoffMs: 400 };
  store.write(PARTITION, "a", "1");
  const view = new PartitionView({
    clock,
    store: changeClient(store.createClient("me")),
    partition: PARTITION,
    getPollingPolicy: () => ({
      pollDelayMs: 100,
      waitMs: 2_000,
      peerDataTtlMs: policy.peerDataTtlMs,
      maxBackoffMs: 400,
    }),
    restoreGraceMs,
    apply: (record) => applied.push(record),
    observe: (event) => events.push(event),
  });
  void view.run(new AbortController().signal);
  return { clock, store, applied, events, view, policy };
}

test("records are applied in order, starting with the newest of each key", async () => {
  const { clock, store, applied, view } = startView();
  await clock.advance(200);
  store.write(PARTITION, "a", "2");
  store.write(PARTITION, "b", "1");
  await clock.advance(500);
  assert.deepEqual(applied.map(({ key, value }) => key + value), [
    "a1",
    "a2",
    "b1",
  ]);
  assert.equal(view.end, 3);
});

test("an entry is removed here if the record of its removal was dropped by the store", async () => {
  // A target leaves while the store drops its history, so no record of the
  // removal is ever read. A view that continues from the old end would keep the
  // target, and requests would be sent to it forever.
  const { clock, store, applied, events } = startView();
  await clock.advance(50);
  store.setFaultMode("me", "refusing");
  await clock.advance(2_500);
  store.write(PARTITION, "a", "");
  store.write(PARTITION, "b", "1");
  store.removeHistory(PARTITION);
  store.setFaultMode("me", "serving");
  await clock.advance(1_000);
  assert.deepEqual(applied.map(({ key, value }) => key + value), [
    "a1",
    "a",
    "b1",
  ]);
  assert.deepEqual(events.map(({ kind }) => kind), [
    "lost",
    "history-lost",
    "regained",
  ]);
});

test("the return of a silent store is detected within 1.5 s", async () => {
  // The store is silent for 8 s. A read started shortly before its return,
  // which the store may hold open for seconds, would hide a change for that
  // time.
  const { clock, store, applied } = startView();
  await clock.advance(50);
  store.setFaultMode("me", "silent");
  await clock.advance(8_000);
  store.write(PARTITION, "a", "2");
  store.setFaultMode("me", "serving");
  await clock.advance(1_500);
  assert.equal(applied.at(-1)?.value, "2");
});

test("a read on a silent connection is abandoned when peers report a change", async () => {
  // After the store's return a long read hangs on a dead connection while a
  // change is written. Another instance reports the change every 400 ms, but
  // the old state was used until the read timed out.
  const { clock, store, applied, view } = startView((client) => ({
    ...client,
    read: (request) =>
      request.waitMs > 0 ? new Promise(() => {}) : client.read(request),
  }));
  await clock.advance(200);
  store.write(PARTITION, "a", "2");
  view.scheduleRead();
  await clock.advance(400);
  view.scheduleRead();
  await clock.advance(100);
  assert.deepEqual(applied.map(({ value }) => value), ["1", "2"]);
});

test("a read that keeps receiving data is not restarted", async () => {
  // Missed records take 0.74 s on this link while peers keep reporting newer
  // ones. The read was abandoned 0.4 s after the first report, and each new
  // read started over, without end.
  const { clock, store, events, view, policy } = startView();
  policy.peerDataTtlMs = 60_000;
  await clock.advance(200);
  store.setLinkRate("me", SLOW_LINK_BYTES_PER_MS);
  for (let count = 0; count < 3; count++) {
    store.write(PARTITION, "a", "x".repeat(LARGE_RECORD_BYTES));
  }
  for (let spentMs = 0; spentMs < 900; spentMs += 100) {
    view.scheduleRead();
    await clock.advance(100);
  }
  assert.equal(view.end, 4);
  assert.deepEqual(events, []);
});

test("a read finishes although the store begins its responses late", async () => {
  // All instances read a large configuration at once, so responses start after
  // 0.6 s. Peers report the version every 100 ms; abandoning reads after 0.4 s
  // slowed the store further, and no read ever finished.
  const { clock, store, applied, view, policy } = startView((client) => ({
    ...client,
    read: async (request) => {
      await clock.sleep(600);
      return await client.read(request);
    },
  }));
  policy.peerDataTtlMs = 60_000;
  await clock.advance(200);
  store.write(PARTITION, "a", "2");
  for (let spentMs = 0; spentMs < 2_000; spentMs += 100) {
    view.scheduleRead();
    await clock.advance(100);
  }
  assert.equal(applied.at(-1)?.value, "2");
});

test("reports of changes do not cause more calls to a silent store", async () => {
  // The store silently drops the calls of a third of the instances while the
  // other instances report new versions. Each call has a cost, and none gets a
  // response.
  let calls = 0;
  const { clock, store, view } = startView((client) => ({
    ...client,
    read: (request) => {
      calls++;
      return client.read(request);
    },
  }));
  await clock.advance(50);
  store.setFaultMode("me", "silent");
  await clock.advance(2_000);
  calls = 0;
  for (let spentMs = 0; spentMs < 8_000; spentMs += 100) {
    view.scheduleRead();
    await clock.advance(100);
  }
  // Each read is silent for 1 s, followed by a pause of 0.4 s. The first report
  // ends the read in flight early, and the last read has not finished.
  assert.ok(calls <= 8_000 / 1_400 + 2, `${calls} calls`);
});

test("a report of a change does not abandon a read that a slow store answers after 240 ms", async () => {
  // Peers learn of a change shortly before this instance's own read brings it;
  // a slow store responds to that read after 240 ms.
  let reads = 0;
  const { clock, store, applied, view } = startView((client) => ({
    ...client,
    read: async (request) => {
      reads++;
      const read = await client.read(request);
      await clock.sleep(240);
      return read;
    },
  }));
  await clock.advance(200);
  store.write(PARTITION, "a", "2");
  view.scheduleRead();
  await clock.advance(300);
  assert.equal(applied.at(-1)?.value, "2");
  assert.equal(reads, 1);
});

test("records that replace lost ones up to the same end are read after a restore", async () => {
  const { clock, store, applied, events, view } = startView();
  await clock.advance(5_000);
  store.write(PARTITION, "b", "lost");
  await clock.advance(1_000);
  store.restore({ copyAgeMs: 3_000 });
  store.write(PARTITION, "c", "1");
  await clock.advance(3_000);
  assert.deepEqual(applied.map(({ key, value }) => key + value), [
    "a1",
    "blost",
    "b",
    "a1",
    "c1",
  ]);
  const restored = events.find(({ kind }) => kind === "restored");
  assert.ok(restored?.kind === "restored" && restored.lostKeys === 1);
  assert.equal(view.getRecord("c")?.offset, view.end - 1);
});

test("a key that its writer writes again after a restore is never removed", async () => {
  const { clock, store, applied } = startView(undefined, 2_500);
  await clock.advance(5_000);
  store.write(PARTITION, "rewritten", "1");
  store.write(PARTITION, "lost", "1");
  await clock.advance(1_000);
  store.restore({ copyAgeMs: 3_000 });
  await clock.advance(2_000);
  store.write(PARTITION, "rewritten", "1");
  await clock.advance(3_000);
  const removed = applied.filter(({ value }) => value === "")
    .map(({ key }) => key);
  assert.deepEqual(removed, ["lost"]);
});
