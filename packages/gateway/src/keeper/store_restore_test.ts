import assert from "node:assert/strict";
import { test } from "node:test";
import { KeeperSimulation } from "./keeper_simulation.ts";

/** Starts instances, and lets their keeper move keys within the last seconds. */
async function startWithRecentMoves(
  names: readonly string[] = ["one"],
): Promise<KeeperSimulation> {
  const simulation = new KeeperSimulation(["a", "b", "c"]);
  names.forEach((name) => simulation.start(name));
  await simulation.clock.advance(6_000);
  simulation.setCandidates(["b", "c"]);
  await simulation.clock.advance(2_000);
  simulation.setCandidates(["a", "c"]);
  await simulation.clock.advance(2_000);
  return simulation;
}

function listViolations({ holders }: KeeperSimulation): readonly string[] {
  return [...holders.listOverlaps(), ...holders.listStaleTokens()];
}

test(
  "a keeper grants no key under a lower token after a restore of the store",
  async () => {
    const simulation = await startWithRecentMoves();
    simulation.restoreStore({ copyAgeMs: 5_000, awayMs: 800 });
    await simulation.clock.advance(1_500);
    simulation.setCandidates(["a", "b"]);
    await simulation.clock.advance(6_000);
    assert.deepEqual(listViolations(simulation), []);
  },
);

test(
  "a successor that knows only the copy waits for the holds of lost records",
  async () => {
    const simulation = await startWithRecentMoves();
    simulation.restoreStore({ copyAgeMs: 5_000, awayMs: 800 });
    simulation.kill("one");
    simulation.start("two");
    await simulation.clock.advance(8_000);
    assert.deepEqual(listViolations(simulation), []);
  },
);

test(
  "a successor waits for a keeper whose claim is lost and that cannot know it",
  async () => {
    const simulation = await startWithRecentMoves(["one", "two"]);
    const killed = simulation.findKeeper()!;
    const keeper = killed === "one" ? "two" : "one";
    simulation.kill(killed);
    await simulation.clock.advance(6_500);
    simulation.setCandidates(["b", "c"]);
    await simulation.clock.advance(1_500);
    assert.equal(simulation.findKeeper(), keeper);
    simulation.setPeerConnectivity(keeper, false);
    simulation.store.setFaultMode(keeper, "silent");
    simulation.restoreStore({ copyAgeMs: 8_000, awayMs: 800 });
    simulation.start(killed);
    await simulation.clock.advance(12_000);
    assert.deepEqual(listViolations(simulation), []);
  },
);

const STEP_MS = 50;
const KEYS = Array.from({ length: 64 }, (_, index) => index * 1_024 + 5);

function listKeyHolders(
  { holders }: KeeperSimulation,
): readonly (string | undefined)[] {
  return KEYS.map((key) => holders.findHolder(key));
}

test("a living keeper keeps all keys served through a restore, and moves them at once", async () => {
  const simulation = await startWithRecentMoves(["one", "two", "three"]);
  simulation.restoreStore({ copyAgeMs: 5_000, awayMs: 2_300 });
  for (let elapsedMs = 0; elapsedMs < 3_500; elapsedMs += STEP_MS) {
    await simulation.clock.advance(STEP_MS);
    assert.ok(
      !listKeyHolders(simulation).includes(undefined),
      `a key has no holder after ${elapsedMs} ms`,
    );
  }
  simulation.setCandidates(["a", "b"]);
  await simulation.clock.advance(1_000);
  const holders = listKeyHolders(simulation);
  assert.ok(!holders.includes("c") && !holders.includes(undefined));
  assert.deepEqual(listViolations(simulation), []);
});

test("a keeper that has claimed again after an outage is not replaced without a handover", async () => {
  const simulation = await startWithRecentMoves(["one", "two", "three"]);
  simulation.restoreStore({ copyAgeMs: 5_000, awayMs: 2_300 });
  await simulation.clock.advance(3_200);
  simulation.store.moveParts();
  const before = simulation.events.length;
  await simulation.clock.advance(10_000);
  const claims = simulation.events.slice(before)
    .flatMap((event) => event.kind === "claimed" ? [event.predecessor] : []);
  assert.deepEqual(claims, ["resigned"]);
});

test("an instance that has not read the keeper's new claim can still succeed it", async () => {
  const simulation = await startWithRecentMoves(["one", "two"]);
  simulation.restoreStore({ copyAgeMs: 5_000 });
  await simulation.clock.advance(5_000);
  const keeper = simulation.findKeeper()!;
  const successor = keeper === "one" ? "two" : "one";
  simulation.store.setFaultMode(successor, "silent");
  simulation.start(keeper);
  await simulation.clock.advance(4_000);
  simulation.advanceView(successor);
  simulation.store.setFaultMode(successor, "serving");
  simulation.kill(keeper);
  await simulation.clock.advance(15_000);
  assert.ok(!listKeyHolders(simulation).includes(undefined));
  assert.deepEqual(listViolations(simulation), []);
});
