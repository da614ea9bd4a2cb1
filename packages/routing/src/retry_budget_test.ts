import assert from "node:assert/strict";
import { test } from "node:test";
import { RetryBudget } from "./retry_budget.ts";

const LIMITS = { ratio: 0.2, reserve: 64, windowMs: 10_000 };

test("the second sends of all instances stay within the limit together", () => {
  // Every target refuses, and a dozen instances send every request again: the
  // service gets twice the load when it can do least. Whatever the number of
  // instances, their second sends in a window add up to less than the limit.
  for (const instances of [1, 12, 76]) {
    const allowances = Array.from(
      { length: instances },
      () => new RetryBudget(LIMITS),
    );
    let retries = 0;
    const requests = 1_200;
    for (let index = 0; index < requests; index++) {
      const allowance = allowances[index % instances]!;
      const nowMs = index * 8;
      allowance.recordFirstAttempt(nowMs);
      retries += allowance.claimRetry(instances, nowMs) ? 1 : 0;
    }
    assert.ok(retries <= LIMITS.ratio * requests + LIMITS.reserve);
    assert.ok(retries > 0.05 * requests, `${retries} of ${requests}`);
  }
});

test("what was sent again long ago is allowed anew", () => {
  const allowance = new RetryBudget({ ...LIMITS, ratio: 0, reserve: 2 });
  assert.ok(allowance.claimRetry(1, 0));
  assert.ok(!allowance.claimRetry(1, 5_000));
  assert.ok(allowance.claimRetry(1, 10_001));
});

test("new limits do not open a new window", () => {
  // The settings change while second sends are at their limit. Counted anew,
  // they would come to twice the limit within one window.
  const limits = { ratio: 0, reserve: 10, windowMs: 10_000 };
  const allowance = new RetryBudget(limits);
  const count = () =>
    Array.from({ length: 20 }, () => allowance.claimRetry(1, 0))
      .filter((isClaimed) => isClaimed).length;
  assert.equal(count(), 6);
  allowance.setLimits({ ...limits, ratio: 0.1 });
  assert.equal(count(), 0);
});
