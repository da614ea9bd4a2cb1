/** Keepers whose machines are gone for good: how long a successor waits. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { KeeperSimulation } from "./keeper_simulation.ts";

const NAMES = ["one", "two", "three"] as const;
const KEYS = Array.from({ length: 64 }, (_, index) => index * 1_024 + 5);
const STEP_MS = 50;
/** Within this time after any restart of all, every key is served again. */
const MAX_UNSERVED_MS = 15_000;

interface Started {
  readonly simulation: KeeperSimulation;
  readonly keeper: string;
  /** The other instances of the first start. */
  readonly others: readonly string[];
}

async function startInstances(): Promise<Started> {
  const simulation = new KeeperSimulation(["a", "b", "c"]);
  NAMES.forEach((name) => simulation.start(name));
  await simulation.clock.advance(6_000);
  const keeper = simulation.findKeeper()!;
  const others = NAMES.filter((name) => name !== keeper);
  return { simulation, keeper, others };
}

/** Lets a target vanish without proof: no instance reaches it any more. */
function removeTarget(simulation: KeeperSimulation, target: string): void {
  [...NAMES, "four"].forEach((name) =>
    simulation.setTargetConnectivity(name, target, false)
  );
  simulation.setCandidates(["a", "b", "c"].filter((id) => id !== target));
}

/** How long it takes until the remaining targets hold all keys. */
async function waitUntilServed(
  simulation: KeeperSimulation,
  removed: string,
): Promise<number> {
  for (let elapsedMs = 0; elapsedMs < 70_000; elapsedMs += STEP_MS) {
    const holders = KEYS.map((key) => simulation.holders.findHolder(key));
    if (!holders.includes(undefined) && !holders.includes(removed)) {
      return elapsedMs;
    }
    await simulation.clock.advance(STEP_MS);
  }
  return Infinity;
}

function assertSoleOwners(simulation: KeeperSimulation): void {
  assert.deepEqual(simulation.holders.listOverlaps(), []);
  assert.deepEqual(simulation.holders.listStaleTokens(), []);
}

/** Removes the keeper's machine and lets an instance claim that came later. */
async function startReplacement(
  { simulation, keeper, others }: Started,
): Promise<void> {
  simulation.kill(keeper);
  others.forEach((name) => simulation.store.setFaultMode(name, "silent"));
  simulation.start("four");
  await simulation.clock.advance(4_000);
  assert.equal(simulation.findKeeper(), "four");
}

test("an instance that came later does not wait a minute for a keeper whose machine is gone", async () => {
  const started = await startInstances();
  const { simulation } = started;
  await startReplacement(started);
  removeTarget(simulation, "c");
  const unservedMs = await waitUntilServed(simulation, "c");
  assert.ok(unservedMs <= MAX_UNSERVED_MS, `${unservedMs} ms`);
  assertSoleOwners(simulation);
});

test("after a restart of all, no key waits a minute for a keeper whose machine is gone", async () => {
  const started = await startInstances();
  const { simulation, others } = started;
  await startReplacement(started);
  [...others, "four"].forEach((name) => {
    simulation.kill(name);
    simulation.store.setFaultMode(name, "serving");
  });
  removeTarget(simulation, "c");
  await simulation.clock.advance(1_000);
  [...others, "four"].forEach((name) => simulation.start(name));
  const unservedMs = await waitUntilServed(simulation, "c");
  assert.ok(unservedMs <= MAX_UNSERVED_MS, `${unservedMs} ms`);
  assertSoleOwners(simulation);
});

test("an instance that came later waits for a keeper that acts on pledges", async () => {
  // The keeper and its witnesses lack the store; only the keeper reaches "c".
  for (let claimedAfterMs = 0; claimedAfterMs <= 3_000; claimedAfterMs += 300) {
    const { simulation } = await startInstances();
    NAMES.forEach((name) => simulation.store.setFaultMode(name, "silent"));
    await simulation.clock.advance(claimedAfterMs);
    simulation.start("four");
    simulation.setTargetConnectivity("four", "c", false);
    await simulation.clock.advance(4_000);
    assert.ok(simulation.findKeeper() !== undefined);
    simulation.setCandidates(["a", "b"]);
    const unservedMs = await waitUntilServed(simulation, "c");
    assert.ok(unservedMs <= MAX_UNSERVED_MS, `${unservedMs} ms`);
    assertSoleOwners(simulation);
  }
});

test("a keeper whose datagrams reach its witnesses only is waited for", async () => {
  // It renews target "c" on pledges, and the successor's notices do not arrive.
  const { simulation, keeper, others } = await startInstances();
  NAMES.forEach((name) => simulation.store.setFaultMode(name, "silent"));
  await simulation.clock.advance(5_000);
  simulation.start("four");
  simulation.setTargetConnectivity("four", "c", false);
  simulation.closePeerPath("four", keeper);
  await simulation.clock.advance(1_000);
  simulation.setCandidates(["a", "b"]);
  const unservedMs = await waitUntilServed(simulation, "c");
  assert.ok(unservedMs <= MAX_UNSERVED_MS, `${unservedMs} ms`);
  assert.ok(others.every((name) => simulation.isRunning(name)));
  assertSoleOwners(simulation);
});

for (const successor of ["two", "four"]) {
  const role = successor === "four" ? "no witness" : "a witness";
  test(`a keeper does not act again on pledges of restarted witnesses, after a successor that was ${role}`, async () => {
    // The keeper is cut off with "c"; the successor moves its keys and is killed.
    const simulation = new KeeperSimulation(["a", "b", "c"]);
    simulation.start("one");
    await simulation.clock.advance(3_000);
    ["two", "three"].forEach((name) => simulation.start(name));
    await simulation.clock.advance(20_000);
    assert.equal(simulation.findKeeper(), "one");
    NAMES.forEach((name) => simulation.store.setFaultMode(name, "silent"));
    await simulation.clock.advance(5_000);
    simulation.store.setFaultMode(successor, "serving");
    if (!simulation.isRunning(successor)) {
      simulation.start(successor);
    }
    simulation.setTargetConnectivity(successor, "c", false);
    simulation.setPeerConnectivity("one", false);
    await simulation.clock.advance(500);
    simulation.setCandidates(["a", "b"]);
    const unservedMs = await waitUntilServed(simulation, "c");
    assert.ok(unservedMs <= MAX_UNSERVED_MS, `${unservedMs} ms`);
    simulation.kill(successor);
    simulation.store.setFaultMode(successor, "silent");
    ["two", "three"].forEach((name) => simulation.start(name));
    simulation.setPeerConnectivity("one", true);
    await simulation.clock.advance(20_000);
    assertSoleOwners(simulation);
  });
}

test("a keeper without the store acts again once its witnesses are reached again", async () => {
  const { simulation, keeper } = await startInstances();
  await simulation.clock.advance(12_000);
  NAMES.forEach((name) => simulation.store.setFaultMode(name, "silent"));
  await simulation.clock.advance(4_000);
  simulation.setPeerConnectivity(keeper, false);
  await simulation.clock.advance(15_000);
  assert.equal(simulation.holders.findHolder(5), undefined);
  simulation.setPeerConnectivity(keeper, true);
  await simulation.clock.advance(2_000);
  assert.ok(simulation.holders.findHolder(5) !== undefined);
  assertSoleOwners(simulation);
});
