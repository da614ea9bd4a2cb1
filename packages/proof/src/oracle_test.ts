import assert from "node:assert/strict";
import { test } from "node:test";
import { makePosition } from "@lentilspur/outcomes/position";
import type { Decision, DecisionLine } from "./decision_line.ts";
import type { Fact, FactReport } from "./finding.ts";
import { LogFolding } from "./log_folding.ts";
import { Oracle } from "./oracle.ts";
import {
  createSampleRun,
  describeAnswer,
  describeDispatch,
  describeInForce,
  describeSettlement,
  LineWriter,
  SAMPLE_ANSWER,
  SAMPLE_EXECUTION,
  type SampleRun,
  SECOND_TOKEN,
} from "./sample_run.ts";

function reportRun(run: SampleRun): ReadonlyMap<Fact, FactReport> {
  const folding = new LogFolding();
  run.records.forEach((record) => folding.addRecord(record));
  const oracle = new Oracle({
    history: folding.history,
    missingRecords: folding.listMissing(),
  });
  run.lines.forEach((line) => oracle.observe({ kind: "line", line }));
  run.executions.forEach((execution) =>
    oracle.observe({ kind: "execution", execution })
  );
  run.answers.forEach((answer) => oracle.observe({ kind: "answer", answer }));
  return new Map(oracle.report().map((report) => [report.fact, report]));
}

function listViolated(run: SampleRun): readonly Fact[] {
  return [...reportRun(run).values()]
    .filter(({ verdict }) => verdict === "violated")
    .map(({ fact }) => fact);
}

/** The honest run with one more line by a third instance or by `a`. */
function addLines(
  decisions: readonly Decision[],
  at: { readonly elapsedMs: number; readonly foldedOffset: number },
): SampleRun {
  const run = createSampleRun();
  const writer = new LineWriter("a");
  const own = run.lines.filter(({ instance }) => instance === "a");
  own.forEach(() => writer.create(describeInForce(1), at));
  const added = decisions.map((decision) => writer.create(decision, at));
  return { ...run, lines: [...run.lines, ...added] };
}

const EARLY = { elapsedMs: 200, foldedOffset: 6 };
const AFTER_MOVE = { elapsedMs: 9_100, foldedOffset: 8 };

test("an honest run is proven in every fact that it touches", () => {
  const open = [...reportRun(createSampleRun()).values()]
    .filter(({ verdict }) => verdict !== "proven")
    .map(({ fact, verdict }) => [fact, verdict]);
  // Nobody was told "not-run" in it.
  assert.deepEqual(open, [["not-run-is-true", "nothing-to-check"]]);
});

test("order and duplicates of the evidence change nothing", () => {
  const run = createSampleRun();
  const shuffled = {
    ...run,
    records: [...run.records, ...run.records].reverse(),
    lines: [...run.lines, ...run.lines].reverse(),
  };
  assert.deepEqual(reportRun(shuffled), reportRun(run));
});

test("a second run of a deposit is found", () => {
  const run = createSampleRun();
  const second = { ...SAMPLE_EXECUTION, sequence: 1, startedAtMs: 110 };
  const found = listViolated({
    ...run,
    executions: [...run.executions, second],
  });
  assert.ok(found.includes("at-most-once"));
});

test("a second dispatch without proof about the first is found", () => {
  const run = addLines([describeDispatch(), describeSettlement("ran")], EARLY);
  assert.deepEqual(listViolated(run), ["at-most-once"]);
});

test("a second dispatch after a proved refusal is honest", () => {
  const run = createSampleRun();
  const refused = addLines([
    describeDispatch(),
    describeSettlement("not-run"),
  ], EARLY);
  assert.deepEqual(listViolated({ ...run, lines: refused.lines }), []);
});

test("an execution behind a caller that was told not-run is found", () => {
  const run = createSampleRun();
  const told = { ...SAMPLE_ANSWER, outcome: "not-run" as const, status: 503 };
  assert.deepEqual(listViolated({ ...run, answers: [told] }), [
    "not-run-is-true",
  ]);
});

test("an execution that belongs to a later send leaves not-run true", () => {
  const run = createSampleRun();
  const told = {
    ...SAMPLE_ANSWER,
    outcome: "not-run" as const,
    sentAtMs: 10,
    receivedAtMs: 20,
  };
  assert.deepEqual(
    listViolated({ ...run, answers: [told, SAMPLE_ANSWER] }),
    [],
  );
});

test("an entry that answers not-run over a settled run is found", () => {
  const run = createSampleRun();
  const lines = run.lines.map((line): DecisionLine =>
    line.decision === "request-answered"
      ? { ...line, ...describeAnswer("not-run") } as DecisionLine
      : line
  );
  const found = listViolated({ ...run, lines, executions: [], answers: [] });
  assert.deepEqual(found, ["not-run-is-true"]);
});

test("the answer to somebody else's request is found", () => {
  const run = createSampleRun();
  const foreign = { ...SAMPLE_ANSWER, answerDigest: "d2" };
  assert.deepEqual(listViolated({ ...run, answers: [foreign] }), [
    "whole-answer",
  ]);
});

test("a token that the log gave to another target is found", () => {
  const run = addLines(
    [describeDispatch("t1", SECOND_TOKEN), describeSettlement("not-run")],
    AFTER_MOVE,
  );
  assert.ok(listViolated(run).includes("sole-owner"));
});

test("a dispatch under a token whose end was folded is found", () => {
  const run = addLines(
    [describeDispatch(), describeSettlement("not-run")],
    AFTER_MOVE,
  );
  assert.deepEqual(listViolated(run), ["sole-owner"]);
});

test("executions of one key on two targets at one time are found", () => {
  const run = createSampleRun();
  const other = {
    ...SAMPLE_EXECUTION,
    requestId: "0-1-a.2",
    target: "t2",
    unitToken: SECOND_TOKEN,
    startedAtMs: 103,
  };
  const found = listViolated({
    ...run,
    executions: [...run.executions, other],
  });
  assert.deepEqual(found, ["sole-owner"]);
});

test("a return to an older token is found", () => {
  const run = addLines([
    describeDispatch("t2", SECOND_TOKEN),
    describeSettlement("not-run", "t2"),
    describeDispatch(),
    describeSettlement("not-run"),
  ], AFTER_MOVE);
  assert.ok(listViolated(run).includes("assignment-survives"));
});

test("new work for a leaving target long after folding it is found", () => {
  const run = addLines([
    describeDispatch(),
    describeSettlement("not-run"),
  ], { elapsedMs: 9_000 + 5_001, foldedOffset: 11 });
  assert.ok(listViolated(run).includes("leaving-target-spared"));
});

test("an instance that left without an answer is found", () => {
  const run = createSampleRun();
  const cut = { ...SAMPLE_ANSWER, outcome: "none" as const };
  assert.deepEqual(listViolated({ ...run, answers: [cut] }), [
    "planned-stop-cuts-nothing",
  ]);
});

test("an instance that goes back to an older version is found", () => {
  const run = addLines([describeInForce(1)], {
    elapsedMs: 9_100,
    foldedOffset: 11,
  });
  assert.deepEqual(listViolated(run), ["configuration-in-force"]);
});

test("a version taken from another position is found", () => {
  const wrong: Decision = {
    decision: "configuration-in-force",
    version: 2,
    position: makePosition(2, 0),
  };
  const run = addLines([wrong], { elapsedMs: 9_100, foldedOffset: 11 });
  assert.deepEqual(listViolated(run), ["configuration-in-force"]);
});

test("each missing line leaves open what it could have shown", () => {
  const run = createSampleRun();
  for (const missing of run.lines) {
    const lines = run.lines.filter((line) => line !== missing);
    const reports = [...reportRun({ ...run, lines }).values()];
    assert.ok(
      reports.some(({ verdict }) => verdict === "cannot-be-shown"),
      `nothing is open without line ${missing.sequence} of ${missing.instance}`,
    );
    assert.ok(reports.every(({ verdict }) => verdict !== "violated"));
  }
});

test("each missing log record is named", () => {
  const run = createSampleRun();
  for (const missing of run.records.slice(0, -1)) {
    const records = run.records.filter((record) => record !== missing);
    const reports = [...reportRun({ ...run, records }).values()];
    assert.ok(
      reports.every(({ verdict }) => verdict === "cannot-be-shown"),
      `record ${missing.offset}: ${
        reports.map(({ fact, verdict }) => `${fact} ${verdict}`)
      }`,
    );
  }
});
