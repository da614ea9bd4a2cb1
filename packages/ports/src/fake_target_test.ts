import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeTarget, type TargetRequest } from "./fake_target.ts";
import { FakeTargetNetwork } from "./fake_target_network.ts";
import type { DispatchRequest } from "./target.ts";
import { VirtualClock } from "./virtual_clock.ts";

function createTarget(checksGrants: boolean) {
  const clock = new VirtualClock();
  const target = new FakeTarget({
    id: "t1",
    template: "case-files",
    clock,
    clockOffsetMs: 7_000,
    checksGrants,
    getRunMs: () => 10,
  });
  return { clock, target };
}

function makeRequest(requestId: string): TargetRequest {
  return {
    method: "POST",
    requestId,
    clientAccount: "nile",
    key: "case-9",
    unit: "s:1",
    stewardToken: 100,
    unitToken: 50,
    deadlineMs: 1_000,
  };
}

const GRANT = {
  stewardToken: 100,
  bootId: "t1/1",
  validUntilMs: 7_500,
  add: [{ unit: "s:1", token: 50 }],
  remove: [],
  excludedKeys: null,
};

test("a checking target runs only under its live grant and highest token", async () => {
  const { clock, target } = createTarget(true);
  const before = await target.handle(makeRequest("a"));
  await target.handleGrant(GRANT);
  const running = target.handle(makeRequest("b"));
  await clock.advance(10);
  await target.handleGrant({ ...GRANT, stewardToken: 200 });
  const fenced = await target.handle(makeRequest("c"));
  const older = await target.handleGrant(GRANT);
  await clock.advance(501);
  const lapsed = await target.handle({
    ...makeRequest("d"),
    stewardToken: 200,
  });
  assert.deepEqual(
    [before, fenced, lapsed].map((reply) => reply.kind),
    ["not-run", "not-run", "not-run"],
  );
  assert.equal((await running).kind, "ran");
  assert.deepEqual(older.val, { kind: "fenced", highestToken: 200 });
  assert.deepEqual(target.listHistory().map((run) => run.requestId), ["b"]);
});

test("a checking target that froze has no effect after its grant lapsed", async () => {
  // A demand is running when its target freezes. The target's units go to
  // another. Then it comes back, with a grant and a request waiting for it.
  const { clock, target } = createTarget(true);
  await target.handleGrant(GRANT);
  const caught = target.handle(makeRequest("a"));
  await clock.advance(5);
  target.freeze();
  const late = target.handle(makeRequest("b"));
  const renewed = target.handleGrant({ ...GRANT, validUntilMs: 8_000 });
  await clock.advance(10_000);
  target.resume();
  await clock.advance(1_000);
  assert.equal((await caught).kind, "lost");
  assert.equal((await late).kind, "not-run");
  assert.ok((await renewed).ok);
  const [run] = target.listHistory();
  assert.equal(run?.ending, "lapsed");
  assert.equal(run?.endedAtMs, 7_500);
});

test("a target that does not check runs after a freeze what reached it before", async () => {
  const { clock, target } = createTarget(false);
  target.freeze();
  const late = target.handle(makeRequest("a"));
  await clock.advance(60_000);
  target.resume();
  await clock.advance(10);
  assert.equal((await late).kind, "ran");
});

test("two places run at a time, a cancelled waiter lets the next one in", async () => {
  const { clock, target } = createTarget(false);
  const replies = ["a", "b", "c", "d"].map((id) =>
    target.handle(makeRequest(id))
  );
  await clock.advance(5);
  assert.equal((await target.getReport()).runningRequests, 2);
  await target.cancel("c");
  await clock.advance(20);
  const kinds = (await Promise.all(replies)).map((reply) => reply.kind);
  assert.deepEqual(kinds, ["ran", "ran", "not-run", "ran"]);
});

test("a restart loses what ran and changes the boot id", async () => {
  const { clock, target } = createTarget(false);
  const lost = target.handle(makeRequest("a"));
  await clock.advance(5);
  const { bootId } = await target.getReport();
  target.start();
  assert.equal((await lost).kind, "lost");
  assert.notEqual((await target.getReport()).bootId, bootId);
  assert.equal(target.listHistory()[0]?.ending, "killed");
});

test("bytes held on a way arrive later, unless their sender gave them up", async () => {
  // A steward writes a request to a silent connection and is killed. Minutes
  // later the way opens and its kernel still delivers what it had written.
  const { clock, target } = createTarget(false);
  const network = new FakeTargetNetwork(clock);
  network.add(target);
  const { signal } = new AbortController();
  const address = { id: "t1", address: "127.0.0.1:1" };
  const request: DispatchRequest = {
    ...makeRequest("a"),
    method: "POST",
    path: "/",
    headers: [],
    body: new Uint8Array(),
    remainingMs: 100,
    maxAnswerBytes: 100,
    notAfterMs: Infinity,
  };
  const links = [network.createLink(), network.createLink()] as const;
  const sent = links.map((link, index) => {
    link.setFaults("t1", { way: "held" });
    const requestId = index === 0 ? "given-up" : "sender-lost";
    return link.dispatch(address, { ...request, requestId }, signal);
  });
  links[1].setSenderLost();
  await clock.advance(60_000);
  links.forEach((link) => link.setFaults("t1", { way: "open" }));
  await clock.advance(100);
  const [failure] = await Promise.all(sent);
  assert.ok(failure && !failure.ok);
  assert.equal(failure.val.kind, "unknown");
  assert.deepEqual(
    target.listHistory().map((run) => run.requestId),
    ["sender-lost"],
  );
});

test("a grant that was overtaken does not give back what was taken", async () => {
  // A grant of a unit is held up; a later one takes the unit back and is
  // confirmed, so the unit goes to another target. Then the first arrives.
  const { target } = createTarget(true);
  const [unit] = GRANT.add;
  const later = { ...GRANT, validUntilMs: 7_501, add: [], remove: ["s:1"] };
  assert.ok((await target.handleGrant({ ...GRANT, add: [] })).ok);
  assert.ok((await target.handleGrant(later)).ok);
  assert.ok((await target.handleGrant({ ...GRANT, add: [unit!] })).ok);
  assert.equal((await target.handle(makeRequest("a"))).kind, "not-run");
});
