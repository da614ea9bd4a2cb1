import assert from "node:assert/strict";
import { test } from "node:test";
import { LongestDurations } from "./longest_durations.ts";

test("nothing is concluded from few requests of a route", () => {
  const durations = new LongestDurations();
  for (let count = 0; count < 49; count++) {
    durations.record("a", 100, count);
    durations.record("b", 100, count);
  }
  assert.equal(durations.getLongestMs("a", 50), undefined);
  durations.record("a", 20, 50);
  assert.equal(durations.getLongestMs("a", 50), 100);
  assert.equal(durations.getLongestMs("b", 50), undefined);
});

test("a slow request is remembered for a minute, and forgotten after two", () => {
  const durations = new LongestDurations();
  durations.record("a", 5_000, 0);
  for (let nowMs = 100; nowMs <= 59_000; nowMs += 100) {
    durations.record("a", 100, nowMs);
  }
  for (let nowMs = 60_000; nowMs <= 119_000; nowMs += 100) {
    durations.record("a", 100, nowMs);
  }
  assert.equal(durations.getLongestMs("a", 119_000), 5_000);
  for (let nowMs = 120_000; nowMs <= 130_000; nowMs += 100) {
    durations.record("a", 100, nowMs);
  }
  assert.equal(durations.getLongestMs("a", 130_000), 100);
  assert.equal(durations.getLongestMs("a", 250_001), undefined);
});
