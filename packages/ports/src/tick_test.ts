import assert from "node:assert/strict";
import { test } from "node:test";
import type { Clock } from "./clock.ts";
import { sleepUntilTick } from "./tick.ts";
import { VirtualClock } from "./virtual_clock.ts";

test("loops that start at different times wake together", async () => {
  // Guards against separate wake-ups of an idle process for each of its loops.
  const clock = new VirtualClock();
  const wokenAtMs = new Set<number>();
  const run = async (startMs: number, periodMs: number): Promise<void> => {
    await clock.sleep(startMs);
    for (;;) {
      await sleepUntilTick(clock, periodMs);
      wokenAtMs.add(clock.readMs());
    }
  };
  for (
    const [startMs, periodMs] of [[3, 50], [17, 100], [31, 100], [77, 250]]
  ) {
    void run(startMs!, periodMs!);
  }
  await clock.advance(1_000);
  assert.equal(wokenAtMs.size, 1_000 / 50);
});

test("a timer that fires early does not wake a loop twice", async () => {
  // Guards against a second wake-up: a timer counts from the start of its event
  // loop turn, so it may fire early.
  let sleptMs = 0;
  const clock: Clock = {
    readMs: () => 99.2,
    sleep: (ms) => {
      sleptMs = ms;
      return Promise.resolve();
    },
    waitForArrivals: () => Promise.resolve(),
  };
  await sleepUntilTick(clock, 100);
  assert.equal(sleptMs, 101);
});
