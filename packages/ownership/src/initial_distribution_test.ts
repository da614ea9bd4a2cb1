import assert from "node:assert/strict";
import { test } from "node:test";
import { LAST_KEY } from "@lentilspur/ports/key_orders";
import { KeyLoad } from "./key_load.ts";
import { planReassignments } from "./key_planner.ts";
import {
  applyReassignments,
  createTable,
  findRange,
  type KeyTable,
  settleRanges,
} from "./key_table.ts";
import type { OwnerCandidate } from "./owner_load.ts";

const PLACES = 2;
const WORK_MS = 130;
/** Targets of one service differ in speed. */
const SPEEDS = [0.7, 0.7, 1.6];
const STEP_MS = 50;
const REQUESTS_PER_STEP = 12;
/** Between two plans, and until what a plan moves has arrived. */
const PLAN_EVERY_MS = 400;
const MOVE_MS = 250;
/** A request that would wait longer is refused. */
const MAX_WAIT_MS = 270;
/** Where the busy keys begin; the n-th of them is asked for by n^-0.63. */
const BUSIEST_KEY = 59_505;

interface Outcome {
  readonly asked: number;
  readonly refused: number;
}

function createCandidates(): readonly OwnerCandidate[] {
  return Array.from({ length: 25 }, (_, index) => ({
    id: `t${index}`,
    address: `t${index}:80`,
    places: PLACES,
    serviceMs: WORK_MS / SPEEDS[index % SPEEDS.length]!,
  }));
}

/** Keys as callers ask for them; the same sequence every time. */
function createDraw(): () => number {
  let state = 4_711;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    const rank = 60_000 * Math.pow(state / 2_147_483_648, 1 / 0.37);
    return (BUSIEST_KEY + Math.floor(rank)) % (LAST_KEY + 1);
  };
}

/** Plays two seconds of callers against a first table; what they get. */
function runLoad(first: KeyTable): Outcome {
  const candidates = createCandidates();
  const speeds = new Map(candidates.map((one) => [one.id, one.serviceMs]));
  const backlogMs = new Map<string, number>();
  const load = new KeyLoad();
  const draw = createDraw();
  let table = first;
  let coming: { readonly table: KeyTable; readonly atMs: number } | undefined;
  let refused = 0;
  let asked = 0;
  for (let nowMs = 0; nowMs < 2_000; nowMs += STEP_MS) {
    const keys = Array.from({ length: REQUESTS_PER_STEP }, draw);
    for (const key of keys) {
      const { id } = findRange(table, key)!.owner;
      const before = backlogMs.get(id) ?? 0;
      asked++;
      if (before / PLACES > MAX_WAIT_MS) {
        refused++;
      } else {
        backlogMs.set(id, before + speeds.get(id)!);
      }
    }
    for (const [id, ms] of backlogMs) {
      backlogMs.set(id, Math.max(0, ms - PLACES * STEP_MS));
    }
    load.observe(keys, nowMs);
    if (coming !== undefined && nowMs >= coming.atMs) {
      table = coming.table;
      coming = undefined;
    }
    if (nowMs > 0 && nowMs % PLAN_EVERY_MS === 0 && coming === undefined) {
      const changes = planReassignments(
        table,
        candidates,
        load.listRates(nowMs),
      );
      const next = applyReassignments(table, changes, nowMs);
      coming = { table: settleRanges(next, () => true), atMs: nowMs + MOVE_MS };
    }
  }
  return { asked, refused };
}

test("callers of a first morning are served from the first second", () => {
  // Callers come 8 s after the targets; half of them ask for keys that lie side
  // by side. While one target owned all keys, or each one wide stretch, most
  // were refused in the first 2 s: the busy keys spread by a dozen moves a plan.
  // Played here: 6 % are refused, and 34 % where one target owns all keys.
  const candidates = createCandidates();
  const dealt = runLoad(createTable(candidates, 1));
  const alone = runLoad(createTable(candidates.slice(0, 1), 1));
  const share = ({ asked, refused }: Outcome) => refused / asked;
  assert.ok(share(dealt) < 0.1, `${share(dealt)} refused when dealt out`);
  assert.ok(
    share(alone) > 3 * share(dealt),
    `${share(alone)} refused with one owner`,
  );
});
