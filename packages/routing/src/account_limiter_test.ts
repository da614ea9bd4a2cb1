import assert from "node:assert/strict";
import { test } from "node:test";
import { AccountLimiter, computeMaxMinShare } from "./account_limiter.ts";

const PARAMETERS = {
  weight: 1,
  requestsPerSecond: 120,
  burst: 10,
  maxConcurrent: 1_000,
};

/** Admitted requests of `seconds`, with `perSecond` offered evenly. */
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

// The rate is for the whole system. Were each of twelve instances to allow all
// of it, an account would get twelve times what was agreed.
test("an instance allows its part of the rate, and the burst once", () => {
  const limiter = new AccountLimiter({ instanceCount: 12 });
  const admitted = countAdmitted(limiter, 100, 10);
  assert.ok(admitted >= 105 && admitted <= 111, `${admitted} admitted`);
});

// A caller keeps one connection, so all it sends reaches one instance. Held to
// a twelfth of its rate there, it would be refused well within its limits.
test("what the other instances do not use is allowed here", () => {
  const limiter = new AccountLimiter({ instanceCount: 12 });
  limiter.admit("nile", "case-files", PARAMETERS, 0);
  const idlePeers = Array.from({ length: 11 }, () => 1);
  limiter.setPeerDemands("nile", "case-files", idlePeers, 0);
  const admitted = countAdmitted(limiter, 200, 4);
  assert.ok(admitted > 0.8 * 109 * 4, `${admitted} admitted`);
});

test("shares are max-min fair and never add up to more than the whole", () => {
  assert.equal(computeMaxMinShare([], 100), 100);
  assert.equal(computeMaxMinShare([10, 20], 100), 70);
  assert.equal(computeMaxMinShare([80, 80, 80], 100), 25);
  assert.equal(computeMaxMinShare([10, 80], 100), 45);
});

test("a refused caller is told when the next request is due", () => {
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

test("requests in the system are bounded, and released ones make room", () => {
  const limiter = new AccountLimiter({ instanceCount: 1 });
  const parameters = { ...PARAMETERS, maxConcurrent: 1 };
  const offer = () => limiter.admit("nile", "case-files", parameters, 0).kind;
  assert.deepEqual([offer(), offer()], ["admitted", "refused"]);
  limiter.release("nile", "case-files");
  assert.equal(offer(), "admitted");
});
