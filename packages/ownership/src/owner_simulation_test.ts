import assert from "node:assert/strict";
import { test } from "node:test";
import { OWNER_LOADS } from "./owner_load_patterns.ts";
import { measureOwnerLoad, type OwnerOutcome } from "./owner_simulation.ts";

const SEEDS = [1, 2, 3];

/** Average of several seeds. */
function measureAverage(
  name: keyof typeof OWNER_LOADS,
  get: (outcome: OwnerOutcome) => number,
): number {
  const values = SEEDS
    .map((seed) => get(measureOwnerLoad({ ...OWNER_LOADS[name], seed })));
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

test("callers are answered in time by uneven targets that are used to less than half", () => {
  // A fifth is late if keys stay with targets until these seem 0.7 used.
  const unmet = measureAverage("even", ({ inTime }) => 1 - inTime);
  assert.ok(unmet < 0.14, `share of ${unmet} late or refused`);
});

test("few keys move while the load is even", () => {
  const moved = measureAverage("even", ({ moved }) => moved);
  assert.ok(moved < 0.1, `${moved} of all keys moved`);
});
