import assert from "node:assert/strict";
import { test } from "node:test";
import type { TargetRun } from "@lentilspur/ports/fake_target";
import type { CallerRecord } from "../traffic/caller_record.ts";
import { describeFailedAttempt, isResetAtTheEnd } from "./planned_stop.ts";

const STOP = { instance: "instance-2", signalledAtMs: 1_000, endedAtMs: 6_600 };

const CUT_OFF: CallerRecord = {
  clientAccount: "highland-mutual",
  template: "demands",
  key: "case-3",
  method: "POST",
  path: "/case-files/case-3/demands",
  idempotent: false,
  wantedId: "w1",
  entry: "127.0.0.1:7001",
  outcome: "none",
  cause: "UND_ERR_SOCKET: other side closed",
  sentAtMs: 4_686,
  receivedAtMs: 6_600,
};

const RUN: TargetRun = {
  target: "demands-1",
  service: "demands",
  sequence: 1,
  requestId: "r1",
  key: 3,
  path: CUT_OFF.path,
  token: 1,
  startedAtMs: 4_700,
  endedAtMs: null,
  ending: "running",
};

test("a request that was cut off at a target names the target", () => {
  const observations = { records: [CUT_OFF], runs: [RUN] };
  assert.equal(
    describeFailedAttempt(CUT_OFF, STOP, observations),
    '"no id" through 127.0.0.1:7001 ended as none ' +
      "(UND_ERR_SOCKET: other side closed) during the stop of instance-2; " +
      "POST /case-files/case-3/demands with the default deadline; " +
      "sent 3686 ms after the signal; open for 1914 ms; " +
      "started on demands-1 as r1 after 14 ms and did not end; " +
      "the process ended 5600 ms after it",
  );
});

test("a run that another caller got the response of is not named", () => {
  const other = { ...CUT_OFF, requestId: "r1", outcome: "ran" as const };
  const observations = { records: [CUT_OFF, other], runs: [RUN] };
  assert.match(
    describeFailedAttempt(CUT_OFF, STOP, observations),
    /started on no target/,
  );
});

test("only a connection that was reset in the last moments of a process counts as known", () => {
  const reset: CallerRecord = {
    ...CUT_OFF,
    cause: "ECONNRESET: connect ECONNRESET 127.0.0.1:7001",
    sentAtMs: 6_575,
    receivedAtMs: 6_598,
  };
  const others: readonly CallerRecord[] = [
    { ...reset, sentAtMs: 6_500 },
    { ...reset, cause: "ECONNRESET: read ECONNRESET" },
    { ...reset, requestId: "r1" },
    { ...reset, outcome: "unknown" },
  ];
  const observations = { records: [reset], runs: [] };
  assert.ok(isResetAtTheEnd(reset, STOP, observations));
  for (const record of others) {
    assert.ok(!isResetAtTheEnd(record, STOP, observations));
  }
  const run = { ...RUN, startedAtMs: 6_580 };
  assert.ok(!isResetAtTheEnd(reset, STOP, { records: [reset], runs: [run] }));
});
