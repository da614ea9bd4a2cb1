import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeTarget, type TargetReply } from "./fake_target.ts";
import { VirtualClock } from "./virtual_clock.ts";

const RANGE = { from: 0, to: 99 };

function createTarget(workMs = 100) {
  const clock = new VirtualClock();
  const target = new FakeTarget({
    clock,
    id: "t1",
    service: "files",
    keyed: true,
    workMs,
  });
  return { clock, target };
}

function send(target: FakeTarget, key: number): { reply?: TargetReply } {
  const result: { reply?: TargetReply } = {};
  void target.run({ requestId: `r${key}`, key, body: "b" })
    .then((reply) => result.reply = reply);
  return result;
}

function getEnding({ reply }: { reply?: TargetReply }): string | undefined {
  return reply?.kind === "ran" ? reply.run.ending : reply?.kind;
}

test("a hold expires, and a grant with a lower token is refused", async () => {
  const { clock, target } = createTarget();
  assert.ok(target.applyGrant(RANGE, { token: 5, holdMs: 1_000 }));
  assert.ok(!target.applyGrant({ from: 50, to: 60 }, { token: 4, holdMs: 9 }));
  assert.equal(target.findToken(50), 5);
  await clock.advance(1_100);
  assert.equal(target.findToken(50), undefined);
  const late = send(target, 7);
  await clock.advance(200);
  assert.equal(getEnding(late), "not-owner");
});

test("a release waits for running requests and removes only its range", async () => {
  const { clock, target } = createTarget();
  target.applyGrant(RANGE, { token: 5, holdMs: 10_000 });
  const running = send(target, 10);
  await clock.advance(20);
  let isReleased = false;
  void target.applyRelease({ from: 0, to: 49 }, 6).then(() =>
    isReleased = true
  );
  await clock.advance(20);
  assert.equal(isReleased, false);
  assert.deepEqual([target.findToken(10), target.findToken(60)], [
    undefined,
    5,
  ]);
  await clock.advance(200);
  assert.equal(isReleased, true);
  assert.equal(getEnding(running), "done");
});

test("a request that outlasts its hold lapses; a renewal extends the hold", async () => {
  const { clock, target } = createTarget(500);
  target.applyGrant(RANGE, { token: 5, holdMs: 300 });
  const lapsing = send(target, 1);
  await clock.advance(1_000);
  assert.equal(getEnding(lapsing), "lapsed");
  target.applyGrant(RANGE, { token: 5, holdMs: 300 });
  const renewed = send(target, 2);
  await clock.advance(200);
  target.applyGrant(RANGE, { token: 5, holdMs: 1_000 });
  await clock.advance(1_000);
  assert.equal(getEnding(renewed), "done");
});

test("a fatal request crashes its target and all its running requests", async () => {
  const clock = new VirtualClock();
  let crashes = 0;
  const target = new FakeTarget({
    clock,
    id: "t1",
    service: "files",
    keyed: false,
    workMs: 100,
    isFatal: ({ requestId }) => requestId === "r2",
    observeCrash: () => crashes++,
  });
  const innocent = send(target, 1);
  const fatal = send(target, 2);
  await clock.advance(30);
  const later = send(target, 3);
  await clock.advance(200);
  assert.deepEqual([innocent, fatal, later].map(getEnding), [
    "crashed",
    "crashed",
    "crashed",
  ]);
  assert.equal(crashes, 1);
  assert.deepEqual(target.ran, ["r1", "r2"]);
});

test("after a release, a grant under a lower token is refused", async () => {
  const { target } = createTarget();
  target.applyGrant(RANGE, { token: 10, holdMs: 1_000 });
  await target.applyRelease(RANGE, 20);
  assert.ok(!target.applyGrant(RANGE, { token: 15, holdMs: 1_000 }));
  assert.ok(target.applyGrant(RANGE, { token: 20, holdMs: 1_000 }));
});
