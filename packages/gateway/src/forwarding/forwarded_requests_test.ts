import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestSimulation } from "../requests/request_simulation.ts";
import type { ForwardReply } from "./forwarded_request.ts";

function createSimulation(): RequestSimulation {
  return new RequestSimulation({
    instances: ["i1", "i2"],
    targets: 2,
    keyed: true,
  });
}

/** Forwards a request to `i2`; returns the reply and the number of arrivals. */
async function forward(
  simulation: RequestSimulation,
  changes: Parameters<RequestSimulation["forwardTo"]>[1] = {},
): Promise<readonly [reply: ForwardReply, arrivals: number]> {
  const before = simulation.arrivals.length;
  const reply = simulation.forwardTo("i2", changes);
  await simulation.clock.advance(2_000);
  return [await reply, simulation.arrivals.length - before];
}

test("a forwarded request is sent to the owner of its key once", async () => {
  const [reply, arrivals] = await forward(createSimulation());
  assert.ok(reply.kind === "sent" && reply.outcome.kind === "answered");
  assert.equal(arrivals, 1);
});

test("a request that no known instance has forwarded reaches no target", async () => {
  for (const changes of [{ incarnation: "2" }, { from: "caller" }]) {
    const [reply, arrivals] = await forward(createSimulation(), changes);
    assert.deepEqual(reply, { kind: "unable", reason: "unknown-sender" });
    assert.equal(arrivals, 0);
  }
});

test("a request for a service that its route does not lead to is not sent", async () => {
  const [reply, arrivals] = await forward(createSimulation(), {
    service: "other",
  });
  assert.deepEqual(reply, { kind: "unable", reason: "configuration" });
  assert.equal(arrivals, 0);
});

test("a forwarded request is not sent after the time that its caller waits", async () => {
  const simulation = createSimulation();
  await simulation.clock.advance(5_000);
  const [reply, arrivals] = await forward(simulation, {
    receivedAtMs: simulation.clock.readMs() - 1_500,
  });
  assert.equal(reply.kind, "refused");
  assert.equal(arrivals, 0);
});

test("an instance without paths to targets neither sends a forwarded request nor forwards it", async () => {
  const simulation = createSimulation();
  simulation.setPaths("i2", "resetting");
  await forward(simulation);
  const [reply, arrivals] = await forward(simulation);
  assert.deepEqual(reply, { kind: "unable", reason: "isolated" });
  assert.equal(arrivals, 0);
});

test("a forwarded request that waits when its peer stops is handed back at once, and never sent", async () => {
  const simulation = createSimulation();
  await forward(simulation);
  const before = simulation.arrivals.length;
  const replies: ForwardReply[] = [];
  for (let count = 0; count < 12; count++) {
    void simulation.forwardTo("i2").then((reply) => replies.push(reply));
  }
  await simulation.clock.advance(1);
  simulation.stopInstance("i2");
  await simulation.clock.advance(0);
  const handedBack = replies.length;
  assert.ok(handedBack > 0);
  assert.deepEqual(
    replies,
    replies.map(() => ({ kind: "unable", reason: "stopping" })),
  );
  await simulation.clock.advance(2_000);
  assert.equal(replies.length, 12);
  assert.equal(simulation.arrivals.length - before, 12 - handedBack);
});
