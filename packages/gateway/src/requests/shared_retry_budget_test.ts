import assert from "node:assert/strict";
import { test } from "node:test";
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
