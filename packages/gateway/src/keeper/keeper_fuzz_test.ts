import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  KEEPER_INSTANCES,
  KEEPER_TARGETS,
  runStep,
  type SimulationStep,
} from "./keeper_simulation_steps.ts";
import { KeeperSimulation } from "./keeper_simulation.ts";

const instanceArbitrary = fc.constantFrom(...KEEPER_INSTANCES);
const targetArbitrary = fc.constantFrom(...KEEPER_TARGETS);

const stepArbitrary: fc.Arbitrary<SimulationStep> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("wait" as const),
      ms: fc.integer({ min: 20, max: 6_000 }),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        "kill" as const,
        "start" as const,
        "leave" as const,
      ),
      instance: instanceArbitrary,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant("store" as const),
      instance: instanceArbitrary,
      mood: fc.constantFrom(
        "serving" as const,
        "refusing" as const,
        "silent" as const,
        "losing-answers" as const,
      ),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("peers" as const),
      instance: instanceArbitrary,
      reaches: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("target" as const),
      target: targetArbitrary,
      mood: fc.constantFrom(
        "answering" as const,
        "unreachable" as const,
        "late" as const,
      ),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("reach" as const),
      instance: instanceArbitrary,
      target: targetArbitrary,
      reaches: fc.boolean(),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        "kill-target" as const,
        "restart-target" as const,
        "restart-target" as const,
      ),
      target: targetArbitrary,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant("candidates" as const),
      targets: fc.subarray([...KEEPER_TARGETS], { minLength: 1 }),
    }),
  },
);

/** Runs the steps and returns every violation of sole ownership as text. */
async function runSimulation(
  steps: readonly SimulationStep[],
): Promise<readonly string[]> {
  const simulation = new KeeperSimulation(KEEPER_TARGETS);
  for (const name of KEEPER_INSTANCES) {
    simulation.start(name);
  }
  await simulation.clock.advance(2_000);
  for (const step of steps) {
    await runStep(simulation, step);
  }
  await simulation.clock.advance(3_000);
  return [
    ...simulation.holders.listOverlaps(),
    ...simulation.holders.listStaleTokens(),
  ];
}

test("no key has two holders under any sequence of failures", async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(stepArbitrary, { maxLength: 25 }),
      async (steps) => {
        assert.deepEqual(await runSimulation(steps), []);
      },
    ),
    {
      seed: Number(process.env["FUZZ_SEED"] ?? 31),
      numRuns: Number(process.env["FUZZ_RUNS"] ?? 60),
    },
  );
});

test("counterexample: an ended target is set to answer", async () => {
  // Found by seed 78, 250 runs. The ended target accepted grants again, which
  // no process can do. This was a fault of the fake: its ended targets now stay
  // ended.
  assert.deepEqual(
    await runSimulation([
      { kind: "store", instance: "one", mood: "silent" },
      { kind: "kill-target", target: "b" },
      { kind: "target", target: "b", mood: "answering" },
    ]),
    [],
  );
});

test("counterexample: a target ends while a renewal to it is in flight", async () => {
  // Found by seed 6007, 500 runs. The ended target accepted a renewal sent 1 ms
  // before, and held keys that others were granted at once. This was a fault of
  // the fake: a connection ends with its process.
  assert.deepEqual(
    await runSimulation([
      { kind: "wait", ms: 2_616 },
      { kind: "kill-target", target: "a" },
    ]),
    [],
  );
});
