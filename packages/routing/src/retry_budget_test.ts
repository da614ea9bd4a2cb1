import assert from "node:assert/strict";
import { test } from "node:test";
import { RetryBudget, type RetryClaim } from "./retry_budget.ts";

const LIMITS = { ratio: 0.2, reserve: 64, windowMs: 10_000 };

function isGranted({ kind }: RetryClaim): boolean {
  return kind === "granted";
}

test("the retries of all instances together stay within the limit", () => {
  // Every target refuses and a dozen instances retry every request, so the load
  // doubles when capacity is lowest. The retries of all instances in a window
  // must stay below the limit, whatever the number of instances.
  for (const instances of [1, 12, 76]) {
    const budgets = Array.from(
      { length: instances },
      () => new RetryBudget(LIMITS, -Infinity),
    );
    let retries = 0;
    const requests = 1_200;
    for (let index = 0; index < requests; index++) {
      const budget = budgets[index % instances]!;
      const nowMs = index * 8;
      budget.recordFirstAttempt(nowMs);
      retries += isGranted(budget.claimRetry(instances, nowMs)) ? 1 : 0;
    }
    assert.ok(retries <= LIMITS.ratio * requests + LIMITS.reserve);
    assert.ok(retries > 0.05 * requests, `${retries} of ${requests}`);
  }
});

test("retries outside the window no longer count", () => {
  const budget = new RetryBudget(
    { ...LIMITS, ratio: 0, reserve: 2 },
    -Infinity,
  );
  assert.ok(isGranted(budget.claimRetry(1, 0)));
  assert.ok(!isGranted(budget.claimRetry(1, 5_000)));
  assert.ok(isGranted(budget.claimRetry(1, 10_001)));
});

test("new limits do not reset the window", () => {
  // The settings change while the budget is used up. If counting restarted,
  // twice the limit could be retried within one window.
  const limits = { ratio: 0, reserve: 10, windowMs: 10_000 };
  const budget = new RetryBudget(limits, -Infinity);
  const count = () =>
    Array.from({ length: 20 }, () => budget.claimRetry(1, 0))
      .filter(isGranted).length;
  assert.equal(count(), 6);
  budget.setLimits({ ...limits, ratio: 0.1 });
  assert.equal(count(), 0);
});
