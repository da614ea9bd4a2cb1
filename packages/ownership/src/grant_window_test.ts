import assert from "node:assert/strict";
import { test } from "node:test";
import { GrantWindow } from "./grant_window.ts";

test("grants from one reading end one after another, within what is waited out", () => {
  // A target freezes for a second. A grant of a unit and the one that takes it
  // back both go unanswered, so both rest on the same reading; it thaws and
  // reads them in the wrong order. Their ends must tell it the right one.
  const window = new GrantWindow({
    grantMs: 2_000,
    driftRatio: 0,
    marginMs: 200,
  });
  window.recordReading({
    bootId: "t1/1",
    elapsedMs: 70_000,
    askedAtMs: 999,
    arrivedAtMs: 1_000,
  });
  const given = window.claimNextEnd();
  const takenBack = window.claimNextEnd();
  assert.equal(given, 72_000);
  assert.ok(takenBack > given);
  assert.equal(window.getLapsedFromMs() - 1_000, takenBack - 70_000);
});
