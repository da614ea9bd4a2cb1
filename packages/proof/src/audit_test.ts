import assert from "node:assert/strict";
import { test } from "node:test";
import { checkPromises } from "./audit.ts";
import { describeRequest } from "./explain.ts";
import { type LogLine, parseLines } from "./log_line.ts";

type Fields = Readonly<Record<string, unknown>>;

/** Formats lines of one incarnation, 1 ms apart. */
function formatLines(incarnation: string, fields: readonly Fields[]): string {
  return fields.map((each, index) =>
    JSON.stringify({
      time: new Date(index).toISOString(),
      elapsedMs: index,
      instance: `of-${incarnation}`,
      incarnation,
      sequence: index + 1,
      ...each,
    })
  ).join("\n");
}

function makeSend(requestId: string, changes: Fields = {}): Fields {
  return {
    event: "send",
    requestId,
    attempt: 1,
    service: "ledger",
    targetId: "t1",
    idempotent: false,
    outcome: "answered",
    status: 200,
    waitedMs: 0,
    tookMs: 5,
    ...changes,
  };
}

function makeFinal(requestId: string, changes: Fields = {}): Fields {
  return {
    event: "final",
    requestId,
    outcome: "answered",
    status: 200,
    ...changes,
  };
}

function runAudit(...incarnations: readonly (readonly Fields[])[]) {
  const texts = incarnations
    .map((fields, index) => formatLines(String(index), fields));
  return checkPromises(parseLines(texts));
}

function listPromises(...incarnations: readonly (readonly Fields[])[]) {
  return runAudit(...incarnations).findings.map(({ promise }) => promise);
}

test("log lines without a broken promise give no findings", () => {
  const report = runAudit([
    { event: "configuration", version: 3 },
    makeSend("r1", { outcome: "not-run", cause: "full", status: undefined }),
    makeSend("r1", { attempt: 2, targetId: "t2" }),
    makeFinal("r1"),
    makeFinal("r2", { outcome: "overloaded", status: undefined }),
    { event: "configuration", version: 7 },
  ]);
  assert.deepEqual(report, {
    requests: 2,
    sends: 2,
    findings: [],
    missingLines: 0,
    unreadableLines: 0,
  });
});

test("finds a non-idempotent request that may have run on two targets", () => {
  // The connection is reset after the request is sent, and the request is
  // wrongly sent to another target.
  assert.deepEqual(
    listPromises([
      makeSend("r1", { outcome: "unknown", cause: "reset" }),
      makeSend("r1", { attempt: 2, targetId: "t2" }),
      makeFinal("r1"),
    ]),
    ["at-most-once"],
  );
});

test("finds a response of not-run after a send that may have run", () => {
  assert.deepEqual(
    listPromises([
      makeSend("r1", { outcome: "unknown", cause: "silent" }),
      makeFinal("r1", { outcome: "overloaded", status: undefined }),
    ]),
    ["not-run-is-true"],
  );
});

test("does not find a response whose send line another instance has dropped", () => {
  assert.deepEqual(
    listPromises([
      makeSend("r1", { outcome: "not-run", cause: "unreachable" }),
      makeFinal("r1", { sends: 2 }),
    ]),
    [],
  );
});

test("does not find a response of a peer whose send line was dropped, after an unsent hop", () => {
  const forward = { event: "forward", requestId: "r1", outcome: "sent" };
  assert.deepEqual(
    listPromises([
      makeSend("r1", { outcome: "not-run", cause: "unreachable" }),
      { ...forward, sendOutcome: "not-run" },
      { ...forward, sendOutcome: "answered" },
      makeFinal("r1", { sends: 2 }),
    ], [
      makeSend("r1", { outcome: "not-run", cause: "unreachable", origin: "a" }),
    ]),
    [],
  );
});

test("finds a response that none of all sends of the request returned", () => {
  assert.deepEqual(
    listPromises([
      makeSend("r1", { outcome: "not-run", cause: "full" }),
      makeSend("r1", { outcome: "not-run", cause: "unreachable" }),
      makeFinal("r1", { sends: 2 }),
    ]),
    ["own-answer"],
  );
});

test("finds a response that no send of the request returned", () => {
  assert.deepEqual(
    listPromises([
      makeSend("r1", { outcome: "not-run", cause: "full" }),
      makeFinal("r1"),
    ]),
    ["own-answer"],
  );
});

test("finds two owners under one token across instances", () => {
  const owned = { key: 9, token: 4 };
  assert.deepEqual(
    listPromises(
      [makeSend("r1", owned), makeFinal("r1")],
      [makeSend("r2", { ...owned, targetId: "t2" }), makeFinal("r2")],
    ),
    ["sole-owner"],
  );
});

test("finds a configuration version that does not increase, except after a restart", () => {
  const [older, newer] = [3, 7].map((version) => ({
    event: "configuration",
    version,
  }));
  assert.deepEqual(listPromises([newer!], [older!]), []);
  assert.deepEqual(listPromises([newer!, older!]), ["configuration-stays"]);
});

test("counts missing and unreadable lines", () => {
  const [first, , third] = formatLines("a", [
    makeSend("r1"),
    makeFinal("r1"),
    { event: "lines-dropped", routine: 4, notable: 1, repeated: 2 },
  ]).split("\n");
  const report = checkPromises(parseLines([`${first}\nnoise\n${third}`]));
  assert.equal(report.missingLines, 8);
  assert.equal(report.unreadableLines, 1);
});

test("the timeline of a request includes related changes", () => {
  const { lines } = parseLines([formatLines("a", [
    { event: "target", targetId: "t1", service: "ledger", state: "leaving" },
    { event: "target", targetId: "t9", service: "ledger", state: "gone" },
    makeSend("r1", { outcome: "unknown", cause: "silent", key: 9, token: 4 }),
    makeFinal("r1", { outcome: "answer-late", status: undefined }),
    makeFinal("r2"),
  ])]);
  const timeline = describeRequest(lines, "r1").join("\n");
  assert.match(timeline, /t1.*leaving/);
  assert.match(timeline, /send 1 to t1 as the owner of key 9 under token 4/);
  assert.match(timeline, /final outcome: answer-late/);
  assert.match(timeline, /It may have run/);
  assert.doesNotMatch(timeline, /t9|r2/);
  assert.deepEqual(describeRequest(lines as readonly LogLine[], "r3"), []);
});
