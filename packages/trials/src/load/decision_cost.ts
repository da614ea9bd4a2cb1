/** What one decision of a target's queue costs, in time and memory. */
import type { ScheduledJob } from "@lentilspur/policy/scheduled_job";
import { TargetScheduler } from "@lentilspur/policy/target_scheduler";
import { HotKeyDetector } from "@lentilspur/policy/hot_keys";
import { planBalance, planLoss } from "@lentilspur/policy/placement";
import type { PlacementInput } from "@lentilspur/policy/placement_input";
import type { MeasuredTable } from "../measurement.ts";
import { PLACES_PER_TARGET } from "./deployments.ts";
import { SeededRandom } from "./seeded_random.ts";

const ROUNDS = 100_000;
const ACCOUNTS = 20;
const PER_NS = 1_000;
const SHARDS = 4_096;
const TARGETS = 20;

/** Under overload, as then a queue is full and decisions cost most. */
export function measureDecisionCost(): MeasuredTable {
  return {
    title: "cost of decisions",
    columns: ["decision", "us each", "note"],
    rows: [
      [
        "offer, take, takeExpired and settle",
        measureScheduler(),
        "2x overload, 20 accounts",
      ],
      ["observe a key and a caller", measureHotKeys(), "every key new"],
      [
        "planBalance",
        measurePlan(planBalance),
        `${TARGETS} targets, ${SHARDS} shards`,
      ],
      [
        "planLoss",
        measurePlan((input) => planLoss(input, new Set(["t0"]))),
        `${TARGETS} targets, ${SHARDS} shards`,
      ],
    ],
  };
}

function measureScheduler(): number {
  const scheduler = new TargetScheduler({
    places: PLACES_PER_TARGET,
    maxQueued: 64,
    maxQueueMs: 1_000,
  });
  const random = new SeededRandom(1);
  const running: { readonly id: string; readonly endMs: number }[] = [];
  const startNs = process.hrtime.bigint();
  for (let round = 0; round < ROUNDS; round++) {
    const nowMs = round * 5;
    while (running.length > 0 && running[0]!.endMs <= nowMs) {
      const { id, endMs } = running.shift()!;
      scheduler.settle(id, { kind: "completed", serviceMs: 20 }, endMs);
    }
    scheduler.offer(makeJob(round, random, nowMs), nowMs);
    scheduler.takeExpired(nowMs);
    const step = scheduler.take(nowMs);
    if (step.kind === "run") {
      running.push({ id: step.job.id, endMs: nowMs + 20 });
    }
  }
  return toMicroseconds(startNs, ROUNDS);
}

function measureHotKeys(): number {
  const detector = new HotKeyDetector();
  const startNs = process.hrtime.bigint();
  for (let round = 0; round < ROUNDS; round++) {
    detector.observe("case-files", `key-${round}`, "nile", 5, round);
  }
  return toMicroseconds(startNs, ROUNDS);
}

function measurePlan(plan: (input: PlacementInput) => unknown): number {
  const random = new SeededRandom(1);
  const input: PlacementInput = {
    template: "case-files",
    targets: Array.from({ length: TARGETS }, (_, index) => ({
      id: `t${index}`,
      dataCentre: "bole",
      leaving: false,
      ageMs: Infinity,
    })),
    units: Array.from({ length: SHARDS }, (_, shard) => ({
      unit: `s:${shard}`,
      owner: `t${Math.floor(TARGETS * random.draw() ** 1.5)}`,
      load: random.draw() / 100,
      moving: false,
    })),
    weights: { imbalance: 1, churn: 1, unservedTime: 1 },
    placesPerTarget: PLACES_PER_TARGET,
  };
  const rounds = 100;
  const startNs = process.hrtime.bigint();
  for (let round = 0; round < rounds; round++) {
    plan(input);
  }
  return toMicroseconds(startNs, rounds);
}

function makeJob(
  round: number,
  random: SeededRandom,
  nowMs: number,
): ScheduledJob {
  return {
    id: String(round),
    clientAccount: `member-${random.drawIndex(ACCOUNTS)}`,
    weight: 1,
    template: "case-files",
    unit: "s:1",
    key: `key-${round}`,
    idempotent: true,
    arrivedAtMs: nowMs,
    deadlineAtMs: nowMs + 2_000,
    attempt: 1,
  };
}

function toMicroseconds(startNs: bigint, rounds: number): number {
  return Number(process.hrtime.bigint() - startNs) / PER_NS / rounds;
}
