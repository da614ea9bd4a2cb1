import assert from "node:assert/strict";
import { test } from "node:test";
import type { CallerRequest } from "../entry/caller_request.ts";
import { RequestSimulation } from "./request_simulation.ts";

const INSTANCE = "bole";
const TARGETS = 4;
const WORK_MS = 200;
/** Longer than any deadline. */
const SLOW_WORK_MS = 20_000;
/** A key is served again within this time after its owner is lost. */
const RECOVERY_MS = 5_000;
const MEASURED_MS = 5_000;
const INTERVAL_MS = 40;

/** Targets of one service, some or all of which are slow for a while. */
class SlowTargets {
  readonly simulation: RequestSimulation;
  /** Targets that are slow, by their number from 1. */
  readonly slow = new Set<number>();

  constructor(options: { readonly keyed: boolean }) {
    this.simulation = new RequestSimulation({
      ...options,
      instances: [INSTANCE],
      targets: TARGETS,
      route: { timeoutMs: 10_000, goalMs: 800, idempotent: false },
      target: { workMs: WORK_MS },
      dropsGivenUp: true,
      getTargetWorkMs: (id) =>
        this.slow.has(Number(id.slice(1))) ? SLOW_WORK_MS : undefined,
    });
  }

  get clock() {
    return this.simulation.clock;
  }

  setSlow(...numbers: readonly number[]): void {
    this.slow.clear();
    numbers.forEach((number) => this.slow.add(number));
  }

  /**
   * Sends requests at a constant rate; returns the share of them that got an
   * answer of a target.
   */
  async measureServed(
    forMs: number,
    changes: Partial<CallerRequest> = {},
    intervalMs = INTERVAL_MS,
  ): Promise<number> {
    let asked = 0;
    let served = 0;
    for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += intervalMs) {
      const key = asked * 997 % 65_536;
      asked++;
      void this.simulation.send(INSTANCE, { key, ...changes })
        .then(({ kind }) => served += kind === "answered" ? 1 : 0);
      await this.clock.advance(intervalMs);
    }
    await this.clock.advance(2_000);
    return served / asked;
  }
}

for (const keyed of [false, true]) {
  const kind = keyed ? "keys" : "a service without keys";
  test(
    `requests for ${kind} are served again after all targets were too slow for a while`,
    async () => {
      const targets = new SlowTargets({ keyed });
      await targets.measureServed(3_000);
      targets.setSlow(1, 2, 3, 4);
      await targets.measureServed(30_000);
      targets.setSlow();
      await targets.measureServed(RECOVERY_MS);
      const served = await targets.measureServed(MEASURED_MS);
      assert.ok(served > 0.9, `${served} served`);
    },
  );
}

test(
  "requests with short deadlines are served beside targets that are too slow for them",
  async () => {
    const targets = new SlowTargets({ keyed: false });
    targets.setSlow(1, 2);
    // Only these requests wait long enough to show how slow the targets are.
    await targets.measureServed(20_000, { deadlineMs: 9_000 }, 400);
    const served = await targets.measureServed(MEASURED_MS, {
      deadlineMs: 1_000,
    }, 100);
    assert.ok(served > 0.9, `${served} served`);
  },
);

test("targets that are fast again are used although others always were fast", async () => {
  const targets = new SlowTargets({ keyed: false });
  await targets.measureServed(3_000);
  targets.setSlow(2, 3, 4);
  await targets.measureServed(30_000);
  targets.setSlow();
  await targets.measureServed(RECOVERY_MS);
  const served = await targets.measureServed(MEASURED_MS);
  assert.ok(served > 0.9, `${served} served`);
});

test("a target that lost its keys for being slow is not reported as slow for ever", async () => {
  const targets = new SlowTargets({ keyed: true });
  const { simulation } = targets;
  simulation.setOwners((id) => id === "t1");
  await targets.measureServed(1_000);
  simulation.setOwners((id) => id === "t2");
  await targets.measureServed(65_000);
  const { serviceMs } = simulation.describeLoad(INSTANCE);
  assert.deepEqual(Object.keys(serviceMs), ["t2"]);
});
