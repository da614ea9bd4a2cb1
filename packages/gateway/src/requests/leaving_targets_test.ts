import assert from "node:assert/strict";
import { test } from "node:test";
import { sendLoad, TWELVE_INSTANCES } from "./request_load.ts";
import { RequestSimulation } from "./request_simulation.ts";

/** No request that a caller sends later than this may reach the target. */
const DRAIN_MS = 2_000;
/** Requests that were sent in time may arrive a little later. */
const ARRIVAL_TOLERANCE_MS = 50;

for (const keyed of [true, false]) {
  const kind = keyed ? "an owner of keys" : "a target without keys";
  test(`requests stop reaching ${kind} whose responses alone say that it leaves`, async () => {
    const simulation = new RequestSimulation({
      instances: TWELVE_INSTANCES,
      targets: 6,
      keyed,
    });
    await sendLoad(simulation, { forMs: 1_000 });
    simulation.leavingTargets.add("t1");
    const leavingAtMs = simulation.clock.readMs();
    await sendLoad(simulation, { forMs: 6_000 });
    const late = listLateArrivals(simulation, "t1", leavingAtMs);
    assert.equal(late.length, 0, `the first: ${late[0]}`);
  });
}

/**
 * Lists how long after an instance's first send to the leaving target each
 * arrival from this instance came, if it came too late.
 */
function listLateArrivals(
  { arrivals }: RequestSimulation,
  id: string,
  leavingAtMs: number,
): readonly string[] {
  const toldAtMs = new Map<string, number>();
  const late: string[] = [];
  for (const { instance, targetId, atMs } of arrivals) {
    if (targetId !== id || atMs < leavingAtMs) {
      continue;
    }
    const sinceMs = atMs - (toldAtMs.get(instance) ?? Infinity);
    if (sinceMs > DRAIN_MS + ARRIVAL_TOLERANCE_MS) {
      late.push(`${instance}: ${sinceMs} ms`);
    }
    if (!toldAtMs.has(instance)) {
      toldAtMs.set(instance, atMs);
    }
  }
  return late;
}

test("an instance that is told that a target leaves tells all others", async () => {
  const simulation = new RequestSimulation({
    instances: TWELVE_INSTANCES,
    targets: 1,
    keyed: true,
  });
  simulation.leavingTargets.add("t1");
  assert.deepEqual(simulation.listUnaware("t1"), TWELVE_INSTANCES);
  void simulation.send(TWELVE_INSTANCES[5]!);
  await simulation.clock.advance(200);
  assert.deepEqual(simulation.listUnaware("t1"), []);
});
