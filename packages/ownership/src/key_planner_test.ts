import assert from "node:assert/strict";
import { test } from "node:test";
import { LAST_KEY } from "@lentilspur/ports/key_orders";
import { KeyLoad } from "./key_load.ts";
import { planReassignments } from "./key_planner.ts";
import {
  applyReassignments,
  createKeyTable,
  findRange,
  type KeyTable,
  settleRanges,
} from "./key_table.ts";
import type { OwnerCandidate } from "./owner_load.ts";

const SERVICE_MS = 60;

function createCandidates(count: number): OwnerCandidate[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `t${index}`,
    address: `t${index}:80`,
    places: 2,
    serviceMs: SERVICE_MS,
  }));
}

/** A fixed pseudo-random sequence, for keys without a pattern. */
function createDraw(): () => number {
  let state = 12_345;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return state / 2_147_483_648;
  };
}

/** The highest utilization of a target by the requests of the last second. */
function measureBusy(table: KeyTable, keys: readonly number[]) {
  const busy = new Map<string, number>();
  for (const key of keys) {
    const { id } = findRange(table, key)!.owner;
    busy.set(id, (busy.get(id) ?? 0) + SERVICE_MS / 1_000 / 2);
  }
  return Math.max(...busy.values());
}

test("a hotspot is spread within 1.5 s, moving few keys", () => {
  // For 5 s, 44% of 336 lookups per second are for about 60 adjacent keys: 148
  // per second for one target that can serve 33. Its callers wait and are
  // rejected until the keys are spread over several targets.
  const draw = createDraw();
  const candidates = createCandidates(20);
  const load = new KeyLoad();
  let table = createKeyTable(candidates, 1);
  let token = 1;
  let moved = 0;
  let busyAfter = Infinity;
  for (let nowMs = 0; nowMs < 7_500; nowMs += 200) {
    const isHot = nowMs >= 6_000;
    const keys = Array.from(
      { length: 67 },
      () =>
        isHot && draw() < 0.44
          ? 30_000 + Math.floor(draw() * 60)
          : Math.floor(draw() * (LAST_KEY + 1)),
    );
    load.observe(keys, nowMs);
    if (nowMs % 400 !== 0) {
      continue;
    }
    const changes = planReassignments(table, candidates, load.listRates(nowMs));
    if (changes.length > 0) {
      token++;
      table = applyReassignments(table, changes, token);
      table = settleRanges(table, () => true);
    }
    if (isHot) {
      moved += changes.reduce((sum, { from, to }) => sum + to - from + 1, 0);
      const second = [1, 2, 3, 4, 5].flatMap(() =>
        Array.from({ length: 67 }, () => 30_000 + Math.floor(draw() * 60))
          .slice(0, 30)
      );
      busyAfter = measureBusy(table, second);
    }
  }
  // Before the moves: 150 requests of 60 ms in 2 places, 4.5 times the capacity
  // of a target.
  assert.ok(busyAfter < 1, `highest utilization ${busyAfter}`);
  assert.ok(moved < 0.05 * LAST_KEY, `${moved} keys moved`);
});

test("a light, even load moves next to no keys", () => {
  // Each move makes callers wait for about 100 ms, and its cost grows with the
  // keys moved.
  const draw = createDraw();
  const candidates = createCandidates(20);
  const load = new KeyLoad();
  let table = createKeyTable(candidates, 1);
  let moved = 0;
  for (let nowMs = 0; nowMs < 20_000; nowMs += 200) {
    load.observe(
      Array.from({ length: 50 }, () => Math.floor(draw() * (LAST_KEY + 1))),
      nowMs,
    );
    const changes = planReassignments(table, candidates, load.listRates(nowMs));
    moved += changes.reduce((sum, { from, to }) => sum + to - from + 1, 0);
    table = settleRanges(applyReassignments(table, changes, nowMs), () => true);
  }
  assert.ok(moved < 0.05 * LAST_KEY, `${moved} keys moved`);
});

test("targets with four places keep their keys when their load differs by chance", () => {
  // Each move interrupts requests that their target could have served in time.
  const draw = createDraw();
  const candidates = createCandidates(20)
    .map((one) => ({ ...one, places: 4, serviceMs: 290 }));
  const load = new KeyLoad();
  let table = createKeyTable(candidates, 1);
  let changed = 0;
  for (let nowMs = 0; nowMs < 30_000; nowMs += 200) {
    // Nearly 0.62 of all places are in use.
    const keys = Array.from(
      { length: 34 },
      () => Math.floor(draw() * (LAST_KEY + 1)),
    );
    load.observe(keys, nowMs);
    if (nowMs < 8_000 || nowMs % 400 !== 0) {
      continue;
    }
    const changes = planReassignments(table, candidates, load.listRates(nowMs));
    changed += changes.length;
    table = settleRanges(applyReassignments(table, changes, nowMs), () => true);
  }
  assert.ok(changed <= 5, `${changed} subranges moved`);
});

test("the keys of a lost target are shared among the others", () => {
  const [lost, ...rest] = createCandidates(4);
  const table = createKeyTable([lost!, ...rest], 1);
  const changes = planReassignments(table, rest, []);
  const next = applyReassignments(table, changes, 2);
  assert.ok(next.ranges.every((range) => range.owner.id !== lost!.id));
  const receivers = new Set(changes.map(({ owner }) => owner.id));
  assert.equal(receivers.size, 3);
});

test("a target that joins gets keys at once", () => {
  const candidates = createCandidates(5);
  const load = new KeyLoad();
  const draw = createDraw();
  for (let nowMs = 0; nowMs < 4_000; nowMs += 100) {
    load.observe(
      Array.from({ length: 8 }, () => Math.floor(draw() * (LAST_KEY + 1))),
      nowMs,
    );
  }
  const table = createKeyTable(candidates.slice(0, 4), 1);
  const changes = planReassignments(table, candidates, load.listRates(4_000));
  assert.ok(changes.some(({ owner }) => owner.id === "t4"));
});

/**
 * Request rates as a keeper counts them; `busy` maps keys to requests per
 * second.
 */
function countRates(busy: ReadonlyMap<number, number>): KeyLoad {
  const load = new KeyLoad();
  for (let step = 0; step < 20; step++) {
    const keys = [...busy].flatMap(([key, perSecond]) => {
      const count = (steps: number) => Math.floor(steps * perSecond / 5);
      return Array.from({ length: count(step + 1) - count(step) }, () => key);
    });
    load.observe(keys, 200 * step);
  }
  return load;
}

/**
 * Plans several times; the moves of each plan are complete before the next
 * plan.
 */
function runPlans(
  candidates: readonly OwnerCandidate[],
  load: KeyLoad,
): KeyTable {
  let table = createKeyTable(candidates, 1);
  for (let token = 2; token < 8; token++) {
    const changes = planReassignments(table, candidates, load.listRates(4_000));
    table = settleRanges(applyReassignments(table, changes, token), () => true);
  }
  return table;
}

test("a key that exceeds its owner's capacity moves to the fastest target, where few other busy keys stay", () => {
  // Two fifths of all lookups are for one key, and its owner is the slowest
  // target: it answers 10 per second, and 28 per second are rejected, while
  // targets with twice its speed have capacity left.
  const speeds = [0.6, 1, 1.4, 1, 0.6];
  const candidates = createCandidates(5)
    .map((one, index) => ({ ...one, serviceMs: 120 / speeds[index]! }));
  const busy = new Map([[100, 40]]);
  for (let key = 500; key < LAST_KEY; key += 2_000) {
    busy.set(key, 1);
  }
  const table = runPlans(candidates, countRates(busy));
  const range = findRange(table, 100)!;
  assert.equal(range.owner.id, "t2");
  const otherKeys = [...busy.keys()].filter((key) =>
    key !== 100 && findRange(table, key)!.owner.id === "t2"
  );
  assert.ok(
    otherKeys.length <= 1,
    `${otherKeys.length} other busy keys stay with the fastest target`,
  );
});

test("an owner that cannot be relieved does not block the relief of others", () => {
  // One key is hot on a target that is as fast as any other, so it cannot be
  // relieved. A second overloaded target, which has many busy keys, must be
  // relieved all the same.
  const candidates = createCandidates(4);
  const busy = new Map([[100, 100]]);
  for (let key = 20_000; key < 20_060; key++) {
    busy.set(key, 1);
  }
  const table = runPlans(candidates, countRates(busy));
  const owners = new Set(
    [...busy.keys()].filter((key) => key !== 100)
      .map((key) => findRange(table, key)!.owner.id),
  );
  assert.equal(findRange(table, 100)!.owner.id, "t0");
  assert.ok(owners.size > 1, "the busy subrange is spread");
});

test("keys that exceed a target's request limit move to other targets", () => {
  const candidates = createCandidates(6)
    .map((one, index) => index === 0 ? { ...one, limitPerSecond: 2 } : one);
  const busy = new Map<number, number>();
  for (let key = 0; key < LAST_KEY; key += 1_024) {
    busy.set(key, 0.6);
  }
  const table = runPlans(candidates, countRates(busy));
  const requestRate = [...busy]
    .filter(([key]) => findRange(table, key)!.owner.id === "t0")
    .reduce((sum, [, perSecond]) => sum + perSecond, 0);
  assert.ok(
    requestRate <= 2,
    `${requestRate} requests per second at the limited target`,
  );
});
