import assert from "node:assert/strict";
import { test } from "node:test";
import type { FinalResponse } from "../entry/caller_request.ts";
import { sendLoad, TWELVE_INSTANCES } from "./request_load.ts";
import { RequestSimulation } from "./request_simulation.ts";

const BACKOFF_MS = 3_000;
/** Requests that are on their way when the target asks for a pause. */
const IN_FLIGHT_MS = 500;
/** Requests of an instance that a target accepts during the pause. */
const MAX_REQUESTS = 2;

/** Three targets are too few for the load, so that all of them are used. */
function createSimulation(keyed: boolean): RequestSimulation {
  return new RequestSimulation({
    instances: TWELVE_INSTANCES,
    targets: keyed ? 6 : 3,
    keyed,
    route: { idempotent: true, maxAttempts: 3, timeoutMs: 20_000 },
  });
}

/** Counts, for each pause that an instance was asked for, what it sent. */
function countMaxInPause({ arrivals }: RequestSimulation, id: string): number {
  const sent = arrivals.filter(({ targetId }) => targetId === id);
  const counts = sent.map(({ instance, atMs }) =>
    sent.filter((other) =>
      other.instance === instance && other.atMs > atMs + IN_FLIGHT_MS &&
      other.atMs < atMs + BACKOFF_MS
    ).length
  );
  return Math.max(0, ...counts);
}

for (const keyed of [true, false]) {
  const kind = keyed ? "an owner of keys" : "a target without keys";
  test(`${kind} that asks for a pause gets at most two requests of an instance in it`, async () => {
    const simulation = createSimulation(keyed);
    await sendLoad(simulation, { forMs: 1_000 });
    simulation.arrivals.length = 0;
    simulation.backoffsMs.set("t1", BACKOFF_MS);
    await sendLoad(simulation, { forMs: 8_000 });
    const most = countMaxInPause(simulation, "t1");
    assert.ok(most <= MAX_REQUESTS, `${most} requests in a pause`);
  });
}

test("a request for a key whose owner asks for a pause is refused at once with the time that is left", async () => {
  const simulation = createSimulation(true);
  simulation.backoffsMs.set("t1", BACKOFF_MS);
  const instance = TWELVE_INSTANCES[0]!;
  const sendTimed = async (): Promise<[FinalResponse, number]> => {
    const sentAtMs = simulation.clock.readMs();
    let endedAtMs = Infinity;
    const sent = simulation.send(instance, { key: 1, deadlineMs: 20_000 });
    void sent.then(() => endedAtMs = simulation.clock.readMs());
    await simulation.clock.advance(500);
    return [await sent, endedAtMs - sentAtMs];
  };
  const [first, firstMs] = await sendTimed();
  const [second, secondMs] = await sendTimed();
  assert.equal(simulation.arrivals.length, 1);
  assert.ok(firstMs < 50 && secondMs < 50, `${firstMs}, ${secondMs} ms`);
  assert.deepEqual(
    [first, second].map((response) =>
      response.kind === "failed" ? response.retryAfterMs! > 2_000 : response
    ),
    [true, true],
  );
});

test("a request waits for a short pause that leaves enough time to run it", async () => {
  const simulation = createSimulation(true);
  simulation.backoffsMs.set("t1", 100);
  const sent = simulation.send(TWELVE_INSTANCES[0]!, { key: 1 });
  await simulation.clock.advance(20);
  simulation.backoffsMs.clear();
  await simulation.clock.advance(1_000);
  assert.equal((await sent).kind, "answered");
  assert.equal(simulation.arrivals.length, 2);
});

test("a target gets nothing in its pause when its entry goes and returns", async () => {
  const simulation = createSimulation(true);
  simulation.backoffsMs.set("t1", BACKOFF_MS);
  const instance = TWELVE_INSTANCES[0]!;
  void simulation.send(instance, { key: 1 });
  await simulation.clock.advance(100);
  simulation.restoreEntry("t1");
  void simulation.send(instance, { key: 1 });
  await simulation.clock.advance(100);
  assert.equal(simulation.arrivals.length, 1);
});
