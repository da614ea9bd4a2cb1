import assert from "node:assert/strict";
import { test } from "node:test";
import { DEFAULT_KEEPER_TIMING, resolveKeeperTiming } from "./keeper_timing.ts";

test("a shorter hold is renewed more often", () => {
  // A target may accept only a short hold: at the default interval, a single
  // failed renewal would let it expire.
  const timing = resolveKeeperTiming(1_000);
  const { holdMs, renewIntervalMs, ...others } = timing;
  assert.deepEqual({ holdMs, renewIntervalMs }, {
    holdMs: 1_000,
    renewIntervalMs: 250,
  });
  const { holdMs: _hold, renewIntervalMs: _interval, ...defaults } =
    DEFAULT_KEEPER_TIMING;
  assert.deepEqual(others, defaults);
});
