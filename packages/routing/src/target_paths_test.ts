import assert from "node:assert/strict";
import { test } from "node:test";
import { type PathEvent, TargetPaths } from "./target_paths.ts";

const A = { id: "a", bornMs: 1 };
const B = { id: "b", bornMs: 1 };
const C = { id: "c", bornMs: 1 };

function createPaths(): { paths: TargetPaths; events: PathEvent[] } {
  const events: PathEvent[] = [];
  const paths = new TargetPaths({ observe: (event) => events.push(event) });
  return { paths, events };
}

test("a target that fails beside others that respond does not make all paths doubtful", () => {
  const { paths } = createPaths();
  paths.recordResponse(120);
  paths.recordFailure(A, "no-connection", { sentAtMs: 100, nowMs: 350 });
  assert.equal(paths.isDoubtful, false);
  assert.equal(paths.isLost(A), true);
  assert.equal(paths.isLost(B), false);
});

test("an instance that no target has answered since a failed send began doubts all paths", () => {
  const { paths } = createPaths();
  paths.recordResponse(90);
  paths.recordFailure(A, "silent", { sentAtMs: 100, nowMs: 300 });
  assert.equal(paths.isDoubtful, true);
  assert.equal(paths.isLost(B), true);
  paths.recordResponse(310);
  assert.equal(paths.isDoubtful, false);
  assert.equal(paths.isLost(B), false);
});

test("an instance is isolated only after two targets have failed for some time", () => {
  const { paths, events } = createPaths();
  paths.recordFailure(A, "reset", { sentAtMs: 100, nowMs: 101 });
  paths.advance([A, B, C], 600);
  assert.equal(paths.isIsolated, false);
  paths.recordFailure(B, "silent", { sentAtMs: 110, nowMs: 610 });
  paths.advance([A, B, C], 620);
  assert.equal(paths.isIsolated, true);
  paths.recordResponse(900);
  assert.equal(paths.isIsolated, false);
  assert.deepEqual(
    events.map((event) => event.kind === "paths" ? event.state : event.kind),
    ["isolated", "working"],
  );
});

test("a response on an old connection does not end the loss of a path to which new ones fail", () => {
  const { paths } = createPaths();
  paths.recordFailure(A, "no-connection", { sentAtMs: 100, nowMs: 101 });
  paths.recordResponse(110);
  assert.equal(paths.isLost(A), true);
  paths.recordProbeResponse(A, 400);
  assert.equal(paths.isLost(A), false);
});

test("a later incarnation of a target does not inherit its lost path", () => {
  const { paths } = createPaths();
  paths.recordFailure(A, "no-connection", { sentAtMs: 100, nowMs: 101 });
  paths.recordResponse(110);
  const restarted = { id: "a", bornMs: 2 };
  assert.equal(paths.isLost(restarted), false);
  paths.advance([restarted, B], 200);
  assert.deepEqual(paths.listLost(), []);
});

test("a path counts as proved lost only once another instance has reached the target", () => {
  const { paths } = createPaths();
  paths.recordFailure(A, "no-connection", { sentAtMs: 100, nowMs: 101 });
  paths.recordFailure(B, "no-connection", { sentAtMs: 100, nowMs: 101 });
  assert.equal(paths.provedLossCount, 0);
  paths.recordReachedElsewhere(A, "other");
  paths.recordUnreachedElsewhere(B, 200);
  assert.equal(paths.provedLossCount, 1);
  assert.equal(paths.isDown(A, 210), false);
  assert.equal(paths.isDown(B, 210), true);
});
