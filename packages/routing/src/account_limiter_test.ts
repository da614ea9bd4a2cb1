import assert from "node:assert/strict";
import { test } from "node:test";
import { AccountLimiter, computeMaxMinShare } from "./account_limiter.ts";

const PARAMETERS = {
  weight: 1,
  requestsPerSecond: 120,
  burst: 10,
  maxConcurrent: 1_000,
};

/** Counts admitted requests when `perSecond` arrive evenly for `seconds`. */
function countAdmitted(
  limiter: AccountLimiter,
  perSecond: number,
  seconds: number,
): number {
  let admitted = 0;
  for (let index = 0; index < perSecond * seconds; index++) {
    const nowMs = index * 1_000 / perSecond;
    const decision = limiter.admit("nile", "case-files", PARAMETERS, nowMs);
    admitted += decision.kind === "admitted" ? 1 : 0;
  }
  return admitted;
}

// The rate applies to the whole deployment. If each of 12 instances allowed all
// of it, an account would get 12 times its agreed rate.
test("an instance allows its share of the rate, and the burst once", () => {
  const limiter = new AccountLimiter({ instanceCount: 12 });
  const admitted = countAdmitted(limiter, 100, 10);
  assert.ok(admitted >= 105 && admitted <= 111, `${admitted} admitted`);
});

// A caller that keeps one connection sends everything to one instance. A fixed
// twelfth of the rate there would refuse requests within its limit.
test("an instance allows the part of the rate that other instances do not use", () => {
  const limiter = new AccountLimiter({ instanceCount: 12 });
  limiter.admit("nile", "case-files", PARAMETERS, 0);
  const idlePeers = Array.from({ length: 11 }, () => 1);
  limiter.setPeerDemands("nile", "case-files", idlePeers, 0);
  const admitted = countAdmitted(limiter, 200, 4);
  assert.ok(admitted > 0.8 * 109 * 4, `${admitted} admitted`);
});

test("shares are max-min fair and never add up to more than the total", () => {
  assert.equal(computeMaxMinShare([], 100), 100);
  assert.equal(computeMaxMinShare([10, 20], 100), 70);
  assert.equal(computeMaxMinShare([80, 80, 80], 100), 25);
  assert.equal(computeMaxMinShare([10, 80], 100), 45);
});

test("a refusal gives the time until a request is admitted again", () => {
  const limiter = new AccountLimiter({ instanceCount: 1 });
  for (let index = 0; index < PARAMETERS.burst; index++) {
    limiter.admit("nile", "case-files", PARAMETERS, 0);
  }
  const refused = limiter.admit("nile", "case-files", PARAMETERS, 0);
  assert.ok(refused.kind === "refused");
  const later = limiter.admit(
    "nile",
    "case-files",
    PARAMETERS,
    refused.retryAfterMs,
  );
  assert.equal(later.kind, "admitted");
});

test("concurrent requests are bounded, and one that ends makes room", () => {
  const limiter = new AccountLimiter({ instanceCount: 1 });
  const parameters = { ...PARAMETERS, maxConcurrent: 1 };
  const admit = () => limiter.admit("nile", "case-files", parameters, 0).kind;
  assert.deepEqual([admit(), admit()], ["admitted", "refused"]);
  limiter.release("nile", "case-files");
  assert.equal(admit(), "admitted");
});
