import assert from "node:assert/strict";
import { test } from "node:test";
import { AdaptiveTimeout } from "./adaptive_timeout.ts";

function replay(timeout: AdaptiveTimeout, fromMs: number, tookMs: number) {
  for (let index = 0; index < 200; index++) {
    timeout.observe(tookMs, fromMs + index * 10);
  }
}

test("nothing is given up before enough has been observed", () => {
  assert.equal(new AdaptiveTimeout().timeoutMs, Infinity);
});

// A target becomes slower as a whole. A fixed timeout would give up all that
// it does, just when it can least afford to be sent it again.
test("the timeout follows the target", () => {
  const timeout = new AdaptiveTimeout();
  replay(timeout, 0, 20);
  assert.equal(timeout.timeoutMs, 60);
  replay(timeout, 5_000, 200);
  assert.equal(timeout.timeoutMs, 600);
});
