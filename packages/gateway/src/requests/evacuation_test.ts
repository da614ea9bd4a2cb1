import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestSimulation } from "./request_simulation.ts";

const INSTANCES = ["bole-0", "kirkos-1", "yeka-2"];
const DATA_CENTRES = ["bole", "kirkos", "yeka"];
const EVACUATION_MS = 5_000;
const REQUEST_INTERVAL_MS = 10;
/** Restored targets are treated as cold for this long. */
const PRESUMED_COLD_MS = 2_000;

function createSimulation(keyed: boolean): RequestSimulation {
  return new RequestSimulation({
    instances: INSTANCES,
    targets: 6,
    keyed,
    dataCentres: DATA_CENTRES,
    route: { timeoutMs: 10_000, goalMs: 4_000 },
  });
}

/**
 * Sends requests through all instances in turn, with keys in a fixed order that
 * spreads them evenly and with a deadline longer than the evacuation.
 */
async function sendSteadyLoad(simulation: RequestSimulation, forMs: number) {
  const counts = { answered: 0, failed: 0 };
  const startedAtMs = simulation.clock.readMs();
  for (
    let index = 0;
    simulation.clock.readMs() - startedAtMs < forMs;
    index++
  ) {
    const instance = INSTANCES[index % INSTANCES.length]!;
    const key = (index * 7_919) % 65_536;
    void simulation.send(instance, {
      key,
      path: `/files/${index}`,
      deadlineMs: 9_000,
    })
      .then(({ kind }) => counts[kind]++);
    await simulation.clock.advance(REQUEST_INTERVAL_MS);
  }
  return counts;
}

function countArrivals(
  simulation: RequestSimulation,
  dataCentre: string,
  afterMs: number,
) {
  return simulation.arrivals.filter(({ targetId, atMs }) =>
    simulation.getDataCentre(targetId) === dataCentre && atMs > afterMs
  ).length;
}

for (const keyed of [true, false]) {
  const kind = keyed ? "own keys" : "own no keys";
  test(`evacuated targets that ${kind} receive no requests`, async () => {
    const simulation = createSimulation(keyed);
    await sendSteadyLoad(simulation, 1_000);
    const orderedMs = simulation.clock.readMs();
    simulation.setEvacuated("kirkos", true);
    await sendSteadyLoad(simulation, 500);
    simulation.assignKeysTo(["bole", "yeka"]);
    const { answered, failed } = await sendSteadyLoad(simulation, 6_000);
    assert.equal(
      countArrivals(simulation, "kirkos", orderedMs + EVACUATION_MS),
      0,
    );
    assert.ok(failed <= 0.01 * answered, `${failed} requests failed`);
  });

  test(`restored targets that ${kind} receive requests again`, async () => {
    const simulation = createSimulation(keyed);
    simulation.setEvacuated("kirkos", true);
    simulation.assignKeysTo(["bole", "yeka"]);
    await sendSteadyLoad(simulation, 1_000);
    simulation.setEvacuated("kirkos", false);
    simulation.assignKeysTo(DATA_CENTRES);
    await sendSteadyLoad(simulation, PRESUMED_COLD_MS);
    const warmMs = simulation.clock.readMs();
    await sendSteadyLoad(simulation, 1_000);
    assert.ok(countArrivals(simulation, "kirkos", warmMs) > 10);
  });
}

test("evacuated targets receive no requests for keys that do not move", async () => {
  const simulation = createSimulation(true);
  simulation.setEvacuated("kirkos", true);
  const orderedMs = simulation.clock.readMs();
  await sendSteadyLoad(simulation, 8_000);
  assert.equal(
    countArrivals(simulation, "kirkos", orderedMs + EVACUATION_MS),
    0,
  );
});

test("a waiting request gets no place at an evacuated target", async () => {
  const simulation = new RequestSimulation({
    instances: INSTANCES,
    targets: 3,
    keyed: false,
    dataCentres: DATA_CENTRES,
    route: { timeoutMs: 20_000, goalMs: 15_000 },
    target: { workMs: 1_500 },
  });
  for (let index = 0; index < 40; index++) {
    void simulation.send("bole-0", {
      deadlineMs: 19_000,
      path: `/files/${index}`,
    });
  }
  simulation.setEvacuated("kirkos", true);
  await simulation.clock.advance(20_000);
  assert.equal(countArrivals(simulation, "kirkos", 100), 0);
});

test("a request fails at once when all data centres are evacuated", async () => {
  const simulation = createSimulation(false);
  DATA_CENTRES.forEach((dataCentre) =>
    simulation.setEvacuated(dataCentre, true)
  );
  const sentMs = simulation.clock.readMs();
  const response = simulation.send("bole-0", { deadlineMs: 9_000 });
  await simulation.clock.advance(100);
  const failed = await response;
  assert.ok(failed.kind === "failed");
  assert.equal(failed.failure, "no-target");
  assert.match(failed.message, /evacuated data centres: bole, kirkos, yeka/);
  assert.ok(simulation.clock.readMs() - sentMs <= 100);
});
