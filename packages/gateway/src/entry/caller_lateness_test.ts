import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import { checkLateness } from "./caller_lateness.ts";

test("a process that is stalled again and again does not put off its decision for ever", async () => {
  const clock = new VirtualClock();
  let isLate: boolean | undefined;
  void checkLateness({
    clock,
    readUnreadMs: () => 1_000 + 0.8 * clock.readMs(),
    unreadBeforeMs: 0,
    isPending: () => true,
  }).then((result) => isLate = result);
  await clock.advance(10_000);
  assert.equal(isLate, true);
});
