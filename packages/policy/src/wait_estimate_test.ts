import assert from "node:assert/strict";
import { test } from "node:test";
import { computeResidualMs, computeWaitMs } from "./wait_estimate.ts";

test("places work off what lies ahead between them", () => {
  assert.equal(computeWaitMs([0, 0], 100), 50);
  assert.equal(computeWaitMs([10, 30], 0), 10);
  assert.equal(computeWaitMs([10, 30], 100), 70);
});

// One of two places is held by a job that does not end: the other does all
// the work, and waits are twice what an even split would promise.
test("a place that does not become free does no work", () => {
  assert.equal(computeWaitMs([0, 10_000], 100), 100);
  assert.ok(computeResidualMs(20, 5_000) > 4_000);
});
