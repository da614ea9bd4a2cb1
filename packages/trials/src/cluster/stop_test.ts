import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeCluster } from "./fake_cluster.ts";

const TARGETS = 8;

test("a stopping instance leaves nothing behind", async () => {
  // An instance stops and hands its targets over. Callers still come in for a
  // while, so it stays. Its peer sees an idle member and hands some targets
  // back. If it left with them, their callers would wait for a take-over, and
  // requests in progress would be lost.
  const cluster = new FakeCluster();
  cluster.publish();
  for (let number = 0; number < TARGETS; number++) {
    cluster.addTarget(`t${number}`, true);
  }
  cluster.addInstance();
  cluster.addInstance();
  await cluster.clock.advance(10_000);
  const [stopping, staying] = [...cluster.instances.values()];
  let closeEntry = (): void => {};
  const callersGone = new Promise<void>((resolve) => closeEntry = resolve);
  let isStopped = false;
  void stopping!.instance.stop({ callersGone }).then(() => isStopped = true);
  await cluster.clock.advance(5_000);
  closeEntry();
  await cluster.clock.advance(5_000);
  assert.equal(isStopped, true);
  const view = staying!.instance.view;
  assert.deepEqual(view.listMembers().map(({ instance }) => instance.id), [
    staying!.id,
  ]);
  for (const target of view.listTargets()) {
    assert.equal(target.steward, staying!.id);
    assert.equal(target.takenOver, false);
  }
  assert.equal(view.listTargets().length, TARGETS);
});
