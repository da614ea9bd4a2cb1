import assert from "node:assert/strict";
import { test } from "node:test";
import { countMaxInWindow } from "@lentilspur/ports/window_count";
import { sendLoad, TWELVE_INSTANCES } from "./request_load.ts";
import {
  RequestSimulation,
  type RequestSimulationOptions,
} from "./request_simulation.ts";

const LIMIT_PER_SECOND = 2.4;
/** From the first word of a limit until it has to be kept. */
const STABLE_MS = 3_000;
const WINDOW_MS = 4_000;

/** The most that reached a target in some window after a time. */
function countMost(
  world: RequestSimulation,
  id: string,
  afterMs: number,
): number {
  const times = world.arrivals
    .filter(({ targetId, atMs }) => targetId === id && atMs >= afterMs)
    .map(({ atMs }) => atMs);
  return countMaxInWindow(times, WINDOW_MS);
}

/** A world with callers, in which the first target has named its limit. */
async function createLimited(
  options: Partial<RequestSimulationOptions> = {},
  perSecond = LIMIT_PER_SECOND,
): Promise<{ readonly world: RequestSimulation; readonly namedMs: number }> {
  const world = new RequestSimulation({
    instances: TWELVE_INSTANCES,
    targets: 19,
    keyed: true,
    ...options,
  });
  await sendLoad(world, { forMs: 1_000 });
  world.setLimit("t1", perSecond);
  const namedMs = world.clock.readMs();
  await sendLoad(world, { forMs: STABLE_MS });
  return { world, namedMs };
}

/** In any window it gets half as much again, and five requests, at most. */
function assertHeld(
  world: RequestSimulation,
  namedMs: number,
  perSecond = LIMIT_PER_SECOND,
): void {
  const most = countMost(world, "t1", namedMs + STABLE_MS);
  const allowed = 1.5 * perSecond * WINDOW_MS / 1_000 + 5;
  assert.ok(most <= allowed, `${most} requests in 4 s, allowed ${allowed}`);
}

for (const keyed of [true, false]) {
  const kind = keyed ? "that owns keys" : "among others";
  test(`a target ${kind} gets what it says that it takes`, async () => {
    const targets = keyed ? 19 : 4;
    const { world, namedMs } = await createLimited({ keyed, targets });
    await sendLoad(world, { forMs: 12_000 });
    assertHeld(world, namedMs);
  });
}

test("a limit is used, and what it leaves out is refused at once", async () => {
  const { world } = await createLimited();
  const fromMs = world.clock.readMs();
  const lasted: number[] = [];
  for (let nth = 0; nth < 100; nth++) {
    const sentMs = world.clock.readMs();
    void world.send(TWELVE_INSTANCES[nth % 12]!, { key: 1 }).then((answer) => {
      if (answer.kind === "failed") {
        assert.equal(answer.failure, "overloaded");
        assert.ok(answer.retryAfterMs! > 0);
        lasted.push(world.clock.readMs() - sentMs);
      }
    });
    await world.clock.advance(100);
  }
  const arrived = world.arrivals
    .filter(({ targetId, atMs }) => targetId === "t1" && atMs >= fromMs);
  assert.ok(arrived.length >= 0.8 * LIMIT_PER_SECOND * 10, "unused");
  assert.ok(lasted.length > 60);
  assert.ok(Math.max(...lasted) < 400, `${Math.max(...lasted)} ms`);
});

test("what one target does not take goes to the others that may run it", async () => {
  const { world } = await createLimited({ keyed: false, targets: 12 });
  const { answered, failed } = await sendLoad(world, { forMs: 4_000 });
  assert.ok(failed <= 0.01 * (answered + failed), `${failed} failed`);
});

test("a limit holds while its decider is lost, and datagrams are", async () => {
  const { world, namedMs } = await createLimited({ lostDatagrams: 0.05 });
  for (const instance of TWELVE_INSTANCES) {
    world.disconnected.add(instance);
    await sendLoad(world, { forMs: 1_000 });
    world.disconnected.delete(instance);
  }
  assertHeld(world, namedMs);
});

test("a limit holds while half of the instances cannot ask its decider", async () => {
  const perSecond = 10;
  const { world, namedMs } = await createLimited({ targets: 4 }, perSecond);
  const decider = world.findCoordinator("t1");
  const cutOff = new Set(
    TWELVE_INSTANCES.filter((_, index) => index % 2 === 0),
  );
  world.isReachable = (from, to) => to !== decider || !cutOff.has(from);
  await sendLoad(world, { forMs: 10_000 });
  assertHeld(world, namedMs, perSecond);
});

test("a target that names no limit any more gets its whole share again", async () => {
  const { world } = await createLimited();
  await sendLoad(world, { forMs: 2_000 });
  world.setLimit("t1", undefined);
  await sendLoad(world, { forMs: 4_000 });
  const fromMs = world.clock.readMs();
  await sendLoad(world, { forMs: 4_000 });
  assert.ok(countMost(world, "t1", fromMs) > 2 * LIMIT_PER_SECOND * 4);
});
