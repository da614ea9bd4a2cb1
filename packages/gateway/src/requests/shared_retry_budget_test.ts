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
