import assert from "node:assert/strict";
import { test } from "node:test";
import { ReturnSchedule } from "./return_schedule.ts";

const OPTIONS = { nowMs: 0, backlogMs: 100, intervalMs: 10 };

test("each refusal of an account is told the next free time", () => {
  const schedule = new ReturnSchedule();
  const assign = () => schedule.assign("nile", OPTIONS);
  assert.deepEqual([assign(), assign(), assign()], [120, 130, 140]);
});

// One account is refused a thousand times. Another that is refused once must
// not be sent to the end of that line.
test("an account does not wait behind another one's returns", () => {
  const schedule = new ReturnSchedule();
  for (let index = 0; index < 500; index++) {
    schedule.assign("nile", OPTIONS);
  }
  assert.equal(schedule.assign("omo", OPTIONS), 120);
});

test("times have a bound, and are spread below it", () => {
  const schedule = new ReturnSchedule();
  const times = Array.from(
    { length: 3_000 },
    () => schedule.assign("nile", OPTIONS),
  );
  assert.ok(Math.max(...times) <= 10_000);
  const late = times.slice(-1_000);
  const inFirstHalf = late.filter((ms) => ms < 7_500).length;
  assert.ok(inFirstHalf > 450 && inFirstHalf < 550, String(inFirstHalf));
});
