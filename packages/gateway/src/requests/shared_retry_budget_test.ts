import assert from "node:assert/strict";
import { test } from "node:test";
import { LAST_KEY } from "@lentilspur/ports/key_orders";
import { SeededRandom } from "@lentilspur/ports/seeded_random";
import { sendLoad, TWELVE_INSTANCES } from "./request_load.ts";
import { type Arrival, RequestSimulation } from "./request_simulation.ts";

/** The default limits: a share of the requests, and a reserve for all. */
const RATIO = 0.2;
const RESERVE = 64;
const WINDOW_MS = 10_000;

/** Counts the arrivals beyond the first of each request. */
function countRepeats(arrivals: readonly Arrival[]): number {
  return arrivals.length - new Set(arrivals.map(({ path }) => path)).size;
}

test("instances that have not read the others' records keep the retry budget together", async () => {
  const simulation = new RequestSimulation({
    instances: TWELVE_INSTANCES,
    targets: 4,
    keyed: false,
    route: { maxAttempts: 3 },
    target: { isRefused: () => true },
    membersUnread: true,
  });
  const { answered, failed } = await sendLoad(simulation, {
    forMs: WINDOW_MS,
  });
  const repeats = countRepeats(simulation.arrivals);
  const allowed = RATIO * (answered + failed) + RESERVE;
  assert.ok(repeats <= allowed, `${repeats} repeats, allowed ${allowed}`);
});

test("an instance that restarts within a window keeps the retry budget", async () => {
  const instances = ["bole-0"];
  const simulation = new RequestSimulation({
    instances,
    targets: 4,
    keyed: false,
    route: { maxAttempts: 3 },
    target: { isRefused: () => true },
  });
  const incarnations = 3;
  let requests = 0;
  for (let count = 0; count < incarnations; count++) {
    simulation.restartInstance("bole-0");
    const { answered, failed } = await sendLoad(simulation, {
      forMs: WINDOW_MS / incarnations,
      intervalMs: 110,
      instances,
    });
    requests += answered + failed;
  }
  const repeats = simulation.arrivals.length - requests;
  const allowed = RATIO * requests + RESERVE;
  assert.ok(repeats <= allowed, `${repeats} repeats, allowed ${allowed}`);
});

/** Share of the requests that all targets turn away, and for how long. */
const SHED_SHARE = 0.55;
const SHED_MS = 8_500;
/** Callers come back once, to another instance. */
const MAX_TRIES = 2;
const CALLER_DEADLINE_MS = 4_000;
const CALLER_INTERVAL_MS = 8;

interface Shedding {
  readonly simulation: RequestSimulation;
  isShedding: boolean;
}

/** Targets with free places turn away requests at random. */
function createShedding(keyed: boolean): Shedding {
  const random = new SeededRandom(9);
  const shedding: Shedding = {
    isShedding: false,
    simulation: new RequestSimulation({
      instances: TWELVE_INSTANCES,
      targets: 16,
      keyed,
      route: { maxAttempts: 2, timeoutMs: CALLER_DEADLINE_MS, goalMs: 1_500 },
      target: {
        workMs: 60,
        isRefused: () => shedding.isShedding && random.draw() < SHED_SHARE,
      },
    }),
  };
  return shedding;
}

/** Sends requests of callers who come back; counts those never served. */
async function sendCallers(
  { simulation }: Shedding,
  forMs: number,
): Promise<{ readonly unserved: number; readonly callers: number }> {
  const random = new SeededRandom(11);
  const { clock } = simulation;
  let callers = 0;
  let unserved = 0;
  const runCaller = async (): Promise<void> => {
    const key = Math.floor(random.draw() * LAST_KEY);
    const endMs = clock.readMs() + CALLER_DEADLINE_MS;
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const instance = TWELVE_INSTANCES[
        Math.floor(random.draw() * TWELVE_INSTANCES.length)
      ]!;
      const deadlineMs = endMs - clock.readMs();
      const response = await simulation.send(instance, { key, deadlineMs });
      if (response.kind === "answered") {
        return;
      }
      await clock.sleep(response.retryAfterMs ?? 0);
    }
    unserved++;
  };
  for (let atMs = 0; atMs < forMs; atMs += CALLER_INTERVAL_MS) {
    callers++;
    void runCaller();
    await clock.advance(CALLER_INTERVAL_MS);
  }
  await clock.advance(CALLER_DEADLINE_MS);
  return { unserved, callers };
}

for (const keyed of [true, false]) {
  const kind = keyed ? "their owner turns" : "targets without keys turn";
  test(`few callers are never served while ${kind} away half of the requests`, async () => {
    const shedding = createShedding(keyed);
    await sendCallers(shedding, 10_000);
    shedding.isShedding = true;
    shedding.simulation.arrivals.length = 0;
    const { unserved, callers } = await sendCallers(shedding, SHED_MS);
    const share = unserved / callers;
    assert.ok(share <= 0.22, `${share} of the callers are never served`);
  });
}
