import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeInstanceList } from "./fake_instance_list.ts";
import { FakeLog } from "./fake_log.ts";
import { VirtualClock } from "./virtual_clock.ts";

test("an append whose answer is lost takes effect, at once or late", async () => {
  const clock = new VirtualClock();
  const log = new FakeLog(clock);
  const link = log.createLink({ lostAnswers: 1, lateAppends: 1, lateByMs: 50 });
  const answers = [link.append("s", "lost"), link.append("s", "late")];
  await clock.advance(40);
  const soon = log.listRecords("s").map((record) => record.payload);
  await clock.advance(5_000);
  const later = log.listRecords("s").map((record) => record.payload);
  const results = await Promise.all(answers);
  assert.deepEqual(results.map((result) => result.ok), [false, false]);
  assert.deepEqual([soon, later], [["lost"], ["lost", "late"]]);
});

test("a long poll ends with the next record or after its time", async () => {
  const clock = new VirtualClock();
  const log = new FakeLog(clock);
  const link = log.createLink();
  const polls = [0, 1].map((from) => link.read("s", from, { waitMs: 100 }));
  await clock.advance(50);
  log.appendNow("s", "x");
  await clock.advance(60);
  const [first, second] = await Promise.all(polls);
  assert.deepEqual(first?.val, {
    records: [{ offset: 0, payload: "x" }],
    nextOffset: 1,
  });
  assert.deepEqual(second?.val, { records: [], nextOffset: 1 });
});

test("records expire by age and by number, and offsets go on", async () => {
  const clock = new VirtualClock();
  const log = new FakeLog(clock, { retainMs: 100, retainRecords: 2 });
  ["a", "b", "c"].forEach((payload) => log.appendNow("s", payload));
  assert.deepEqual(log.readNow("s", 0).val, {
    kind: "expired",
    firstOffset: 1,
  });
  await clock.advance(101);
  assert.deepEqual(log.readNow("s", 2).val, {
    kind: "expired",
    firstOffset: 3,
  });
  assert.equal(log.appendNow("s", "d"), 3);
});

test("the instance list shows a leaving target late", async () => {
  const clock = new VirtualClock();
  const list = new FakeInstanceList(clock, { lagMs: 100 });
  const entry = {
    kind: "entry",
    id: "e1",
    address: "127.0.0.1:1",
    dataCentre: "bole",
    state: "live",
  } as const;
  list.set(entry);
  await clock.advance(100);
  list.setState("e1", "leaving");
  const soon = await list.list();
  await clock.advance(100);
  const later = await list.list();
  assert.deepEqual(soon.val, [entry]);
  assert.deepEqual(later.val, [{ ...entry, state: "leaving" }]);
});
