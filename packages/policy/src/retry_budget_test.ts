import assert from "node:assert/strict";
import { test } from "node:test";
import { RetryBudget } from "./retry_budget.ts";

// Every lookup of a target fails. Sent again without bound, they would double
// or triple the load on it for as long as the fault lasts.
test("retries are a tenth of first sends when everything fails", () => {
  const budget = new RetryBudget({ budgetRatio: 0.1, maxAttempts: 3 });
  let retries = 0;
  for (let index = 0; index < 1_000; index++) {
    budget.recordFirstSend();
    retries += budget.claim(1, index) ? 1 : 0;
  }
  assert.ok(retries >= 100 && retries <= 111, `${retries} retries`);
});

test("no lookup is sent more often than the policy allows", () => {
  const budget = new RetryBudget({ budgetRatio: 1, maxAttempts: 2 });
  assert.equal(budget.claim(1, 0), true);
  assert.equal(budget.claim(2, 0), false);
});

test("pauses grow, have a bound, and are jittered below it", () => {
  const budget = new RetryBudget({ budgetRatio: 1, maxAttempts: 20 });
  const longest = { draw: () => 1 };
  const shortest = { draw: () => 0 };
  const pauses = [1, 2, 3, 19].map((attempt) =>
    budget.computeBackoffMs(attempt, longest)
  );
  assert.deepEqual(pauses, [10, 20, 40, 500]);
  assert.equal(budget.computeBackoffMs(3, shortest), 0);
});
