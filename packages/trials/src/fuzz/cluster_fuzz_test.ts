import assert from "node:assert/strict";
import { test } from "node:test";
import { runClusterFuzz } from "./cluster_fuzz.ts";

const SEEDS = [1, 2, 3];
/** About ten seconds a seed, so that CI stays under two minutes. */
const RUNS = 30;

for (const seed of SEEDS) {
  test(`a cluster under drawn failures keeps every fact, seed ${seed}`, async () => {
    const outcome = await runClusterFuzz({ seed, runs: RUNS });
    assert.ok(!outcome.failed, `${outcome.sequence}\n${outcome.error}`);
  });
}
