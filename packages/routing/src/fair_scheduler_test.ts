import assert from "node:assert/strict";
import { test } from "node:test";
import { FairScheduler } from "./fair_scheduler.ts";

const NILE = { clientAccount: "nile", weight: 1 };
const AWASH = { clientAccount: "awash", weight: 2 };

test("an account that floods does not make others wait behind its burst", () => {
  // An account has 100 requests in the queue when another account sends its
  // first. In order of arrival, the new request would be the last of 101.
  const scheduler = new FairScheduler();
  const burst = Array.from(
    { length: 100 },
    () => scheduler.assignStartTag(NILE),
  );
  scheduler.recordPlaced(burst[0]!);
  const first = scheduler.assignStartTag(AWASH);
  assert.ok(burst.filter((tag) => tag < first).length <= 1);
});

test("under contention accounts get places in proportion to their weights", () => {
  const scheduler = new FairScheduler();
  const tags = [NILE, AWASH].flatMap((share) =>
    Array.from({ length: 60 }, () => ({
      name: share.clientAccount,
      tag: scheduler.assignStartTag(share),
    }))
  ).sort((left, right) => left.tag - right.tag).slice(0, 60);
  const ofAwash = tags.filter(({ name }) => name === "awash").length;
  assert.ok(ofAwash >= 39 && ofAwash <= 41, `${ofAwash} of 60`);
});

test("an idle account accumulates no credit", () => {
  const scheduler = new FairScheduler();
  for (let count = 0; count < 50; count++) {
    scheduler.recordPlaced(scheduler.assignStartTag(NILE));
  }
  assert.equal(scheduler.getNextStartTag(AWASH), 49);
});
