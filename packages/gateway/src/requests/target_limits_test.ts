import assert from "node:assert/strict";
import { test } from "node:test";
import { countMaxInWindow } from "@lentilspur/ports/window_count";
import { sendLoad, TWELVE_INSTANCES } from "./request_load.ts";
import {
  RequestSimulation,
  type RequestSimulationOptions,
} from "./request_simulation.ts";

const LIMIT_PER_SECOND = 2.4;
/** Time from the first response with a limit until the limit must be kept. */
const PROPAGATION_MS = 3_000;
const WINDOW_MS = 4_000;

/** Returns the largest number of arrivals in any window after a time. */
function countMost(
  simulation: RequestSimulation,
  id: string,
  afterMs: number,
): number {
  const times = simulation.arrivals
    .filter(({ targetId, atMs }) => targetId === id && atMs >= afterMs)
    .map(({ atMs }) => atMs);
  return countMaxInWindow(times, WINDOW_MS);
}

/**
 * Creates a simulation under load in which the first target has named its
 * limit.
 */
async function createLimitedSimulation(
  options: Partial<RequestSimulationOptions> = {},
  perSecond = LIMIT_PER_SECOND,
): Promise<
  { readonly simulation: RequestSimulation; readonly limitNamedAtMs: number }
> {
  const simulation = new RequestSimulation({
    instances: TWELVE_INSTANCES,
    targets: 19,
    keyed: true,
    ...options,
  });
  await sendLoad(simulation, { forMs: 1_000 });
  simulation.setLimit("t1", perSecond);
  const limitNamedAtMs = simulation.clock.readMs();
  await sendLoad(simulation, { forMs: PROPAGATION_MS });
  return { simulation, limitNamedAtMs };
}

/** Asserts at most 1.5 times the limit, plus five requests, in any window. */
function assertWithinLimit(
  simulation: RequestSimulation,
  limitNamedAtMs: number,
  perSecond = LIMIT_PER_SECOND,
): void {
  const most = countMost(simulation, "t1", limitNamedAtMs + PROPAGATION_MS);
  const allowed = 1.5 * perSecond * WINDOW_MS / 1_000 + 5;
  assert.ok(most <= allowed, `${most} requests in 4 s, allowed ${allowed}`);
}

for (const keyed of [true, false]) {
  const kind = keyed ? "that owns keys" : "among others";
  test(`a target ${kind} receives requests within the limit that it names`, async () => {
    const targets = keyed ? 19 : 4;
    const { simulation, limitNamedAtMs } = await createLimitedSimulation({
      keyed,
      targets,
    });
    await sendLoad(simulation, { forMs: 12_000 });
    assertWithinLimit(simulation, limitNamedAtMs);
  });
}

test("a target receives most of the requests that its limit allows, and the others are refused at once", async () => {
  const { simulation } = await createLimitedSimulation();
  const fromMs = simulation.clock.readMs();
  const refusalTimesMs: number[] = [];
  for (let index = 0; index < 100; index++) {
    const sentMs = simulation.clock.readMs();
    void simulation.send(TWELVE_INSTANCES[index % 12]!, { key: 1 }).then(
      (response) => {
        if (response.kind === "failed") {
          assert.equal(response.failure, "overloaded");
          assert.ok(response.retryAfterMs! > 0);
          refusalTimesMs.push(simulation.clock.readMs() - sentMs);
        }
      },
    );
    await simulation.clock.advance(100);
  }
  const arrived = simulation.arrivals
    .filter(({ targetId, atMs }) => targetId === "t1" && atMs >= fromMs);
  assert.ok(
    arrived.length >= 0.8 * LIMIT_PER_SECOND * 10,
    `only ${arrived.length} requests arrived`,
  );
  assert.ok(refusalTimesMs.length > 60);
  assert.ok(
    Math.max(...refusalTimesMs) < 400,
    `a refusal took ${Math.max(...refusalTimesMs)} ms`,
  );
});

test("requests beyond a target's limit go to the others that may run them", async () => {
  const { simulation } = await createLimitedSimulation({
    keyed: false,
    targets: 12,
  });
  const { answered, failed } = await sendLoad(simulation, { forMs: 4_000 });
  assert.ok(failed <= 0.01 * (answered + failed), `${failed} requests failed`);
});

test("a limit holds while its coordinator fails and datagrams are lost", async () => {
  const { simulation, limitNamedAtMs } = await createLimitedSimulation({
    lostDatagrams: 0.05,
  });
  for (const instance of TWELVE_INSTANCES) {
    simulation.disconnected.add(instance);
    await sendLoad(simulation, { forMs: 1_000 });
    simulation.disconnected.delete(instance);
  }
  assertWithinLimit(simulation, limitNamedAtMs);
});

test("a limit holds while half of the instances cannot reach its coordinator", async () => {
  const perSecond = 10;
  const { simulation, limitNamedAtMs } = await createLimitedSimulation({
    targets: 4,
  }, perSecond);
  const coordinator = simulation.findCoordinator("t1");
  const cutOff = new Set(
    TWELVE_INSTANCES.filter((_, index) => index % 2 === 0),
  );
  simulation.isPermitRequestDelivered = (from, to) =>
    to !== coordinator || !cutOff.has(from);
  await sendLoad(simulation, { forMs: 10_000 });
  assertWithinLimit(simulation, limitNamedAtMs, perSecond);
});

test("a target that no longer names a limit receives more requests than its former limit allowed", async () => {
  const { simulation } = await createLimitedSimulation();
  await sendLoad(simulation, { forMs: 2_000 });
  simulation.setLimit("t1", undefined);
  await sendLoad(simulation, { forMs: 4_000 });
  const fromMs = simulation.clock.readMs();
  await sendLoad(simulation, { forMs: 4_000 });
  assert.ok(countMost(simulation, "t1", fromMs) > 2 * LIMIT_PER_SECOND * 4);
});
