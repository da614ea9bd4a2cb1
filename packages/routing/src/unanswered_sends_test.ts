import assert from "node:assert/strict";
import { test } from "node:test";
import { UnansweredSends } from "./unanswered_sends.ts";

const TARGET = { id: "t1", bornMs: 5 };

function createSends(): UnansweredSends {
  const sends = new UnansweredSends({ onDismissed: () => undefined });
  sends.record({
    fingerprint: "f",
    requestId: "r",
    target: TARGET,
    sentAtMs: 70,
    atMs: 100,
  });
  return sends;
}

test("a target that answers a later send has not ended", () => {
  const sends = createSends();
  sends.recordAnswered("t1", 101);
  assert.equal(sends.takeEnded("t1").length, 0);
});

test("a response to an earlier send does not show that the target still runs", () => {
  const sends = createSends();
  sends.recordAnswered("t1", 99);
  assert.equal(sends.takeEnded("t1").length, 1);
});

test("an unanswered send is returned once, and not after it has expired", () => {
  const sends = createSends();
  assert.equal(sends.takeEnded("t1").length, 1);
  assert.equal(sends.takeEnded("t1").length, 0);
  const expired = createSends();
  expired.expire(60_000);
  assert.equal(expired.takeEnded("t1").length, 0);
});

test("an unreachable target has ended only if another target has answered since", () => {
  const sends = createSends();
  sends.recordAnswered("t2", 50);
  assert.equal(sends.takeUnreachable("t1").length, 0);
  sends.recordAnswered("t2", 150);
  assert.equal(sends.takeUnreachable("t1").length, 1);
});

test("a new incarnation under the same id shows that the previous one has ended", () => {
  const sends = createSends();
  assert.equal(sends.takeReplaced(TARGET).length, 0);
  assert.equal(sends.takeReplaced({ id: "t1", bornMs: 6 }).length, 1);
});

test("a response of the next incarnation does not hide the end of the previous one", () => {
  const sends = createSends();
  sends.recordAnswered("t1", 5_000);
  assert.equal(sends.takeReplaced({ id: "t1", bornMs: 6 }).length, 1);
});

test("an end that is known some seconds after the failure is not missed", () => {
  const sends = createSends();
  sends.expire(20_000);
  assert.equal(sends.takeEnded("t1").length, 1);
});

test("a send that starts after another one failed may have ended the target", () => {
  const sends = createSends();
  for (
    const [fingerprint, sentAtMs] of [["at work", 80], ["later", 110]] as const
  ) {
    sends.record({
      fingerprint,
      requestId: "r",
      target: TARGET,
      sentAtMs,
      atMs: 120,
    });
  }
  const ended = sends.takeEnded("t1");
  assert.deepEqual(ended.map(({ fingerprint }) => fingerprint), [
    "f",
    "at work",
    "later",
  ]);
});

test("many failed sends to a target do not hide the last one", () => {
  const sends = createSends();
  for (let nth = 0; nth < 200; nth++) {
    sends.record({
      fingerprint: `lost ${nth}`,
      requestId: "r",
      target: TARGET,
      sentAtMs: 100 + nth,
      atMs: 101 + nth,
    });
  }
  assert.equal(sends.takeEnded("t1").at(-1)?.fingerprint, "lost 199");
});

test("a request that was answered elsewhere has ended no target", () => {
  const sends = createSends();
  sends.recordRequestAnswered("f");
  assert.equal(sends.takeEnded("t1").length, 0);
});
