import assert from "node:assert/strict";
import { test } from "node:test";
import { FairScheduler } from "./fair_scheduler.ts";

const NILE = { clientAccount: "nile", weight: 1 };
const AWASH = { clientAccount: "awash", weight: 2 };

test("an account that floods does not make others wait behind its burst", () => {
  // One account has a hundred requests waiting when another sends its first.
  // In order of arrival that one would be the last of 101.
  const order = new FairScheduler();
  const burst = Array.from({ length: 100 }, () => order.assignStartTag(NILE));
  order.recordPlaced(burst[0]!);
  const first = order.assignStartTag(AWASH);
  assert.ok(burst.filter((tag) => tag < first).length <= 1);
});

test("under contention places go by weight", () => {
  const order = new FairScheduler();
  const tags = [NILE, AWASH].flatMap((share) =>
    Array.from({ length: 60 }, () => ({
      name: share.clientAccount,
      tag: order.assignStartTag(share),
    }))
  ).sort((left, right) => left.tag - right.tag).slice(0, 60);
  const ofAwash = tags.filter(({ name }) => name === "awash").length;
  assert.ok(ofAwash >= 39 && ofAwash <= 41, `${ofAwash} of 60`);
});

test("an account that comes after a pause has saved nothing up", () => {
  const order = new FairScheduler();
  for (let count = 0; count < 50; count++) {
    order.recordPlaced(order.assignStartTag(NILE));
  }
  assert.equal(order.getNextStartTag(AWASH), 49);
});
