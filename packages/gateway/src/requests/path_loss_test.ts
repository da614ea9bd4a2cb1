import assert from "node:assert/strict";
import { test } from "node:test";
import type { FinalResponse } from "../entry/caller_request.ts";
import { runPathLoss } from "./path_loss_trial.ts";
import { RequestSimulation } from "./request_simulation.ts";
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

test("keyed requests are served where each instance has lost other targets", async () => {
  const faults: string[] = [];
  for (const mode of LOST_MODES) {
    faults.push(
      ...await runPathLoss({
        mode,
        keyed: true,
        idempotent: false,
        isolated: ["i1", "i2", "i3", "i4", "i5"],
        lostTargetsOf: (instance) => {
          const first = Number(instance.slice(1));
          return [0, 1, 2].map((offset) => `t${(first + offset) % 8 + 1}`);
        },
      }),
    );
  }
  assert.deepEqual(faults, []);
});

test("old connections are used where no instance can open new ones", async () => {
  const instances = ["i1", "i2", "i3"];
  const simulation = new RequestSimulation({
    instances,
    targets: 4,
    keyed: true,
    route: { idempotent: false },
    target: { workMs: 40 },
    idleTimeoutMs: 250,
    exchangesLoads: true,
  });
  const responses: FinalResponse[] = [];
  for (let count = 0; count < 400; count++) {
    const changes = { key: (count * 7_919) % 65_536, path: `/files/${count}` };
    void simulation.send(instances[count % 3]!, changes)
      .then((response) => responses.push(response));
    await simulation.clock.advance(12);
    if (count === 100) {
      instances.forEach((name) => simulation.setPaths(name, "refusing-new"));
    }
  }
  await simulation.clock.advance(3_000);
  const served = responses.filter(({ kind }) => kind === "answered").length;
  assert.ok(served >= 2 / 3 * 400, `${served} of 400 served`);
});

test("silent connections are found before many non-idempotent requests are lost on them", async () => {
  assert.deepEqual(
    await runPathLoss({
      mode: "silent",
      keyed: false,
      idempotent: false,
      isolated: ["i1", "i4"],
      idleTimeoutMs: 4_000,
    }),
    [],
  );
});

/** Sends requests at one instance, 30 ms apart. */
async function sendSteadily(
  simulation: RequestSimulation,
  forMs: number,
): Promise<void> {
  for (let spentMs = 0; spentMs < forMs; spentMs += 30) {
    void simulation.send("i1", { path: `/files/${spentMs}` });
    await simulation.clock.advance(30);
  }
}

function createSimulation(): RequestSimulation {
  return new RequestSimulation({
    instances: ["i1", "i2", "i3"],
    targets: 8,
    keyed: false,
    route: { idempotent: false },
  });
}

test("an instance reports no requests at targets that these have not reached", async () => {
  const simulation = createSimulation();
  await sendSteadily(simulation, 1_000);
  simulation.setPaths("i1", "silent");
  await sendSteadily(simulation, 900);
  assert.deepEqual(simulation.describeLoad("i1").running, {});
});

test("sends over lost paths do not make targets look slow", async () => {
  const simulation = createSimulation();
  await sendSteadily(simulation, 1_000);
  simulation.setPaths("i1", "silent");
  await sendSteadily(simulation, 3_000);
  const slow = Object.entries(simulation.describeLoad("i1").serviceMs)
    .filter(([, serviceMs]) => serviceMs > 100);
  assert.deepEqual(slow, []);
});
