import assert from "node:assert/strict";
import { test } from "node:test";
import type { ForwardReply, ForwardRequest } from "@lentilspur/ports/peer";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import {
  FakeAuthority,
  FakeTargets,
  FoldedState,
  HOLD,
  LOOKUP,
  makeAnswer,
  makeFailure,
  PERMITTED,
  RecordedDecisions,
  type TargetResult,
} from "../testing/fakes.ts";
import { Dispatcher } from "./dispatcher.ts";

const SILENT = makeFailure({
  kind: "unknown",
  cause: "silent",
  message: "no answer",
});
const SHED = makeFailure({ kind: "not-run", cause: "shed", message: "full" });
const FENCED = makeFailure({
  kind: "not-run",
  cause: "fenced",
  message: "newer token",
});
const MOVING = { kind: "owner-changing", why: "moving" } as const;

function createSteward(options: { readonly maxRecords?: number } = {}) {
  const clock = new VirtualClock();
  const authority = new FakeAuthority(clock);
  const targets = new FakeTargets();
  const decisions = new RecordedDecisions();
  const state = new FoldedState(clock);
  const dispatcher = new Dispatcher({
    authority,
    targets,
    clock,
    decisions,
    state,
    random: { draw: () => 0.5 },
    maxChangeWaitMs: 400,
    maxRememberedRequests: options.maxRecords ?? 100,
  });
  const send = (request: ForwardRequest) => {
    const controller = new AbortController();
    const reply = dispatcher.forward(request, controller.signal);
    return { reply, close: () => controller.abort() };
  };
  return { clock, authority, targets, decisions, state, dispatcher, send };
}

function describeReply(reply: ForwardReply): string {
  switch (reply.kind) {
    case "answered":
      return `answered ${Buffer.from(reply.answer.body)}`;
    case "failed":
      return `${reply.error.kind} ${reply.error.outcome}`;
    case "not-steward":
      return reply.kind;
  }
}

async function describe(sent: { reply: Promise<ForwardReply> }) {
  return describeReply(await sent.reply);
}

/** From an entry that has folded every change that these tests make. */
const SEEN = { ...HOLD, foldedOffset: 100 };

test("a resend while the first send runs gets the same answer", async () => {
  // A producer's connection breaks while a hold is being made. The client
  // sends the same id through another instance, and then the first connection
  // is closed. The hold must be made once and the resend told its result.
  const { clock, targets, send } = createSteward();
  const first = send(HOLD);
  await clock.advance(1);
  const resend = send(HOLD);
  await clock.advance(1);
  first.close();
  await clock.advance(1);
  targets.answer(makeAnswer("held"));
  assert.equal(await describe(resend), "answered held");
  assert.equal(targets.dispatched.length, 1);
});

test("a resend of an answered request gets the remembered answer", async () => {
  const { clock, targets, send } = createSteward();
  const first = send(HOLD);
  await clock.advance(1);
  targets.answer(makeAnswer("held"));
  assert.equal(await describe(first), "answered held");
  assert.equal(await describe(send(HOLD)), "answered held");
  assert.equal(targets.dispatched.length, 1);
});

test("a request whose attempt ended unknown is never run again", async () => {
  // The target goes silent after it got a deposit. The caller is told unknown
  // and sends again. A second dispatch could charge the broadcaster twice.
  const { clock, targets, send } = createSteward();
  const first = send(HOLD);
  await clock.advance(1);
  targets.answer(SILENT);
  assert.equal(await describe(first), "target-silent unknown");
  assert.equal(await describe(send(HOLD)), "resend-not-remembered unknown");
  assert.equal(targets.dispatched.length, 1);
});

test("a request that provably did not run may be sent again", async () => {
  const { clock, targets, send } = createSteward();
  const first = send(HOLD);
  for (let attempt = 0; attempt < 2; attempt++) {
    await clock.advance(20);
    targets.answer(SHED);
  }
  await clock.advance(20);
  assert.equal(await describe(first), "target-refused not-run");
  const resend = send(HOLD);
  await clock.advance(20);
  targets.answer(makeAnswer("held"));
  assert.equal(await describe(resend), "answered held");
});

test("after a take-over an old id that is not remembered is unknown", async () => {
  // A steward dies after it dispatched a demand. Its successor takes over at a
  // later position and knows nothing of the demand. The resend carries an id
  // minted before the take-over, so the predecessor may have run it.
  const { clock, authority, targets, send, decisions } = createSteward();
  authority.set({ ...PERMITTED, stewardToken: 6 * 4096 });
  assert.equal(await describe(send(SEEN)), "resend-not-remembered unknown");
  assert.deepEqual(decisions.list(), ["resend-recognised"]);
  const fresh = send({ ...SEEN, firstSend: true });
  await clock.advance(1);
  targets.answer(makeAnswer("held"));
  assert.equal(await describe(fresh), "answered held");
});

test("a late copy from before the unit's last change is not run", async () => {
  // A forward is lost on the way and the next copy of it runs here. The target
  // goes to another steward and comes back, without the memory. Then the first
  // copy arrives, still marked as a first send: without the guard it would run
  // a second time.
  const { authority, targets, send } = createSteward();
  authority.set({ ...PERMITTED, stewardToken: 9 * 4096 });
  const late = send({ ...HOLD, firstSend: true, foldedOffset: 9 });
  assert.equal((await late.reply).kind, "not-steward");
  assert.equal(targets.dispatched.length, 0);
});

test("a first copy that arrives after its epoch is not run", async () => {
  // A forward hangs in a dead connection for ten minutes while its second copy
  // is run. The record of that run expires with its epoch. Then the first copy
  // arrives, marked as a first send, under unchanged tokens.
  const { state, targets, send } = createSteward();
  for (const expectedEpoch of [0, 1]) {
    state.apply("b", { kind: "epoch-advanced", expectedEpoch });
  }
  const late = send({ ...SEEN, firstSend: true });
  assert.equal(await describe(late), "resend-not-remembered unknown");
  assert.equal(targets.dispatched.length, 0);
});

test("a planned hand-over takes the memory along", async () => {
  const old = createSteward();
  const first = old.send(HOLD);
  await old.clock.advance(1);
  old.targets.answer(makeAnswer("held"));
  await first.reply;
  const remembered = old.dispatcher.collectMemory(HOLD.template, ["s:0"]);
  const floor = old.dispatcher.getMemoryFloor(HOLD.template, "s:0");
  assert.equal(floor, PERMITTED.unitToken);

  const next = createSteward();
  next.authority.set({ ...PERMITTED, stewardToken: 9 * 4096 });
  const token = 9 * 4096;
  next.dispatcher.addMemory(HOLD.template, ["s:0"], {
    token,
    floor,
    remembered,
  });
  assert.equal(
    await describe(next.send(SEEN)),
    "resend-not-remembered unknown",
  );
  const unseen = next.send({ ...SEEN, requestId: "0-fo0-a.9" });
  await next.clock.advance(1);
  next.targets.answer();
  assert.equal(await describe(unseen), "answered done");
  next.authority.set({ ...PERMITTED, stewardToken: 11 * 4096 });
  const later = next.send({ ...SEEN, requestId: "0-fo0-a.10" });
  assert.equal(await describe(later), "resend-not-remembered unknown");
});

test("a floor says nothing once the unit was served elsewhere", async () => {
  // A unit leaves this steward and comes back under a new token. What its
  // other steward ran meanwhile is not known here, although an older floor is.
  const { clock, authority, targets, send } = createSteward();
  const first = send(HOLD);
  await clock.advance(1);
  targets.answer();
  await first.reply;
  authority.set({ ...PERMITTED, unitToken: 8 * 4096 });
  const other = send({ ...SEEN, requestId: "0-fo0-a.9" });
  assert.equal(await describe(other), "resend-not-remembered unknown");
});

test("a full memory refuses as not run and forgets nothing", async () => {
  const { clock, targets, send } = createSteward({ maxRecords: 1 });
  const first = send(HOLD);
  await clock.advance(1);
  targets.answer(makeAnswer("held"));
  await first.reply;
  const second = send({ ...HOLD, requestId: "0-fo0-a.9" });
  assert.equal(await describe(second), "queue-full not-run");
  assert.equal(await describe(send(HOLD)), "answered held");
  assert.equal(targets.dispatched.length, 1);
});

test("a caller that leaves the queue leaves nothing to run", async () => {
  const { clock, targets, send } = createSteward();
  send(LOOKUP);
  send(LOOKUP);
  const queued = send(HOLD);
  await clock.advance(1);
  queued.close();
  assert.equal(await describe(queued), "cancelled not-run");
  targets.answer();
  await clock.advance(100);
  assert.equal(targets.dispatched.length, 2);
});

test("a caller that leaves a running request is recorded as unknown", async () => {
  const { clock, targets, send, decisions } = createSteward();
  const running = send(HOLD);
  await clock.advance(1);
  running.close();
  assert.equal(await describe(running), "cancelled unknown");
  assert.equal(await describe(send(HOLD)), "resend-not-remembered unknown");
  assert.equal(targets.dispatched.length, 1);
  assert.deepEqual(decisions.list(), [
    "request-dispatched",
    "request-settled",
    "resend-recognised",
  ]);
});

test("a lease that lapses while a request is queued stops the dispatch", async () => {
  // A steward is paused while a request waits for a place. When it wakes, its
  // lease has lapsed and a successor may act. Its place comes free first.
  const { clock, authority, targets, send } = createSteward();
  send(LOOKUP);
  send(LOOKUP);
  const queued = send(HOLD);
  await clock.advance(1);
  authority.set({ kind: "lease-lapsed" });
  targets.answer();
  await clock.advance(500);
  assert.equal(await describe(queued), "not-ready not-run");
  assert.equal(targets.dispatched.length, 2);
});

test("a request waits through a short move", async () => {
  const { clock, authority, targets, send } = createSteward();
  authority.set(MOVING);
  const waiting = send(HOLD);
  await clock.advance(200);
  authority.set(PERMITTED);
  await clock.advance(1);
  targets.answer();
  assert.equal(await describe(waiting), "answered done");
  authority.set(MOVING);
  const first = send({ ...HOLD, requestId: "0-fo0-a.9", firstSend: true });
  await clock.advance(400);
  assert.equal(await describe(first), "owner-changing not-run");
});

test("a resend refused before the memory is asked is not said to be not run", async () => {
  // A demand runs and its answer is lost. The caller sends it again through
  // another entry while the owner is changing, and is told to come back. "Not
  // run" would be true of the second send and false of the demand. Found by
  // the soak (Sautiba, seed 2).
  const { clock, authority, send } = createSteward();
  authority.set(MOVING);
  const resend = send({ ...HOLD, requestId: "0-fo0-a.9", firstSend: false });
  await clock.advance(400);
  assert.equal(await describe(resend), "owner-changing unknown");
});

test("a fenced request goes where the key has gone", async () => {
  const { clock, authority, targets, send } = createSteward();
  const sent = send(HOLD);
  await clock.advance(1);
  targets.answer(FENCED);
  await clock.advance(1);
  authority.set({ kind: "not-steward", steward: "a" });
  assert.equal(await describe(sent), "not-steward");
});

test("a retried lookup is not said to be not run after a silent try", async () => {
  // A target goes silent on a lookup; the retry is shed. The first try may
  // have run, so "not run" would be untrue.
  const { clock, targets, send } = createSteward();
  const sent = send(LOOKUP);
  await clock.advance(1);
  targets.answer(SILENT);
  await clock.advance(50);
  targets.answer(SHED);
  assert.equal(await describe(sent), "target-silent unknown");
  assert.equal(targets.dispatched.length, 2);
});

/** Teaches the steward that t1 answers within a millisecond or two. */
async function runManyLookups(
  steward: ReturnType<typeof createSteward>,
): Promise<void> {
  const { clock, targets, send } = steward;
  for (let count = 0; count < 150; count++) {
    const sent = send(LOOKUP);
    await clock.advance(1);
    targets.answer();
    await sent.reply;
  }
}

test("a lookup on a silent connection is sent again on another", async () => {
  // A firewall forgets one of the connections to a target. What is sent on it
  // gets no answer, while other requests are answered in a millisecond. The
  // producer would wait for the whole deadline.
  const steward = createSteward();
  await runManyLookups(steward);
  const { clock, targets, send } = steward;
  const before = targets.dispatched.length;
  const sent = send({ ...LOOKUP, remainingMs: 10_000 });
  await clock.advance(100);
  assert.equal(targets.dispatched.length, before + 2);
  targets.answer(makeAnswer("to the one given up"));
  targets.answer(makeAnswer("calendar"));
  assert.equal(await describe(sent), "answered calendar");
});

test("a deposit on a silent connection is not sent again", async () => {
  // The same with a deposit: it may have reached the target. It waits for its
  // answer, but others get its place.
  const steward = createSteward();
  await runManyLookups(steward);
  const { clock, targets, send } = steward;
  const before = targets.dispatched.length;
  const deposits = ["0-fo0-a.7", "0-fo0-a.8"].map((requestId) =>
    send({ ...HOLD, requestId, remainingMs: 10_000 })
  );
  await clock.advance(100);
  assert.equal(targets.dispatched.length, before + 2);
  const lookup = send(LOOKUP);
  await clock.advance(1);
  assert.equal(targets.dispatched.length, before + 3);
  ["one", "two", "calendar"].forEach((text) =>
    targets.answer(makeAnswer(text))
  );
  assert.equal(await describe(deposits[0]!), "answered one");
  assert.equal(await describe(deposits[1]!), "answered two");
  assert.equal(await describe(lookup), "answered calendar");
});

test("a late answer goes to nobody else", async () => {
  // A target answers a lookup after its deadline, while the place already
  // serves another caller.
  const { clock, targets, send } = createSteward();
  const early = send(LOOKUP);
  await clock.advance(1);
  early.close();
  const later = send({ ...LOOKUP, requestId: "0-fo0-a.3" });
  await clock.advance(1);
  targets.answer(makeAnswer("for the first"));
  await clock.advance(1);
  targets.answer(makeAnswer("for the second"));
  assert.equal(await describe(early), "cancelled unknown");
  assert.equal(await describe(later), "answered for the second");
});

test("a unit is idle only when what was dispatched is settled", async () => {
  const { clock, targets, dispatcher, send } = createSteward();
  const sent = send(HOLD);
  await clock.advance(1);
  let idle = false;
  const waiting = dispatcher.waitForIdle(HOLD.template, "s:0")
    .then(() => idle = true);
  await clock.advance(10);
  assert.equal(idle, false);
  const answers: TargetResult[] = [makeAnswer("held")];
  answers.forEach((answer) => targets.answer(answer));
  await sent.reply;
  await waiting;
  assert.equal(idle, true);
});
