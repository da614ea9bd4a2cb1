import assert from "node:assert/strict";
import { test } from "node:test";
import { planBalance, planHotKeys, planHotKeysOver } from "./balance.ts";
import { planDrain, planInitialAssignment, planLoss } from "./placement.ts";
import type {
  PlacementInput,
  PlacementTarget,
  PlacementUnit,
} from "./placement_input.ts";

const EVEN_WEIGHTS = { imbalance: 1, churn: 1, unservedTime: 1 };

function makeTarget(id: string, fields = {}): PlacementTarget {
  return { id, dataCentre: "bole", leaving: false, ageMs: Infinity, ...fields };
}

/** Four targets with 16 units each; `loads` is each target's whole load. */
function makeInput(
  loads: readonly number[],
  fields: Partial<PlacementInput> = {},
): PlacementInput {
  const units: PlacementUnit[] = [];
  for (const [index, load] of loads.entries()) {
    for (let shard = 0; shard < 16; shard++) {
      const unit = `s:${index * 16 + shard}`;
      units.push({ unit, owner: `t${index}`, load: load / 16, moving: false });
    }
  }
  return {
    template: "case-files",
    targets: loads.map((_, index) => makeTarget(`t${index}`)),
    units,
    weights: EVEN_WEIGHTS,
    placesPerTarget: 2,
    ...fields,
  };
}

test("every unit without an owner is placed, and targets end up even", () => {
  const owned = makeInput([1, 1, 1, 1]);
  const units = owned.units.map((unit) => ({ ...unit, owner: null }));
  const assignments = planInitialAssignment({ ...owned, units });
  assert.equal(assignments.length, units.length);
  const counts = new Map<string, number>();
  for (const { to } of assignments) {
    counts.set(to, (counts.get(to) ?? 0) + 1);
  }
  assert.deepEqual([...counts.values()], [16, 16, 16, 16]);
});

// A target is lost under load. Callers of the other targets' keys must not
// notice: hashing anew over the three that are left would move most units.
test("after a loss only the lost target's units move, and spread evenly", () => {
  const input = makeInput([1, 1, 1, 1]);
  const assignments = planLoss(input, new Set(["t1"]));
  const lost = input.units.filter(({ owner }) => owner === "t1");
  assert.deepEqual(
    assignments.map(({ unit }) => unit).sort(),
    lost.map(({ unit }) => unit).sort(),
  );
  const counts = ["t0", "t2", "t3"].map((id) =>
    assignments.filter(({ to }) => to === id).length
  );
  assert.ok(Math.max(...counts) - Math.min(...counts) <= 1, String(counts));
});

test("a leaving target gives up its hottest units first and gets none", () => {
  const input = makeInput([1, 1, 1, 1], {
    targets: [0, 1, 2, 3].map((index) =>
      makeTarget(`t${index}`, { leaving: index === 0 })
    ),
  });
  const units = input.units.map((unit) =>
    unit.unit === "s:7" ? { ...unit, load: 0.5 } : unit
  );
  const moves = planDrain({ ...input, units });
  assert.equal(moves.length, 16);
  assert.equal(moves[0]?.unit, "s:7");
  assert.ok(moves.every(({ from, to }) => from === "t0" && to !== "t0"));
});

test("an uneven load is evened out by few moves", () => {
  const moves = planBalance(makeInput([1.8, 1, 1, 0.4]));
  assert.ok(moves.length > 0 && moves.length <= 8);
  assert.ok(moves.every(({ from, to }) => from === "t0" && to === "t3"));
});

test("weights that put churn first tolerate what others even out", () => {
  const loads = [1.3, 1, 1, 0.8];
  const weights = { imbalance: 1, churn: 5, unservedTime: 1 };
  assert.ok(planBalance(makeInput(loads)).length > 0);
  assert.deepEqual(planBalance(makeInput(loads, { weights })), []);
});

// One target says that it is idle, another that it is full; both are wrong.
// Units would move to and fro, and every move stops its callers for a while.
test("a wrong report alone moves nothing", () => {
  for (const reportedLoad of [0, 1]) {
    const targets = [0, 1, 2, 3].map((index) =>
      makeTarget(`t${index}`, index === 2 ? { reportedLoad } : {})
    );
    assert.deepEqual(planBalance(makeInput([1, 1, 1, 1], { targets })), []);
  }
});

test("a target that joins gets part of its units at once, none too many", () => {
  const even = makeInput([1, 1, 1, 1]);
  const targets = [...even.targets, makeTarget("t4", { ageMs: 0 })];
  const moves = planBalance({ ...even, targets });
  assert.ok(moves.length > 0);
  assert.ok(moves.every(({ to }) => to === "t4"));
  assert.ok(moves.length <= 4, `${moves.length} moves to a cold target`);
});

test("a hot key leaves a loaded target alone, without its shard", () => {
  const input = makeInput([1.8, 1, 1, 0.6]);
  const hot = { key: "case-9", owner: "t0", load: 0.9 };
  const moves = planHotKeys(input, [hot]);
  assert.deepEqual(
    moves.map(({ unit, from, to }) => ({ unit, from, to })),
    [{ unit: "k:case-9", from: "t0", to: "t3" }],
  );
  assert.deepEqual(planHotKeys(makeInput([1, 1, 1, 1]), [hot]), []);
});

test("a key that is hot no more goes back to its shard's owner", () => {
  const hot = {
    unit: "k:case-9",
    owner: "t3",
    shardOwner: "t0",
    moving: false,
  };
  const plan = (load: number) =>
    planHotKeysOver("case-files", [{ ...hot, load }]).map(({ to }) => to);
  assert.deepEqual(plan(0.05), ["t0"]);
  assert.deepEqual(plan(0.5), []);
});
