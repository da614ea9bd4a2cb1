import assert from "node:assert/strict";
import { test } from "node:test";
import type { PeerMessage } from "./peer_message.ts";
import { isPeerMessage } from "./peer_message_check.ts";

const LIMIT = { life: "t1 5", perSecond: 2.4, ageMs: 10 };
const ASKED = {
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

function isTaken(message: unknown): boolean {
  return isPeerMessage(message as PeerMessage | null);
}

test("whole messages of shared bounds are taken", () => {
  assert.ok(isTaken({ kind: "suspects", ...FROM, reports: [SUSPECT] }));
  assert.ok(isTaken({ kind: "limits", ...FROM, limits: [LIMIT] }));
  assert.ok(isTaken({ ...ASKED, limit: LIMIT }));
  assert.ok(isTaken({ ...ASKED, coldPerSecond: 5.3 }));
  const decision = { kind: "refused", retryAfterMs: 40 };
  assert.ok(isTaken({ kind: "quota", from: "bole-1", number: 1, decision }));
});

test("messages with fields that are missing or of another type are left out", () => {
  const reports = [
    null,
    { ...SUSPECT, fingerprint: "" },
    { ...SUSPECT, crashes: [["life", 20]] },
    { ...SUSPECT, crashes: "none" },
    { ...SUSPECT, clearedAgeMs: "1" },
  ];
  for (const report of reports) {
    assert.ok(!isTaken({ kind: "suspects", ...FROM, reports: [report] }));
  }
  const limits = [null, { ...LIMIT, perSecond: "2" }, { ...LIMIT, life: 7 }];
  for (const limit of limits) {
    assert.ok(!isTaken({ kind: "limits", ...FROM, limits: [limit] }));
  }
  assert.ok(!isTaken({ ...ASKED, limit: { ...LIMIT, life: 7 } }));
  assert.ok(!isTaken({ ...ASKED, coldPerSecond: "5.3" }));
  assert.ok(!isTaken({ ...ASKED, life: undefined }));
  for (const decision of [null, {}, { kind: "granted" }, { kind: "later" }]) {
    const message = { kind: "quota", from: "bole-1", number: 1, decision };
    assert.ok(!isTaken(message));
  }
});
