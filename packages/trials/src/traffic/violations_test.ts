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
    method: "POST",
    path: "/demands/case-9",
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

function listViolatedPromises(
  observations: Partial<TrialObservations>,
): readonly string[] {
  const whole = {
    records: [makeRecord()],
    runs: [makeRun()],
    leavingTargets: [],
  };
  return listViolations({ ...whole, ...observations })
    .map((violation) => violation.promise);
}

test("a request that ran once and got its response violates nothing", () => {
  assert.deepEqual(listViolatedPromises({}), []);
});

test("a second run of a non-idempotent request is detected", () => {
  const second = makeRun({ startedAtMs: 500, endedAtMs: 510 });
  assert.deepEqual(listViolatedPromises({ runs: [makeRun(), second] }), [
    "at-most-once",
  ]);
  const lapsed = makeRun({ ...second, ending: "lapsed" });
  assert.deepEqual(listViolatedPromises({ runs: [makeRun(), lapsed] }), []);
  const lookup = [makeRecord({ idempotent: true })];
  const runs = [makeRun(), second];
  assert.deepEqual(listViolatedPromises({ records: lookup, runs }), []);
});

test("a retry that runs although the first attempt ran is detected", () => {
  // The first attempt ran but was reported as not run, so the caller retried.
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
  assert.deepEqual(
    listViolatedPromises({ records: [refused, again], runs }),
    [
      "at-most-once",
      "not-run-is-true",
    ],
  );
});

test("a run before or after the report that the request did not run is detected", () => {
  const refused = makeRecord({ outcome: "not-run", errorKind: "overloaded" });
  const violated = ["not-run-is-true"];
  assert.deepEqual(listViolatedPromises({ records: [refused] }), violated);
  const late = [makeRun({ startedAtMs: 900, endedAtMs: 910 })];
  assert.deepEqual(
    listViolatedPromises({ records: [refused], runs: late }),
    violated,
  );
  const again = makeRecord({ requestId: "b" });
  const runs = [makeRun({ requestId: "b" })];
  assert.deepEqual(
    listViolatedPromises({ records: [refused, again], runs }),
    [],
  );
});

test("a response to another request, or from no run, is detected", () => {
  const violated = ["own-answer"];
  const foreign = [makeRecord({ isOwnAnswer: false })];
  assert.deepEqual(listViolatedPromises({ records: foreign }), violated);
  const cut = [makeRecord({ answerDigest: "d2" })];
  assert.deepEqual(listViolatedPromises({ records: cut }), violated);
});

test("the response of a run whose hold expired counts as its own", () => {
  const failed = makeRecord({ status: 500 });
  const lapsed = makeRun({ ending: "lapsed" });
  assert.deepEqual(
    listViolatedPromises({ records: [failed], runs: [lapsed] }),
    [],
  );
});

test("two targets that run one key at the same time are detected", () => {
  const other = makeRun({ target: "t2", requestId: "b", startedAtMs: 119 });
  const runs = [makeRun(), other];
  assert.deepEqual(listViolatedPromises({ runs }), ["sole-owner"]);
  const after = { ...other, startedAtMs: 121, endedAtMs: 125 };
  assert.deepEqual(listViolatedPromises({ runs: [makeRun(), after] }), []);
});

test("a run on a target that announced its leaving long before is detected", () => {
  const createLeaving = (atMs: number) => [{ target: "t1", atMs }];
  assert.deepEqual(
    listViolatedPromises({ leavingTargets: createLeaving(0) }),
    [],
  );
  assert.deepEqual(
    listViolatedPromises({ leavingTargets: createLeaving(-5_000) }),
    [
      "leaving-target",
    ],
  );
});

test("runs on a leaving target are allowed while the store cannot be read", () => {
  // Seed 1 of the soak: the store refused all calls for 6 s while a target
  // announced that it leaves, so its entry reached the store after the outage.
  const leavingTargets = [{ target: "t1", atMs: -6_000 }];
  const list = (fromMs: number, toMs: number) =>
    listViolatedPromises({
      leavingTargets,
      storeOutages: [{ fromMs, toMs }],
    });
  assert.deepEqual(list(-6_500, -500), []);
  assert.deepEqual(list(-30_000, -7_000), ["leaving-target"]);
  assert.deepEqual(list(500, 5_000), ["leaving-target"]);
});

test("a key is unserved from its first failure to the next response", () => {
  const records = [
    makeRecord({ sentAtMs: 0, receivedAtMs: 10 }),
    makeRecord({ outcome: "not-run", sentAtMs: 100, receivedAtMs: 101 }),
    makeRecord({ outcome: "none", sentAtMs: 150, receivedAtMs: 200 }),
    makeRecord({ sentAtMs: 300, receivedAtMs: 320 }),
    makeRecord({ key: "case-8", sentAtMs: 300, receivedAtMs: 330 }),
  ];
  assert.equal(computeUnservedMsMax(records), 220);
});

/** Creates runs of different requests at one target, each for its own key. */
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

test("a request that keeps crashing targets is detected", () => {
  const times = [0, 1_000, 2_000, 5_500, 6_500, 7_500, 8_500];
  const runs = makeRuns(times, "/files/1?fatal=1");
  assert.deepEqual(listViolatedPromises({ records: [], runs }), [
    "fatal-request",
  ]);
  const stopped = runs.slice(0, 6);
  assert.deepEqual(listViolatedPromises({ records: [], runs: stopped }), []);
});

test("a target that receives more requests than its limit allows is detected", () => {
  const period = { target: "t1", perSecond: 1, fromMs: 0, toMs: 10_000 };
  const times = Array.from({ length: 60 }, (_, index) => index * 250);
  const many = makeRuns(times);
  const few = makeRuns(times.filter((_, index) => index % 2 === 0));
  assert.deepEqual(
    listViolatedPromises({ records: [], runs: many, rateLimits: [period] }),
    [
      "target-limit",
    ],
  );
  assert.deepEqual(
    listViolatedPromises({ records: [], runs: few, rateLimits: [period] }),
    [],
  );
});
