import assert from "node:assert/strict";
import { test } from "node:test";
import { checkPromises } from "./audit.ts";
import { describeRequest } from "./explain.ts";
import { type LogLine, parseLines } from "./log_line.ts";

type Fields = Readonly<Record<string, unknown>>;

/** Lines of one incarnation, a millisecond apart. */
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

function checkDay(...incarnations: readonly (readonly Fields[])[]) {
  const texts = incarnations
    .map((fields, index) => formatLines(String(index), fields));
  return checkPromises(parseLines(texts));
}

function listPromises(...incarnations: readonly (readonly Fields[])[]) {
  return checkDay(...incarnations).findings.map(({ promise }) => promise);
}

test("an ordinary day breaks nothing", () => {
  const report = checkDay([
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

test("a deposit that may have run on two targets is found", () => {
  // Its connection was reset after it was sent, and it was sent once more.
  assert.deepEqual(
    listPromises([
      makeSend("r1", { outcome: "unknown", cause: "reset" }),
      makeSend("r1", { attempt: 2, targetId: "t2" }),
      makeFinal("r1"),
    ]),
    ["at-most-once"],
  );
});

test("a false not-run is found", () => {
  assert.deepEqual(
    listPromises([
      makeSend("r1", { outcome: "unknown", cause: "silent" }),
      makeFinal("r1", { outcome: "overloaded", status: undefined }),
    ]),
    ["not-run-is-true"],
  );
});

test("an answer of another request is found", () => {
  assert.deepEqual(
    listPromises([
      makeSend("r1", { outcome: "not-run", cause: "full" }),
      makeFinal("r1"),
    ]),
    ["own-answer"],
  );
});

test("two owners under one token are found, across instances", () => {
  const owned = { key: 9, token: 4 };
  assert.deepEqual(
    listPromises(
      [makeSend("r1", owned), makeFinal("r1")],
      [makeSend("r2", { ...owned, targetId: "t2" }), makeFinal("r2")],
    ),
    ["sole-owner"],
  );
});

test("a configuration that goes back is found, a restart is none", () => {
  const [older, newer] = [3, 7].map((version) => ({
    event: "configuration",
    version,
  }));
  assert.deepEqual(listPromises([newer!], [older!]), []);
  assert.deepEqual(listPromises([newer!, older!]), ["configuration-stays"]);
});

test("what is missing is said, not passed over", () => {
  const [first, , third] = formatLines("a", [
    makeSend("r1"),
    makeFinal("r1"),
    { event: "lines-dropped", routine: 4, notable: 1 },
  ]).split("\n");
  const report = checkPromises(parseLines([`${first}\nnoise\n${third}`]));
  assert.equal(report.missingLines, 6);
  assert.equal(report.unreadableLines, 1);
});

test("the story of a request shows what changed around it", () => {
  const { lines } = parseLines([formatLines("a", [
    { event: "target", targetId: "t1", service: "ledger", state: "leaving" },
    { event: "target", targetId: "t9", service: "ledger", state: "gone" },
    makeSend("r1", { outcome: "unknown", cause: "silent", key: 9, token: 4 }),
    makeFinal("r1", { outcome: "answer-late", status: undefined }),
    makeFinal("r2"),
  ])]);
  const story = describeRequest(lines, "r1").join("\n");
  assert.match(story, /t1.*leaving/);
  assert.match(story, /send 1 to t1 as the owner of key 9 under token 4/);
  assert.match(story, /told answer-late/);
  assert.match(story, /It may have run/);
  assert.doesNotMatch(story, /t9|r2/);
  assert.deepEqual(describeRequest(lines as readonly LogLine[], "r3"), []);
});
