import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { test } from "node:test";
import {
  KEEPER_INSTANCES,
  KEEPER_TARGETS,
  runStep,
  type SimulationStep,
} from "./keeper_simulation_steps.ts";
import { KeeperSimulation } from "./keeper_simulation.ts";

/** A recorded sequence of events and its expected outcome. */
interface Trace {
  /** What happens in which order, as a user would see it. */
  readonly about: string;
  readonly steps: readonly SimulationStep[];
  readonly outcome: {
    /** Longest time in which some key had no holder. */
    readonly unservedMsMax: number;
    /** Whether some key has a different owner at the end. */
    readonly moved: boolean;
  };
}

const DIRECTORY = new URL("../../traces/", import.meta.url);
/** Stands in a trace for the instance that keeps the keys at its start. */
const KEEPER = '"KEEPER"';
const SETTLE_MS = 5_000;
const POLL_MS = 20;
const KEYS = Array.from({ length: 64 }, (_, index) => index * 1_024 + 5);

/**
 * Runs the trace and returns the longest time in which some key had no holder.
 * Splits waits into short ones, so that a gap is measured over its full length.
 */
async function replay(
  simulation: KeeperSimulation,
  trace: Trace,
): Promise<number> {
  let unservedMs = 0;
  let longestMs = 0;
  for (const step of trace.steps) {
    if (step.kind !== "wait") {
      await runStep(simulation, step);
      continue;
    }
    for (let waitedMs = 0; waitedMs < step.ms; waitedMs += POLL_MS) {
      await simulation.clock.advance(POLL_MS);
      const isServed = KEYS
        .every((key) => simulation.holders.findHolder(key) !== undefined);
      unservedMs = isServed ? 0 : unservedMs + POLL_MS;
      longestMs = Math.max(longestMs, unservedMs);
    }
  }
  return longestMs;
}

for (const file of readdirSync(DIRECTORY).sort()) {
  test(`replay of ${file}`, async () => {
    const text = readFileSync(new URL(file, DIRECTORY), "utf8");
    const simulation = new KeeperSimulation(KEEPER_TARGETS);
    KEEPER_INSTANCES.forEach((name) => simulation.start(name));
    await simulation.clock.advance(SETTLE_MS);
    const keeper = JSON.stringify(simulation.findKeeper());
    const trace = JSON.parse(text.replaceAll(KEEPER, keeper)) as Trace;
    const listOwners = () =>
      KEYS.map((key) => simulation.holders.findHolder(key));
    const before = listOwners();
    const unservedMs = await replay(simulation, trace);
    const { outcome, about } = trace;
    assert.ok(unservedMs <= outcome.unservedMsMax, `${unservedMs}: ${about}`);
    const after = listOwners();
    assert.ok(after.every((owner) => owner !== undefined), about);
    const hasMoved = after.some((owner, index) => owner !== before[index]);
    assert.equal(hasMoved, outcome.moved, about);
    assert.deepEqual(simulation.holders.listOverlaps(), [], about);
    assert.deepEqual(simulation.holders.listStaleTokens(), [], about);
  });
}
