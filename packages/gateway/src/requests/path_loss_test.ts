import assert from "node:assert/strict";
import { test } from "node:test";
import { runPathLoss } from "./path_loss_trial.ts";
import type { PathMode } from "./simulated_path.ts";

const LOST_MODES = [
  "silent",
  "resetting",
  "refusing-new",
  "ignoring-new",
] as const satisfies readonly PathMode[];

test("callers of instances without paths to targets are served nearly as often as others", async () => {
  const faults: string[] = [];
  for (const mode of LOST_MODES) {
    for (const keyed of [true, false]) {
      for (const idempotent of [true, false]) {
        const isolated = ["i1", "i4"];
        const trial = { mode, keyed, idempotent, isolated };
        faults.push(...await runPathLoss(trial));
      }
    }
  }
  assert.deepEqual(faults, []);
});
