import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "./virtual_clock.ts";

test("sleepers wake in the order of their times", async () => {
  const clock = new VirtualClock();
  const woken: string[] = [];
  const runSleeper = async (name: string, ms: number): Promise<void> => {
    await clock.sleep(ms);
    woken.push(`${name}@${clock.readMs()}`);
  };
  const all = [runSleeper("late", 20), runSleeper("early", 10)];
  await clock.advance(25);
  await Promise.all(all);
  assert.deepEqual(woken, ["early@10", "late@20"]);
  assert.equal(clock.readMs(), 25);
});

test("an aborted sleep ends at once", async () => {
  const clock = new VirtualClock();
  const controller = new AbortController();
  const sleeping = clock.sleep(1_000, controller.signal);
  controller.abort();
  await sleeping;
  assert.equal(clock.readMs(), 0);
});
