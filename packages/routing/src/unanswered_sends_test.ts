import assert from "node:assert/strict";
import { test } from "node:test";
import { UnansweredSends } from "./unanswered_sends.ts";

const TARGET = { id: "t1", bornMs: 5 };

function createBroken(): UnansweredSends {
  const broken = new UnansweredSends();
  broken.record({
    fingerprint: "f",
    target: TARGET,
    sentAtMs: 70,
    atMs: 100,
  });
  return broken;
}

test("a target that answers a later send has not ended", () => {
  const broken = createBroken();
  broken.recordAnswered("t1", 101);
  assert.equal(broken.takeEnded("t1", 200).length, 0);
});

test("an answer to what was sent before says nothing", () => {
  const broken = createBroken();
  broken.recordAnswered("t1", 99);
  assert.equal(broken.takeEnded("t1", 200).length, 1);
});

test("a target counts as ended once, and not for what broke long before", () => {
  const broken = createBroken();
  assert.equal(broken.takeEnded("t1", 200).length, 1);
  assert.equal(broken.takeEnded("t1", 200).length, 0);
  assert.equal(createBroken().takeEnded("t1", 60_000).length, 0);
});

test("what an instance without a link cannot reach has not ended for that", () => {
  const broken = createBroken();
  broken.recordAnswered("t2", 50);
  assert.equal(broken.takeUnreachable("t1", 200).length, 0);
  broken.recordAnswered("t2", 150);
  assert.equal(broken.takeUnreachable("t1", 200).length, 1);
});

test("another life under the same id shows that the one before has ended", () => {
  const broken = createBroken();
  assert.equal(broken.takeEnded("t1", 200, TARGET).length, 0);
  assert.equal(broken.takeEnded("t1", 200, { id: "t1", bornMs: 6 }).length, 1);
});

test("what was sent after another send had broken there has ended nothing", () => {
  const broken = createBroken();
  for (
    const [fingerprint, sentAtMs] of [["at work", 80], ["late", 110]] as const
  ) {
    broken.record({ fingerprint, target: TARGET, sentAtMs, atMs: 120 });
  }
  const ended = broken.takeEnded("t1", 200);
  assert.deepEqual(ended.map(({ fingerprint }) => fingerprint), [
    "f",
    "at work",
  ]);
});
