/** Draws the steps of a keeper simulation, for fuzz tests. */
import fc from "fast-check";
import {
  KEEPER_INSTANCES,
  KEEPER_TARGETS,
  type SimulationStep,
} from "./keeper_simulation_steps.ts";

const instanceArbitrary = fc.constantFrom(...KEEPER_INSTANCES);
const targetArbitrary = fc.constantFrom(...KEEPER_TARGETS);

/** Steps without a restore of the store. */
export const stepArbitrary: fc.Arbitrary<SimulationStep> = fc.oneof(
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

/** A restore from a copy of 0.1 to 10 s, after up to 3 s without answers. */
const restoreArbitrary: fc.Arbitrary<SimulationStep> = fc.record({
  kind: fc.constant("restore-store" as const),
  copyAgeMs: fc.integer({ min: 100, max: 10_000 }),
  awayMs: fc.integer({ min: 0, max: 3_000 }),
});

const lateStoreArbitrary: fc.Arbitrary<SimulationStep> = fc.record({
  kind: fc.constant("store" as const),
  instance: instanceArbitrary,
  mood: fc.constant("late" as const),
});

/** All steps, with a restore of the store in every fifth. */
export const restoreStepArbitrary: fc.Arbitrary<SimulationStep> = fc.oneof(
  { weight: 24, arbitrary: stepArbitrary },
  { weight: 6, arbitrary: restoreArbitrary },
  { weight: 2, arbitrary: lateStoreArbitrary },
  { weight: 2, arbitrary: fc.constant({ kind: "reassign" as const }) },
);
