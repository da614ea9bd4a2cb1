import assert from "node:assert/strict";
import { test } from "node:test";
import { OwnerSpeeds } from "./owner_speeds.ts";

test("a few instances that saw slow responses do not make a target look slow", () => {
  const speeds = new OwnerSpeeds();
  for (let instance = 0; instance < 15; instance++) {
    const serviceMs = instance % 3 === 0 ? 900 : 300;
    speeds.record("t0", `i${instance}`, serviceMs, 1_000);
  }
  assert.equal(speeds.estimateServiceMs("t0", 350, 1_200), 300);
});

test("a target that stays slow shows, although earlier reports were good", () => {
  const speeds = new OwnerSpeeds();
  for (let instance = 0; instance < 40; instance++) {
    speeds.record("t0", `i${instance}`, 300, 1_000);
  }
  for (let instance = 0; instance < 12; instance++) {
    speeds.record("t0", `i${instance}`, 1_500, 3_000);
  }
  assert.equal(speeds.estimateServiceMs("t0", 350, 3_200), 1_500);
});

test("reports of long ago do not count", () => {
  const speeds = new OwnerSpeeds();
  speeds.record("t0", "i0", 300, 0);
  assert.equal(speeds.estimateServiceMs("t0", 350, 20_000), 350);
});

test("a new target whose first response was slow keeps the average", () => {
  const speeds = new OwnerSpeeds();
  speeds.record("t0", "i0", 1_100, 1_000);
  speeds.record("t0", "i1", 400, 1_000);
  assert.equal(speeds.estimateServiceMs("t0", 350, 1_200), 350);
});
