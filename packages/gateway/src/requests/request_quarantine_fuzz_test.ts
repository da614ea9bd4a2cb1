import assert from "node:assert/strict";
import process from "node:process";
import { test } from "node:test";
import fc from "fast-check";
import {
  type QuarantineFault,
  type QuarantineTrial,
  runQuarantineTrial,
} from "./quarantine_trial.ts";

const ALLOWED_LATE_SENDS = 3;
/**
 * Longest time for which a harmless request is refused while targets are known:
 * until its early trial, and until a second one where the response to the first
 * is lost.
 */
const MAX_REFUSED_MS = 5_000;
const DURATION_MS = 20_000;

function createTrials(
  instances: readonly number[],
): fc.Arbitrary<QuarantineTrial> {
  const fault: fc.Arbitrary<QuarantineFault> = fc.record({
    atMs: fc.integer({ min: 500, max: DURATION_MS - 4_000 }),
    instance: fc.nat({ max: 80 }),
    kind: fc.constantFrom(
      "restart",
      "silent",
      "resetting",
      "refusing-new",
    ),
    forMs: fc.integer({ min: 500, max: 8_000 }),
    share: fc.constantFrom(0.2, 0.5, 1),
  });
  return fc.record({
    durationMs: fc.constant(DURATION_MS),
    instances: fc.constantFrom(...instances),
    targets: fc.integer({ min: 8, max: 20 }),
    keyed: fc.boolean(),
    restartsUnderSameId: fc.boolean(),
    entryDelayMs: fc.constantFrom(0, 0, 1_500, 6_000),
    lostDatagrams: fc.constantFrom(0, 0.1, 0.4),
    lostResponses: fc.constantFrom(0, 0.03, 0.2),
    fatalEveryMs: fc.constantFrom(70, 400, 1_700, 3_300),
    harmlessEveryMs: fc.constantFrom(15, 60, 250),
    faults: fc.array(fault, { maxLength: 5 }),
  });
}

async function checkTrial(trial: QuarantineTrial): Promise<void> {
  const { lateSends, crashes, refusedMs } = await runQuarantineTrial(trial);
  assert.ok(
    lateSends <= ALLOWED_LATE_SENDS,
    `${lateSends} late sends of the fatal request, ${crashes} crashes`,
  );
  assert.ok(
    refusedMs <= MAX_REFUSED_MS + trial.entryDelayMs,
    `a harmless request was refused for ${refusedMs} ms, ${crashes} crashes`,
  );
}

test("a fatal request is not sent again whatever is lost, delayed or restarted, and harmless ones are not held back", async () => {
  await fc.assert(
    fc.asyncProperty(createTrials([2, 3, 5, 9]), checkTrial),
    {
      seed: Number(process.env.FUZZ_SEED ?? 62),
      numRuns: Number(process.env.FUZZ_RUNS ?? 12),
    },
  );
});

test("the same holds with as many instances as are deployed", async () => {
  await fc.assert(
    fc.asyncProperty(createTrials([81]), checkTrial),
    { seed: Number(process.env.FUZZ_SEED ?? 81), numRuns: 1 },
  );
});
