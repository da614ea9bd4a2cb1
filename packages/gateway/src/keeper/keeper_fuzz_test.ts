import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  KEEPER_INSTANCES,
  KEEPER_TARGETS,
  runStep,
  type SimulationStep,
} from "./keeper_simulation_steps.ts";
import { stepArbitrary } from "./keeper_step_arbitraries.ts";
import { KeeperSimulation } from "./keeper_simulation.ts";

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
