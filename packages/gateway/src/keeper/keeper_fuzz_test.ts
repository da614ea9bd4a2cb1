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

const instance = fc.constantFrom(...KEEPER_INSTANCES);
const target = fc.constantFrom(...KEEPER_TARGETS);

const step: fc.Arbitrary<SimulationStep> = fc.oneof(
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
      instance,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant("store" as const),
      instance,
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
      instance,
      reaches: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("target" as const),
      target,
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
      instance,
      target,
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
      target,
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

/** Runs the steps; what breaks sole ownership comes back as text. */
async function runWorld(
  steps: readonly SimulationStep[],
): Promise<readonly string[]> {
  const world = new KeeperSimulation(KEEPER_TARGETS);
  for (const name of KEEPER_INSTANCES) {
    world.start(name);
  }
  await world.clock.advance(2_000);
  for (const one of steps) {
    await runStep(world, one);
  }
  await world.clock.advance(3_000);
  return [...world.holders.listOverlaps(), ...world.holders.listStaleTokens()];
}

test("no key ever has two holders, whatever fails in whatever order", async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: 25 }), async (steps) => {
      assert.deepEqual(await runWorld(steps), []);
    }),
    {
      seed: Number(process.env["FUZZ_SEED"] ?? 31),
      numRuns: Number(process.env["FUZZ_RUNS"] ?? 60),
    },
  );
});

test("counter-example: a target that has ended is told to answer", async () => {
  // Found by seed 78, 250 runs. The ended target took grants again, which no
  // process can do: a fault of the fake, whose ended targets now stay so.
  assert.deepEqual(
    await runWorld([
      { kind: "store", instance: "one", mood: "silent" },
      { kind: "kill-target", target: "b" },
      { kind: "target", target: "b", mood: "answering" },
    ]),
    [],
  );
});

test("counter-example: a target ends while a renewal is on its way to it", async () => {
  // Found by seed 6007, 500 runs. The ended target took the renewal that was
  // sent 1 ms before, and held keys that others were granted at once: a fault of
  // the fake, since a connection ends with its process.
  assert.deepEqual(
    await runWorld([
      { kind: "wait", ms: 2_616 },
      { kind: "kill-target", target: "a" },
    ]),
    [],
  );
});
