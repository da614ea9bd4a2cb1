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

test("instances that reach few of the targets do not overload these while others are idle", async () => {
  const faults: string[] = [];
  for (const mode of LOST_MODES) {
    for (const keyed of [true, false]) {
      faults.push(
        ...await runPathLoss({
          mode,
          keyed,
          idempotent: false,
          isolated: ["i1", "i2", "i3", "i4"],
          lostTargets: ["t1", "t2", "t3", "t4", "t5", "t6"],
          workMs: 200,
        }),
      );
    }
  }
  assert.deepEqual(faults, []);
});
