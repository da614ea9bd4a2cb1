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

const PLACES = 2;
const WORK_MS = 130;
/** Targets of one service differ in speed. */
const SPEEDS = [0.7, 0.7, 1.6];
const STEP_MS = 50;
const REQUESTS_PER_STEP = 12;
/**
 * Interval between two plans, and the time until the moves of a plan are
 * complete.
 */
const PLAN_EVERY_MS = 400;
const MOVE_MS = 250;
/** A request that would wait longer is rejected. */
const MAX_WAIT_MS = 270;
/**
 * First of the busy keys; the rate of the n-th busy key is proportional to
 * n^-0.63.
 */
const BUSIEST_KEY = 59_505;

interface Outcome {
  readonly requested: number;
  readonly rejected: number;
}

function createCandidates(): readonly OwnerCandidate[] {
  return Array.from({ length: 25 }, (_, index) => ({
    id: `t${index}`,
    address: `t${index}:80`,
    places: PLACES,
    serviceMs: WORK_MS / SPEEDS[index % SPEEDS.length]!,
  }));
}

/**
 * Keys in the order in which callers request them; always the same sequence.
 */
function createDraw(): () => number {
  let state = 4_711;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    const rank = 60_000 * Math.pow(state / 2_147_483_648, 1 / 0.37);
    return (BUSIEST_KEY + Math.floor(rank)) % (LAST_KEY + 1);
  };
}

/**
 * Simulates two seconds of requests, beginning with the given table, and counts
 * the rejected ones.
 */
function runLoad(first: KeyTable): Outcome {
  const candidates = createCandidates();
  const serviceMsById = new Map(
    candidates.map((one) => [one.id, one.serviceMs]),
  );
  const backlogMs = new Map<string, number>();
  const load = new KeyLoad();
  const draw = createDraw();
  let table = first;
  let pending: { readonly table: KeyTable; readonly atMs: number } | undefined;
  let rejected = 0;
  let requested = 0;
  for (let nowMs = 0; nowMs < 2_000; nowMs += STEP_MS) {
    const keys = Array.from({ length: REQUESTS_PER_STEP }, draw);
    for (const key of keys) {
      const { id } = findRange(table, key)!.owner;
      const before = backlogMs.get(id) ?? 0;
      requested++;
      if (before / PLACES > MAX_WAIT_MS) {
        rejected++;
      } else {
        backlogMs.set(id, before + serviceMsById.get(id)!);
      }
    }
    for (const [id, ms] of backlogMs) {
      backlogMs.set(id, Math.max(0, ms - PLACES * STEP_MS));
    }
    load.observe(keys, nowMs);
    if (pending !== undefined && nowMs >= pending.atMs) {
      table = pending.table;
      pending = undefined;
    }
    if (nowMs > 0 && nowMs % PLAN_EVERY_MS === 0 && pending === undefined) {
      const changes = planReassignments(
        table,
        candidates,
        load.listRates(nowMs),
      );
      const next = applyReassignments(table, changes, nowMs);
      pending = {
        table: settleRanges(next, () => true),
        atMs: nowMs + MOVE_MS,
      };
    }
  }
  return { requested, rejected };
}

test("few requests are rejected in the first two seconds after callers arrive", () => {
  // Callers arrive 8 s after the targets, half for adjacent keys. With one
  // owner or a wide range per owner, a plan's dozen moves, or one per target,
  // leave 2 s of rejections: simulated, 34% with one owner, 6% if even.
  const candidates = createCandidates();
  const distributed = runLoad(createKeyTable(candidates, 1));
  const singleOwner = runLoad(createKeyTable(candidates.slice(0, 1), 1));
  const share = ({ requested, rejected }: Outcome) => rejected / requested;
  assert.ok(
    share(distributed) < 0.1,
    `share of ${share(distributed)} rejected with keys distributed evenly`,
  );
  assert.ok(
    share(singleOwner) > 3 * share(distributed),
    `share of ${share(singleOwner)} rejected with one owner`,
  );
});
