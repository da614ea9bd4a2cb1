import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestSimulation } from "./request_simulation.ts";

const INSTANCES = ["bole-0", "kirkos-1", "yeka-2"];
const DATA_CENTRES = ["bole", "kirkos", "yeka"];
const EVACUATION_MS = 5_000;
const EVERY_MS = 10;
/** For so long restored targets are taken for cold. */
const PRESUMED_COLD_MS = 2_000;

function createWorld(keyed: boolean): RequestSimulation {
  return new RequestSimulation({
    instances: INSTANCES,
    targets: 6,
    keyed,
    dataCentres: DATA_CENTRES,
    route: { timeoutMs: 10_000, goalMs: 4_000 },
  });
}

/** Callers at all instances ask for all keys alike. */
async function sendLoad(world: RequestSimulation, forMs: number) {
  const tally = { answered: 0, failed: 0 };
  const started = world.clock.readMs();
  for (let nth = 0; world.clock.readMs() - started < forMs; nth++) {
    const instance = INSTANCES[nth % INSTANCES.length]!;
    const key = (nth * 7_919) % 65_536;
    void world.send(instance, { key, path: `/files/${nth}`, deadlineMs: 9_000 })
      .then(({ kind }) => tally[kind]++);
    await world.clock.advance(EVERY_MS);
  }
  return tally;
}

function countArrivals(
  world: RequestSimulation,
  place: string,
  afterMs: number,
) {
  return world.arrivals.filter(({ targetId, atMs }) =>
    world.getDataCentre(targetId) === place && atMs > afterMs
  ).length;
}

for (const keyed of [true, false]) {
  const kind = keyed ? "own keys" : "own no keys";
  test(`nothing reaches evacuated targets that ${kind}`, async () => {
    const world = createWorld(keyed);
    await sendLoad(world, 1_000);
    const orderedMs = world.clock.readMs();
    world.setEvacuated("kirkos", true);
    await sendLoad(world, 500);
    world.assignKeysTo(["bole", "yeka"]);
    const { answered, failed } = await sendLoad(world, 6_000);
    assert.equal(countArrivals(world, "kirkos", orderedMs + EVACUATION_MS), 0);
    assert.ok(failed <= 0.01 * answered, `${failed} failed`);
  });

  test(`restored targets that ${kind} get requests again`, async () => {
    const world = createWorld(keyed);
    world.setEvacuated("kirkos", true);
    world.assignKeysTo(["bole", "yeka"]);
    await sendLoad(world, 1_000);
    world.setEvacuated("kirkos", false);
    world.assignKeysTo(DATA_CENTRES);
    await sendLoad(world, PRESUMED_COLD_MS);
    const warmMs = world.clock.readMs();
    await sendLoad(world, 1_000);
    assert.ok(countArrivals(world, "kirkos", warmMs) > 10);
  });
}

test("keys that do not move are not served at evacuated targets", async () => {
  const world = createWorld(true);
  world.setEvacuated("kirkos", true);
  const orderedMs = world.clock.readMs();
  await sendLoad(world, 8_000);
  assert.equal(countArrivals(world, "kirkos", orderedMs + EVACUATION_MS), 0);
});

test("a request that waits for a place does not wait for an evacuated one", async () => {
  const world = new RequestSimulation({
    instances: INSTANCES,
    targets: 3,
    keyed: false,
    dataCentres: DATA_CENTRES,
    route: { timeoutMs: 20_000, goalMs: 15_000 },
    target: { workMs: 1_500 },
  });
  for (let nth = 0; nth < 40; nth++) {
    void world.send("bole-0", { deadlineMs: 19_000, path: `/files/${nth}` });
  }
  world.setEvacuated("kirkos", true);
  await world.clock.advance(20_000);
  assert.equal(countArrivals(world, "kirkos", 100), 0);
});

test("callers are told at once that all data centres are evacuated", async () => {
  const world = createWorld(false);
  DATA_CENTRES.forEach((one) => world.setEvacuated(one, true));
  const sentMs = world.clock.readMs();
  const answer = world.send("bole-0", { deadlineMs: 9_000 });
  await world.clock.advance(100);
  const failed = await answer;
  assert.ok(failed.kind === "failed");
  assert.equal(failed.failure, "no-target");
  assert.match(failed.message, /evacuated data centres: bole, kirkos, yeka/);
  assert.ok(world.clock.readMs() - sentMs <= 100);
});
