import assert from "node:assert/strict";
import { test } from "node:test";
import { KeeperSimulation } from "./keeper_simulation.ts";

const TARGETS = ["a", "b", "c", "d"];
const KEYS = Array.from({ length: 64 }, (_, index) => index * 1_024 + 5);
const STEP_MS = 100;
/** Keys are held again this long after their keeper lost its paths. */
const HELD_AGAIN_MS = 3_000;
const LOST_MS = 12_000;

async function startInstances(): Promise<KeeperSimulation> {
  const simulation = new KeeperSimulation(TARGETS);
  ["one", "two", "three"].forEach((name) => simulation.start(name));
  await simulation.clock.advance(6_000);
  return simulation;
}

/** Returns the times at which a key had no holder. */
async function listUnheldTimes(
  simulation: KeeperSimulation,
): Promise<readonly number[]> {
  const times: number[] = [];
  for (let elapsedMs = 0; elapsedMs < LOST_MS; elapsedMs += STEP_MS) {
    await simulation.clock.advance(STEP_MS);
    const { holders } = simulation;
    if (
      elapsedMs >= HELD_AGAIN_MS &&
      KEYS.some((key) => holders.findHolder(key) === undefined)
    ) {
      times.push(elapsedMs);
    }
  }
  return times;
}

test("keys stay held while their keeper cannot reach any target", async () => {
  const simulation = await startInstances();
  const keeper = simulation.findKeeper()!;
  for (const target of TARGETS) {
    simulation.setTargetConnectivity(keeper, target, false);
  }
  assert.deepEqual(await listUnheldTimes(simulation), []);
  assert.deepEqual(simulation.holders.listOverlaps(), []);
});

test("a keeper does not move keys away from targets that only it cannot reach", async () => {
  const simulation = await startInstances();
  const keeper = simulation.findKeeper()!;
  const owners = KEYS.map((key) => simulation.holders.findHolder(key));
  for (const target of TARGETS.slice(0, 3)) {
    simulation.setTargetConnectivity(keeper, target, false);
  }
  assert.deepEqual(await listUnheldTimes(simulation), []);
  assert.deepEqual(
    KEYS.map((key) => simulation.holders.findHolder(key)),
    owners,
  );
  assert.deepEqual(simulation.holders.listOverlaps(), []);
});
