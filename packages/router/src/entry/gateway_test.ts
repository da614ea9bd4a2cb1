import assert from "node:assert/strict";
import { test } from "node:test";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type {
  ForwardReply,
  ForwardRequest,
  PeerFailure,
} from "@lentilspur/ports/peer";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import {
  ACCOUNT,
  CREDENTIAL,
  FoldedState,
  RecordedDecisions,
  TEMPLATE,
} from "../testing/fakes.ts";
import { type CallerAnswer, type CallerRequest, WholeBody } from "./caller.ts";
import { Gateway } from "./gateway.ts";

type Sent = Result<ForwardReply, PeerFailure>;

const LOST: Sent = Err({ kind: "lost", message: "reset" });
const NOT_SENT: Sent = Err({ kind: "not-sent", message: "refused" });

function makeReply(text: string): Sent {
  const answer = { status: 201, headers: [], body: Buffer.from(text) };
  return Ok({ kind: "answered", answer, target: "t1" });
}

function makeRefusal(): Sent {
  return Ok({
    kind: "failed",
    error: {
      kind: "queue-full",
      outcome: "not-run",
      message: "full",
      retryAfterMs: 30,
    },
  });
}

/** Instance a, whose peer b is the steward; `script` is what b replies. */
function createEntry(script: readonly Sent[]) {
  const clock = new VirtualClock();
  const state = new FoldedState(clock);
  const decisions = new RecordedDecisions();
  const forwarded: (ForwardRequest & { readonly to: string })[] = [];
  const replies = [...script];
  const gateway = new Gateway({
    instanceId: "a",
    state,
    clock,
    decisions,
    maxChangeWaitMs: 400,
    local: {
      forward: (request) => {
        forwarded.push({ ...request, to: "local" });
        const reply = replies.shift();
        return Promise.resolve(
          reply?.ok ? reply.val : { kind: "not-steward", foldedOffset: 0 },
        );
      },
    },
    peers: {
      forward: (peer, request) => {
        forwarded.push({ ...request, to: peer.id });
        return Promise.resolve(replies.shift() ?? NOT_SENT);
      },
      renew: () => Promise.resolve(LOST as never),
      consent: () => Promise.resolve(LOST as never),
      transfer: () => Promise.resolve(LOST as never),
      reportLoad: () => Promise.resolve(LOST as never),
      reportDemand: () => Promise.resolve(LOST as never),
    },
  });
  const send = (request: Partial<CallerRequest> = {}) =>
    gateway.handle(makeHold(request), new AbortController().signal);
  return { clock, state, decisions, forwarded, gateway, send };
}

function makeHold(change: Partial<CallerRequest>): CallerRequest {
  return {
    method: "POST",
    path: "/reservations/studio%203/holds?from=9",
    headers: [{ name: "authorization", value: `Bearer ${CREDENTIAL}` }],
    body: new WholeBody(Buffer.from("hold")),
    ...change,
  };
}

function describe(answer: CallerAnswer): string {
  const find = (wanted: string) =>
    answer.headers.find(({ name }) => name === wanted)?.value;
  const text = Buffer.from(answer.body).toString();
  const detail = find("content-type") === "application/json"
    ? JSON.parse(text).error.kind
    : text;
  return `${answer.status} ${find("lentilspur-outcome")} ${detail}`;
}

test("a request reaches its steward with its key, id and deadline", async () => {
  const { forwarded, send, decisions } = createEntry([makeReply("held")]);
  const answer = await send({
    headers: [
      { name: "authorization", value: `Bearer ${CREDENTIAL}` },
      { name: "lentilspur-deadline-ms", value: "700" },
      { name: "connection", value: "close" },
      { name: "x-studio", value: "upanga" },
    ],
  });
  assert.equal(describe(answer), "201 ran held");
  const [sent] = forwarded;
  assert.equal(sent?.to, "b");
  assert.equal(sent?.key, "studio 3");
  assert.equal(sent?.path, "/reservations/studio%203/holds?from=9");
  assert.equal(sent?.remainingMs, 700);
  assert.equal(sent?.firstSend, true);
  assert.equal(sent?.idempotent, false);
  assert.deepEqual(sent?.headers, [{ name: "x-studio", value: "upanga" }]);
  const id = answer.headers.find(({ name }) =>
    name === "lentilspur-request-id"
  );
  assert.equal(id?.value, sent?.requestId);
  assert.deepEqual(decisions.list(), ["request-routed", "request-answered"]);
});

test("what is wrong with a request is told, and nothing is passed on", async () => {
  const authorization = {
    name: "authorization",
    value: `Bearer ${CREDENTIAL}`,
  };
  const cases: readonly (readonly [Partial<CallerRequest>, string])[] = [
    [{ headers: [] }, "401 not-run unauthenticated"],
    [{
      headers: [{ name: "authorization", value: "Bearer wrong" }],
    }, "401 not-run unauthenticated"],
    [{ path: "/reservations" }, "404 not-run no-such-route"],
    [{ method: "DELETE" }, "404 not-run no-such-route"],
    [{ path: "/reservations/%ff/holds" }, "400 not-run malformed-request"],
    [{ path: "/reservations//holds" }, "400 not-run malformed-request"],
    [
      { body: new WholeBody(Buffer.alloc(1_025)) },
      "413 not-run body-too-large",
    ],
    [{
      headers: [authorization, { name: "lentilspur-request-id", value: "x" }],
    }, "400 not-run bad-request-id"],
    [{
      headers: [authorization, {
        name: "lentilspur-deadline-ms",
        value: "soon",
      }],
    }, "400 not-run malformed-request"],
  ];
  const { forwarded, send } = createEntry([]);
  for (const [request, expected] of cases) {
    assert.equal(describe(await send(request)), expected);
  }
  assert.deepEqual(forwarded, []);
});

test("an id that another instance minted further on is taken", async () => {
  // An instance that has read further hands out ids. Its caller uses one at
  // this instance, which lags a little or is about to stop. The id is no worse
  // for it; whether it was used before is for the steward to say.
  const { forwarded, send } = createEntry([makeReply("held")]);
  const authorization = {
    name: "authorization",
    value: `Bearer ${CREDENTIAL}`,
  };
  const ahead = await send({
    headers: [authorization, {
      name: "lentilspur-request-id",
      value: "1-zzzz-b.1",
    }],
  });
  assert.equal(describe(ahead), "201 ran held");
  assert.deepEqual(forwarded.map(({ firstSend }) => firstSend), [false]);
  const invented = await send({
    headers: [authorization, {
      name: "lentilspur-request-id",
      value: "2-zzzz-b.1",
    }],
  });
  assert.equal(describe(invented), "503 unknown not-ready");
  assert.equal(forwarded.length, 1);
});

test("an id that was minted for a caller is no first send", async () => {
  const { gateway, forwarded, send } = createEntry([makeReply("held")]);
  const value = gateway.intake.mintRequestId();
  await send({
    headers: [
      { name: "authorization", value: `Bearer ${CREDENTIAL}` },
      { name: "lentilspur-request-id", value },
    ],
  });
  assert.equal(forwarded[0]?.requestId, value);
  assert.equal(forwarded[0]?.firstSend, false);
});

test("a lost forward is sent again under the same id, as a resend", async () => {
  // The connection to the steward breaks after the request was written. The
  // steward may have it, so the second forward must be recognisable.
  const { forwarded, send } = createEntry([LOST, makeReply("held")]);
  assert.equal(describe(await send()), "201 ran held");
  assert.equal(forwarded.length, 2);
  assert.equal(forwarded[0]?.requestId, forwarded[1]?.requestId);
  assert.deepEqual(forwarded.map(({ firstSend }) => firstSend), [true, false]);
});

test("a refusal after a lost forward does not prove that nothing ran", async () => {
  // The first forward hangs in a dead connection and may still arrive. The
  // second is refused by a full queue. "Not run" could turn out untrue.
  const { send } = createEntry([LOST, makeRefusal()]);
  assert.equal(describe(await send()), "503 unknown steward-lost");
});

test("a steward that dies with a request makes it unknown at once", async () => {
  const { send, forwarded } = createEntry([LOST, NOT_SENT]);
  assert.equal(describe(await send()), "503 unknown steward-lost");
  assert.equal(forwarded.length, 2);
});

test("a steward that cannot be reached is replaced while callers wait", async () => {
  // Instance b dies before it gets the request; a takes its target over.
  const { clock, state, forwarded, send } = createEntry([
    NOT_SENT,
    NOT_SENT,
    makeReply("held"),
  ]);
  const answer = send();
  await clock.advance(60);
  state.apply("b", {
    kind: "steward-changed",
    target: "t1",
    expectedToken: state.getView().getTarget("t1")!.stewardToken,
    to: "a",
  });
  await clock.advance(1);
  assert.equal(describe(await answer), "201 ran held");
  assert.deepEqual(forwarded.map(({ to }) => to), ["b", "b", "local"]);
  assert.deepEqual(forwarded.map(({ firstSend }) => firstSend), [
    true,
    true,
    true,
  ]);
});

test("a steward that stays out of reach is told as not run", async () => {
  const { clock, send } = createEntry([]);
  const answer = send();
  await clock.advance(400);
  assert.equal(describe(await answer), "503 not-run steward-lost");
});

test("a resend that reaches no steward is not said to be not run", async () => {
  // The caller was told `unknown` by another entry and sends the id again. The
  // steward cannot be reached, so nobody can say what became of the first send.
  const { clock, send } = createEntry([]);
  const answer = send({
    headers: [
      { name: "authorization", value: `Bearer ${CREDENTIAL}` },
      { name: "lentilspur-request-id", value: "0-0-b.1" },
    ],
  });
  await clock.advance(400);
  assert.equal(describe(await answer), "503 unknown steward-lost");
});

test("an account over its rate is refused at once and told when to return", async () => {
  const script = Array.from({ length: 200 }, () => makeReply("held"));
  const { decisions, forwarded, send } = createEntry(script);
  const answers: CallerAnswer[] = [];
  for (let count = 0; count < 120; count++) {
    answers.push(await send());
  }
  const burst = ACCOUNT.templates[0]!.burst;
  assert.equal(forwarded.length, burst);
  const refused = answers[burst]!;
  assert.equal(describe(refused), "429 not-run account-over-limit");
  const retryAfter = refused.headers.find(({ name }) =>
    name === "retry-after-ms"
  );
  assert.ok(Number(retryAfter?.value) > 0);
  const line = decisions.all.at(-1);
  assert.ok(line?.decision === "request-answered" && line.limit !== undefined);
});

test("a changed template is in force for the next request", async () => {
  const { state, send, forwarded } = createEntry([makeReply("held")]);
  state.apply("operator:juma", {
    kind: "configuration-published",
    expectedVersion: state.getView().configurationVersion,
    changes: [{
      kind: "template",
      name: TEMPLATE.name,
      content: {
        ...TEMPLATE,
        limits: { ...TEMPLATE.limits, maxBodyBytes: 3 },
      },
    }],
    operator: "juma",
  });
  assert.equal(describe(await send()), "413 not-run body-too-large");
  assert.deepEqual(forwarded, []);
});
