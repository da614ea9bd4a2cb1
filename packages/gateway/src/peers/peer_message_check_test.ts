import assert from "node:assert/strict";
import { test } from "node:test";
import type { PeerMessage } from "./peer_message.ts";
import { isPeerMessage } from "./peer_message_check.ts";

const LIMIT = { life: "t1 5", perSecond: 2.4, ageMs: 10 };
const QUOTA_REQUEST = {
  kind: "quota-request",
  from: "bole-1",
  number: 1,
  life: "t1 5",
  limit: null,
  coldPerSecond: null,
  maxWaitMs: 5,
  share: 1,
};
const SUSPECT = {
  fingerprint: "f",
  crashes: [["life", 20, 50]],
  clearedAgeMs: null,
  trialAgeMs: 3,
};
const FROM = { from: "bole-1", dataCentre: "bole" };

function isAccepted(message: unknown): boolean {
  return isPeerMessage(message as PeerMessage | null);
}

test("complete messages about suspects, limits and permits are accepted", () => {
  const named = { ...SUSPECT, crashes: [["life", 20, 30, "send", 10]] };
  for (const report of [SUSPECT, named, { ...named, refuted: ["a"] }]) {
    assert.ok(isAccepted({ kind: "suspects", ...FROM, reports: [report] }));
  }
  assert.ok(isAccepted({ kind: "limits", ...FROM, limits: [LIMIT] }));
  assert.ok(isAccepted({ ...QUOTA_REQUEST, limit: LIMIT }));
  assert.ok(isAccepted({ ...QUOTA_REQUEST, coldPerSecond: 5.3 }));
  const decision = { kind: "refused", retryAfterMs: 40 };
  assert.ok(isAccepted({ kind: "quota", from: "bole-1", number: 1, decision }));
});

test("messages with missing fields or fields of a wrong type are rejected", () => {
  const reports = [
    null,
    { ...SUSPECT, fingerprint: "" },
    { ...SUSPECT, crashes: [["life", 20]] },
    { ...SUSPECT, crashes: "none" },
    { ...SUSPECT, crashes: [["life", 20, 30, 7]] },
    { ...SUSPECT, crashes: [["life", 20, 30, "send", "10"]] },
    { ...SUSPECT, refuted: [7] },
    { ...SUSPECT, trials: "1" },
    { ...SUSPECT, clearedAgeMs: "1" },
  ];
  for (const report of reports) {
    assert.ok(!isAccepted({ kind: "suspects", ...FROM, reports: [report] }));
  }
  const limits = [null, { ...LIMIT, perSecond: "2" }, { ...LIMIT, life: 7 }];
  for (const limit of limits) {
    assert.ok(!isAccepted({ kind: "limits", ...FROM, limits: [limit] }));
  }
  assert.ok(!isAccepted({ ...QUOTA_REQUEST, limit: { ...LIMIT, life: 7 } }));
  assert.ok(!isAccepted({ ...QUOTA_REQUEST, coldPerSecond: "5.3" }));
  assert.ok(!isAccepted({ ...QUOTA_REQUEST, life: undefined }));
  for (const decision of [null, {}, { kind: "granted" }, { kind: "later" }]) {
    const message = { kind: "quota", from: "bole-1", number: 1, decision };
    assert.ok(!isAccepted(message));
  }
});

test("a report of a leaving target is accepted only if it names the target", () => {
  const accepts = (target: unknown) =>
    isAccepted({ kind: "leaving", ...FROM, target });
  assert.ok(accepts({ id: "t1" }));
  assert.ok(accepts({ id: "t1", bornMs: 5 }));
  for (const target of [null, {}, { id: 7 }, { id: "t1", bornMs: "5" }]) {
    assert.ok(!accepts(target));
  }
});

test("messages about pledges are accepted only with a part and a term", () => {
  const pledge = { kind: "pledge", from: "bole-1", part: 1, number: 2 };
  assert.ok(isAccepted({ ...pledge, isGiven: true }));
  assert.ok(isAccepted({ ...pledge, isGiven: true, ranForMs: 12 }));
  assert.ok(!isAccepted({ ...pledge, isGiven: true, ranForMs: "12" }));
  for (const kind of ["pledge-inquiry", "pledges-over"]) {
    const message = { kind, from: "bole-1", part: 1, term: 23 };
    assert.ok(isAccepted(message), kind);
    assert.ok(!isAccepted({ ...message, term: "23" }), kind);
    assert.ok(!isAccepted({ ...message, part: undefined }), kind);
  }
});
