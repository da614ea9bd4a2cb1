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

/** `changeClient` may make the store's calls fail in ways of a test's own. */
function startTail(changeClient = (client: Store): Store => client) {
  const clock = new VirtualClock();
  const store = new FakeStore(clock);
  const applied: StoreRecord[] = [];
  const events: PartitionViewEvent[] = [];
  const pace = { validMs: 0, maxPauseMs: 400 };
  store.write(PARTITION, "a", "1");
  const tail = new PartitionView({
    clock,
    store: changeClient(store.createClient("me")),
    partition: PARTITION,
    getPollingPolicy: () => ({
      pollDelayMs: 100,
      waitMs: 2_000,
      peerDataTtlMs: pace.validMs,
      maxBackoffMs: 400,
    }),
    apply: (record) => applied.push(record),
    observe: (event) => events.push(event),
  });
  void tail.run(new AbortController().signal);
  return { clock, store, applied, events, tail, pace };
}

test("records are applied in order, from the newest of each key on", async () => {
  const { clock, store, applied, tail } = startTail();
  await clock.advance(200);
  store.write(PARTITION, "a", "2");
  store.write(PARTITION, "b", "1");
  await clock.advance(500);
  assert.deepEqual(applied.map(({ key, value }) => key + value), [
    "a1",
    "a2",
    "b1",
  ]);
  assert.equal(tail.end, 3);
});

test("an entry that went with the history is found to be missing", async () => {
  // A target leaves while the store's history is dropped. No record of it is
  // ever read; a reader that goes on from the end would send to it for ever.
  const { clock, store, applied, events } = startTail();
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

test("a store's return is seen within a second and a half", async () => {
  // The store falls silent for 8 s. A read that it was to hold open for
  // seconds, begun shortly before its return, would hide a change for as long.
  const { clock, store, applied } = startTail();
  await clock.advance(50);
  store.setFaultMode("me", "silent");
  await clock.advance(8_000);
  store.write(PARTITION, "a", "2");
  store.setFaultMode("me", "serving");
  await clock.advance(1_500);
  assert.equal(applied.at(-1)?.value, "2");
});

test("a read on a silent connection gives way to others' news", async () => {
  // The store comes back, the next long read goes out on a connection that has
  // gone silent, and a change is written. Another instance tells of it every
  // 400 ms; the old state was used until the read's time was over.
  const { clock, store, applied, tail } = startTail((client) => ({
    ...client,
    read: (request) =>
      request.waitMs > 0 ? new Promise(() => {}) : client.read(request),
  }));
  await clock.advance(200);
  store.write(PARTITION, "a", "2");
  tail.scheduleRead();
  await clock.advance(400);
  tail.scheduleRead();
  await clock.advance(100);
  assert.deepEqual(applied.map(({ value }) => value), ["1", "2"]);
});

test("an answer that keeps coming in is not begun anew", async () => {
  // What an instance has missed takes its link 0.74 s, and others tell of news all
  // the while: 0.4 s after the first word the read was given up, and the next one
  // began with the same first byte, for good.
  const { clock, store, events, tail, pace } = startTail();
  pace.validMs = 60_000;
  await clock.advance(200);
  store.setLinkRate("me", SLOW_LINK_BYTES_PER_MS);
  for (let count = 0; count < 3; count++) {
    store.write(PARTITION, "a", "x".repeat(LARGE_RECORD_BYTES));
  }
  for (let spentMs = 0; spentMs < 900; spentMs += 100) {
    tail.scheduleRead();
    await clock.advance(100);
  }
  assert.equal(tail.end, 4);
  assert.deepEqual(events, []);
});

test("a store that begins its answers late is not asked for ever", async () => {
  // All instances read a large configuration at once, so that answers begin after
  // 0.6 s. Others tell of the new version every 100 ms; reads that were given up
  // after 0.4 s each made the store slower still, and none was ever answered.
  const { clock, store, applied, tail, pace } = startTail((client) => ({
    ...client,
    read: async (request) => {
      await clock.sleep(600);
      return await client.read(request);
    },
  }));
  pace.validMs = 60_000;
  await clock.advance(200);
  store.write(PARTITION, "a", "2");
  for (let spentMs = 0; spentMs < 2_000; spentMs += 100) {
    tail.scheduleRead();
    await clock.advance(100);
  }
  assert.equal(applied.at(-1)?.value, "2");
});

test("a silent store is not asked more often for others' news", async () => {
  // A third of the instances are turned away in silence while the others tell of
  // new versions: each call has its price, and none of them is answered.
  let calls = 0;
  const { clock, store, tail } = startTail((client) => ({
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
    tail.scheduleRead();
    await clock.advance(100);
  }
  // Each is silent for 1 s, and the pause after it is 0.4 s; the first word ends
  // the one before early, and the last has not ended.
  assert.ok(calls <= 8_000 / 1_400 + 2, `${calls} calls`);
});

test("news of what a read is about to bring costs no second read", async () => {
  // A change reaches others a moment earlier than this instance's own read,
  // which a slow store answers after 240 ms.
  let reads = 0;
  const { clock, store, applied, tail } = startTail((client) => ({
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
  tail.scheduleRead();
  await clock.advance(300);
  assert.equal(applied.at(-1)?.value, "2");
  assert.equal(reads, 1);
});
