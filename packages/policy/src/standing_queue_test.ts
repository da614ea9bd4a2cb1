import assert from "node:assert/strict";
import { test } from "node:test";
import type { ScheduledJob } from "./scheduled_job.ts";
import { StandingQueue } from "./standing_queue.ts";

const JOB: ScheduledJob = {
  id: "1",
  clientAccount: "nile",
  weight: 1,
  template: "case-files",
  unit: "s:1",
  key: "case-1",
  idempotent: true,
  arrivedAtMs: 0,
  deadlineAtMs: 2_000,
  attempt: 1,
};
const BOUNDS = { maxQueueMs: 1_000, typicalMs: 20 };

/** The allowed wait after a backlog of `waitMs` from `fromMs` to `untilMs`. */
function observeBacklog(
  standing: StandingQueue,
  waitMs: number,
  [fromMs, untilMs]: readonly [number, number],
): number {
  for (let nowMs = fromMs; nowMs <= untilMs; nowMs += 10) {
    standing.observe(JOB, { waitMs, typicalMs: 20 }, nowMs);
  }
  return standing.computeAllowedWaitMs(JOB, BOUNDS);
}

// A burst fills the queue and is worked off: nobody needs to be refused for
// it. Overload fills it and goes on: who waits in it gains nothing.
test("a burst may wait the whole bound, a standing queue a short time", () => {
  const standing = new StandingQueue();
  assert.equal(observeBacklog(standing, 600, [0, 400]), 1_000);
  assert.equal(observeBacklog(standing, 0, [410, 420]), 1_000);
  assert.equal(observeBacklog(standing, 600, [430, 1_000]), 160);
});

test("overload with gaps is still overload; a second without ends it", () => {
  const standing = new StandingQueue();
  observeBacklog(standing, 600, [0, 600]);
  assert.equal(observeBacklog(standing, 0, [610, 900]), 160);
  assert.equal(observeBacklog(standing, 0, [910, 1_700]), 1_000);
});
