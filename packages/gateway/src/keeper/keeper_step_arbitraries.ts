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

/** Targets that end and are replaced at their addresses, and late entries. */
const replacementArbitrary: fc.Arbitrary<SimulationStep> = fc.oneof(
  fc.record({
    kind: fc.constant("replace-target" as const),
    target: targetArbitrary,
  }),
  fc.record({
    kind: fc.constantFrom("late-entry" as const, "request-to-former" as const),
    instance: instanceArbitrary,
    target: targetArbitrary,
  }),
);

/** All steps, with a restore of the store in every sixth. */
export const restoreStepArbitrary: fc.Arbitrary<SimulationStep> = fc.oneof(
  { weight: 24, arbitrary: stepArbitrary },
  { weight: 6, arbitrary: restoreArbitrary },
  { weight: 2, arbitrary: lateStoreArbitrary },
  { weight: 5, arbitrary: replacementArbitrary },
  { weight: 2, arbitrary: fc.constant({ kind: "reassign" as const }) },
);

/**
 * A target ends and another process starts at its address; later the entry of
 * the former one is read late, and keys move while both are known.
 */
const lateEntryEpisode: fc.Arbitrary<readonly SimulationStep[]> = fc.tuple(
  targetArbitrary,
  fc.integer({ min: 1_000, max: 7_000 }),
  fc.integer({ min: 20, max: 2_500 }),
  fc.subarray([...KEEPER_INSTANCES], { minLength: 1 }),
  fc.oneof(
    fc.subarray([...KEEPER_TARGETS], { minLength: 1 })
      .map((targets): SimulationStep => ({ kind: "candidates", targets })),
    stepArbitrary,
  ),
).map(([target, agedMs, delayMs, instances, next]) => [
  { kind: "replace-target", target },
  { kind: "wait", ms: agedMs },
  ...instances.map((instance) => ({
    kind: "late-entry" as const,
    instance,
    target,
  })),
  { kind: "wait", ms: delayMs },
  next,
]);

/** Steps among which entries of former processes are read late. */
export const lateEntryStepsArbitrary: fc.Arbitrary<readonly SimulationStep[]> =
  fc.array(
    fc.oneof(
      lateEntryEpisode,
      stepArbitrary.map((step) => [step]),
      replacementArbitrary.map((step) => [step]),
    ),
    { maxLength: 12 },
  ).map((steps) => steps.flat());
