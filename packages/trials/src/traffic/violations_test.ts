import assert from "node:assert/strict";
import { test } from "node:test";
import type { TargetRun } from "@lentilspur/ports/fake_target";
import type { CallerRecord } from "./caller_record.ts";
import {
  computeUnservedMsMax,
  listViolations,
  type TrialObservations,
} from "./violations.ts";

function makeRun(changes: Partial<TargetRun> = {}): TargetRun {
  return {
    target: "t1",
    service: "demands",
    sequence: 1,
    requestId: "a",
    key: 9,
    token: 1,
    startedAtMs: 110,
    endedAtMs: 120,
    ending: "done",
    answerDigest: "d1",
    ...changes,
  };
}

function makeRecord(changes: Partial<CallerRecord> = {}): CallerRecord {
  return {
    clientAccount: "nile",
    template: "demands",
    key: "case-9",
    idempotent: false,
    wantedId: "w1",
    requestId: "a",
    entry: "127.0.0.1:1",
    outcome: "ran",
    status: 200,
    isOwnAnswer: true,
    answerDigest: "d1",
    sentAtMs: 100,
    receivedAtMs: 130,
    ...changes,
  };
}

function listBroken(
  observations: Partial<TrialObservations>,
): readonly string[] {
  const whole = { records: [makeRecord()], runs: [makeRun()], leaving: [] };
  return listViolations({ ...whole, ...observations })
    .map((violation) => violation.promise);
}

test("a request that ran once and was answered breaks nothing", () => {
  assert.deepEqual(listBroken({}), []);
});

test("a second run of a non-idempotent request is found", () => {
  const second = makeRun({ startedAtMs: 500, endedAtMs: 510 });
  assert.deepEqual(listBroken({ runs: [makeRun(), second] }), ["at-most-once"]);
  const lapsed = makeRun({ ...second, ending: "lapsed" });
  assert.deepEqual(listBroken({ runs: [makeRun(), lapsed] }), []);
  const lookup = [makeRecord({ idempotent: true })];
  const runs = [makeRun(), second];
  assert.deepEqual(listBroken({ records: lookup, runs }), []);
});

test("a second attempt that runs after the first did is found", () => {
  // The caller was told "not run" of the first attempt, which ran after all,
  // and so made a second one.
  const refused = makeRecord({ outcome: "not-run", errorKind: "overloaded" });
  const again = makeRecord({ requestId: "b", answerDigest: "d2" });
  const runs = [
    makeRun(),
    makeRun({
      requestId: "b",
      startedAtMs: 500,
      endedAtMs: 510,
      answerDigest: "d2",
    }),
  ];
  assert.deepEqual(listBroken({ records: [refused, again], runs }), [
    "at-most-once",
    "not-run-is-true",
  ]);
});

test("a run before or after the word 'not run' is found", () => {
  const refused = makeRecord({ outcome: "not-run", errorKind: "overloaded" });
  const broken = ["not-run-is-true"];
  assert.deepEqual(listBroken({ records: [refused] }), broken);
  const late = [makeRun({ startedAtMs: 900, endedAtMs: 910 })];
  assert.deepEqual(listBroken({ records: [refused], runs: late }), broken);
  const again = makeRecord({ requestId: "b" });
  const runs = [makeRun({ requestId: "b" })];
  assert.deepEqual(listBroken({ records: [refused, again], runs }), []);
});

test("an answer of another request, or of no run, is found", () => {
  const broken = ["own-answer"];
  const foreign = [makeRecord({ isOwnAnswer: false })];
  assert.deepEqual(listBroken({ records: foreign }), broken);
  const cut = [makeRecord({ answerDigest: "d2" })];
  assert.deepEqual(listBroken({ records: cut }), broken);
});

test("the answer of a run whose hold had run out is its own", () => {
  const failed = makeRecord({ status: 500 });
  const lapsed = makeRun({ ending: "lapsed" });
  assert.deepEqual(listBroken({ records: [failed], runs: [lapsed] }), []);
});

test("two targets that run one key at the same time are found", () => {
  const other = makeRun({ target: "t2", requestId: "b", startedAtMs: 119 });
  const runs = [makeRun(), other];
  assert.deepEqual(listBroken({ runs }), ["sole-owner"]);
  const after = { ...other, startedAtMs: 121, endedAtMs: 125 };
  assert.deepEqual(listBroken({ runs: [makeRun(), after] }), []);
});

test("new work on a target that has long been leaving is found", () => {
  const leaving = (atMs: number) => [{ target: "t1", atMs }];
  assert.deepEqual(listBroken({ leaving: leaving(0) }), []);
  assert.deepEqual(listBroken({ leaving: leaving(-5_000) }), [
    "leaving-target",
  ]);
});

test("who could not read the store is not held to what it said", () => {
  // Seed 1 of the soak: the store refused all calls for 6 s while a target said
  // that it leaves. The entry stood in the store only after the outage.
  const leaving = [{ target: "t1", atMs: -6_000 }];
  const list = (fromMs: number, toMs: number) =>
    listBroken({ leaving, storeOutages: [{ fromMs, toMs }] });
  assert.deepEqual(list(-6_500, -500), []);
  assert.deepEqual(list(-30_000, -7_000), ["leaving-target"]);
  assert.deepEqual(list(500, 5_000), ["leaving-target"]);
});

test("a key is unserved from its first failure to the next answer", () => {
  const records = [
    makeRecord({ sentAtMs: 0, receivedAtMs: 10 }),
    makeRecord({ outcome: "not-run", sentAtMs: 100, receivedAtMs: 101 }),
    makeRecord({ outcome: "none", sentAtMs: 150, receivedAtMs: 200 }),
    makeRecord({ sentAtMs: 300, receivedAtMs: 320 }),
    makeRecord({ key: "case-8", sentAtMs: 300, receivedAtMs: 330 }),
  ];
  assert.equal(computeUnservedMsMax(records), 220);
});

/** Runs of different requests at one target, each on a key of its own. */
function makeRuns(times: readonly number[], path?: string): TargetRun[] {
  return times.map((startedAtMs, key) =>
    makeRun({
      requestId: `r${key}`,
      key,
      startedAtMs,
      endedAtMs: startedAtMs + 10,
      ...(path === undefined ? {} : { path }),
    })
  );
}

test("a request that goes on crashing targets is found", () => {
  const times = [0, 1_000, 2_000, 5_500, 6_500, 7_500, 8_500];
  const runs = makeRuns(times, "/files/1?fatal=1");
  assert.deepEqual(listBroken({ records: [], runs }), ["fatal-request"]);
  const stopped = runs.slice(0, 6);
  assert.deepEqual(listBroken({ records: [], runs: stopped }), []);
});

test("a target that gets more than the limit that it names is found", () => {
  const span = { target: "t1", perSecond: 1, fromMs: 0, toMs: 10_000 };
  const times = Array.from({ length: 60 }, (_, index) => index * 250);
  const many = makeRuns(times);
  const few = makeRuns(times.filter((_, index) => index % 2 === 0));
  assert.deepEqual(
    listBroken({ records: [], runs: many, rateLimits: [span] }),
    [
      "target-limit",
    ],
  );
  assert.deepEqual(
    listBroken({ records: [], runs: few, rateLimits: [span] }),
    [],
  );
});
