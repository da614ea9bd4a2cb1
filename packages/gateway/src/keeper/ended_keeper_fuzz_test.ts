/**
 * Series of store outages, machines that are gone for good and restarts of all
 * instances, in which keepers of old terms stay unresolved.
 */
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
import { stepArbitrary } from "./keeper_step_arbitraries.ts";

/** The last instances start later, each in place of a machine that is gone. */
const NEW_INSTANCES = ["four", "five", "six"] as const;
const ALL_INSTANCES = [...KEEPER_INSTANCES, ...NEW_INSTANCES];
const SETTLE_MS = 2_000;
/** All keys are served again this long after the last restart of all. */
const RECOVERY_MS = 15_000;
const KEYS = Array.from({ length: 64 }, (_, index) => index * 1_024 + 5);

interface Episode {
  /** Instances that the store does not answer. */
  readonly cutOff: readonly string[];
  readonly mood: "silent" | "refusing";
  readonly outageMs: number;
  readonly steps: readonly SimulationStep[];
  /** A machine that is gone for good is replaced by another one. */
  readonly gone: string | undefined;
  readonly goneMs: number;
  readonly restartsAll: boolean;
  readonly downMs: number;
}

const episodeArbitrary: fc.Arbitrary<Episode> = fc.record({
  cutOff: fc.subarray([...ALL_INSTANCES]),
  mood: fc.constantFrom("silent" as const, "refusing" as const),
  outageMs: fc.integer({ min: 100, max: 8_000 }),
  steps: fc.array(stepArbitrary, { maxLength: 4 }),
  gone: fc.option(fc.constantFrom(...ALL_INSTANCES), { nil: undefined }),
  goneMs: fc.integer({ min: 50, max: 6_000 }),
  restartsAll: fc.boolean(),
  downMs: fc.integer({ min: 0, max: 2_000 }),
});

class Series {
  readonly simulation = new KeeperSimulation(KEEPER_TARGETS);
  /** Instances whose machines stand, running or not. */
  #standing: readonly string[] = KEEPER_INSTANCES;
  #startedCount = 0;

  async run(episodes: readonly Episode[]): Promise<readonly string[]> {
    KEEPER_INSTANCES.forEach((name) => this.simulation.start(name));
    await this.simulation.clock.advance(SETTLE_MS);
    for (const episode of episodes) {
      await this.#runEpisode(episode);
    }
    return await this.#listFaults();
  }

  async #runEpisode(episode: Episode): Promise<void> {
    const { clock, store } = this.simulation;
    const { cutOff, mood, gone } = episode;
    cutOff.forEach((name) => store.setFaultMode(name, mood));
    await clock.advance(episode.outageMs);
    for (const step of episode.steps.filter((one) => this.#isPossible(one))) {
      await runStep(this.simulation, step);
    }
    if (gone !== undefined) {
      this.#startInPlace(gone);
      await clock.advance(episode.goneMs);
    }
    ALL_INSTANCES.forEach((name) => store.setFaultMode(name, "serving"));
    if (episode.restartsAll) {
      this.#standing.forEach((name) => this.simulation.kill(name));
      await clock.advance(episode.downMs);
      this.#standing.forEach((name) => this.simulation.start(name));
    }
  }

  /** An instance whose machine is gone never starts again. */
  #isPossible(step: SimulationStep): boolean {
    return step.kind !== "start" || this.#standing.includes(step.instance);
  }

  #startInPlace(gone: string): void {
    const successor = NEW_INSTANCES[this.#startedCount];
    if (!this.#standing.includes(gone) || successor === undefined) {
      return;
    }
    this.#startedCount++;
    this.simulation.kill(gone);
    this.#standing = [
      ...this.#standing.filter((name) => name !== gone),
      successor,
    ];
    this.simulation.start(successor);
  }

  /**
   * Ends all faults but that one target stays gone without proof, restarts all,
   * and lists what is wrong later.
   */
  async #listFaults(): Promise<readonly string[]> {
    const { simulation } = this;
    const targets = KEEPER_TARGETS.filter((id) => !simulation.hasEnded(id));
    const [removed, ...left] = targets;
    for (const name of this.#standing) {
      simulation.setPeerConnectivity(name, true);
      simulation.kill(name);
      for (const target of left) {
        simulation.setTargetConnectivity(name, target, true);
      }
    }
    left.forEach((id) => simulation.holders.setFaultMode(id, "answering"));
    if (removed !== undefined) {
      simulation.holders.setFaultMode(removed, "unreachable");
    }
    this.#standing.forEach((name) => simulation.start(name));
    simulation.setCandidates(left);
    await simulation.clock.advance(RECOVERY_MS);
    const unserved = KEYS
      .filter((key) => simulation.holders.findHolder(key) === undefined);
    return [
      ...simulation.holders.listOverlaps(),
      ...simulation.holders.listStaleTokens(),
      ...(left.length > 0 ? unserved.map((key) => `no holder of ${key}`) : []),
    ];
  }
}

test("no key has two holders, or none for long, after outages and restarts of all in series", async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(episodeArbitrary, { minLength: 1, maxLength: 4 }),
      async (episodes) => {
        assert.deepEqual(await new Series().run(episodes), []);
      },
    ),
    {
      seed: Number(process.env["FUZZ_SEED"] ?? 53),
      numRuns: Number(process.env["FUZZ_RUNS"] ?? 20),
    },
  );
});

const CALM: Episode = {
  cutOff: [],
  mood: "silent",
  outageMs: 100,
  steps: [],
  gone: undefined,
  goneMs: 50,
  restartsAll: false,
  downMs: 0,
};

test("counterexample: a keeper that heard of no other instance before its machine was gone", async () => {
  // Found by seed 4902, 100 runs: its last record named no witness.
  const steps = [{ kind: "peers", instance: "one", reaches: false }] as const;
  const episodes = [{ ...CALM, steps }, { ...CALM, gone: "one" }];
  assert.deepEqual(await new Series().run(episodes), []);
});

test("counterexample: a keeper whose machine was gone before its first record of witnesses", async () => {
  // Found by seed 4902, 60 runs: nothing but the claim named its witnesses.
  const steps = [{ kind: "wait", ms: 1_500 }] as const;
  const episodes = [
    { ...CALM, restartsAll: true },
    { ...CALM, steps, gone: "one" },
  ];
  assert.deepEqual(await new Series().run(episodes), []);
});

test(
  "counterexample: a keeper that heard of nobody after a restart of all, before its machine was gone",
  {
    todo: "KNOWN-RED.txt",
  },
  async () => {
    // Found by seed 4911, 60 runs: its claim named no witness.
    const peers = { kind: "peers", instance: "one", reaches: false } as const;
    const wait = { kind: "wait", ms: 1_500 } as const;
    const episodes = [
      { ...CALM, steps: [peers], restartsAll: true },
      { ...CALM, steps: [wait], gone: "one" },
      CALM,
    ];
    assert.deepEqual(await new Series().run(episodes), []);
  },
);
