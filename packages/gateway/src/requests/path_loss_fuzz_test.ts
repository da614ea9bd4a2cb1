import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { ERROR_RESPONSES } from "@lentilspur/outcomes/error_kinds";
import type { FinalResponse } from "../entry/caller_request.ts";
import { RequestSimulation } from "./request_simulation.ts";
import type { PathMode } from "./simulated_path.ts";

const INSTANCES = ["i1", "i2", "i3", "i4", "i5"] as const;
const TARGETS = ["t1", "t2", "t3", "t4", "t5", "t6"] as const;
const REQUEST_INTERVAL_MS = 70;
/** All instances serve again this long after the last fault. */
const RECOVERY_MS = 6_000;
const CHECKED_MS = 1_000;
const PATH_MODES = [
  "silent",
  "resetting",
  "refusing-new",
  "ignoring-new",
] as const satisfies readonly PathMode[];

type Step =
  | {
    readonly kind: "lose-paths";
    readonly instances: readonly string[];
    readonly targets: readonly string[];
    readonly mode: PathMode;
    readonly forMs: number;
  }
  | { readonly kind: "restart-instance"; readonly instance: string }
  | {
    readonly kind: "disconnect";
    readonly instance: string;
    readonly forMs: number;
  }
  | { readonly kind: "crash-target"; readonly target: string }
  | { readonly kind: "wait"; readonly ms: number };

const durationArbitrary = fc.integer({ min: 300, max: 15_000 });
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("lose-paths" as const),
      instances: fc.subarray([...INSTANCES], { minLength: 1 }),
      targets: fc.oneof(
        fc.constant([...TARGETS]),
        fc.subarray([...TARGETS], { minLength: 1 }),
      ),
      mode: fc.constantFrom(...PATH_MODES),
      forMs: durationArbitrary,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("restart-instance" as const),
      instance: fc.constantFrom(...INSTANCES),
    }),
  },
  fc.record({
    kind: fc.constant("disconnect" as const),
    instance: fc.constantFrom(...INSTANCES),
    forMs: durationArbitrary,
  }),
  fc.record({
    kind: fc.constant("crash-target" as const),
    target: fc.constantFrom(...TARGETS),
  }),
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant("wait" as const),
      ms: fc.integer({ min: 50, max: 4_000 }),
    }),
  },
);

interface Try {
  readonly requestId: string;
  readonly sentAtMs: number;
  readonly idempotent: boolean;
  readonly response: FinalResponse;
}

async function runStep(
  simulation: RequestSimulation,
  step: Step,
): Promise<void> {
  const { clock } = simulation;
  switch (step.kind) {
    case "lose-paths": {
      const { instances, targets, mode, forMs } = step;
      const setPaths = (newMode: PathMode) =>
        instances.forEach((name) =>
          simulation.setPaths(name, newMode, targets)
        );
      setPaths(mode);
      void clock.sleep(forMs).then(() => setPaths("working"));
      return;
    }
    case "restart-instance":
      simulation.restartInstance(step.instance);
      return;
    case "disconnect":
      simulation.disconnected.add(step.instance);
      void clock.sleep(step.forMs).then(() =>
        simulation.disconnected.delete(step.instance)
      );
      return;
    case "crash-target":
      if (simulation.listTargets().includes(step.target)) {
        simulation.stopTarget(step.target);
      }
      return;
    case "wait":
      await clock.advance(step.ms);
      return;
  }
}

/** Sends requests at all instances; some callers leave early. */
async function runCallers(
  simulation: RequestSimulation,
  { tries, idempotent, signal }: {
    readonly tries: Try[];
    readonly idempotent: boolean;
    readonly signal: AbortSignal;
  },
): Promise<void> {
  const { clock } = simulation;
  for (let count = 0; !signal.aborted; count++) {
    const instance = INSTANCES[count % INSTANCES.length]!;
    const requestId = `${instance}-${count}`;
    const sentAtMs = clock.readMs();
    const caller = new AbortController();
    if (count % 17 === 0) {
      void clock.sleep(40).then(() => caller.abort());
    }
    void simulation.send(instance, {
      requestId,
      path: `/files/${requestId}`,
      key: (count * 7_919) % 65_536,
      signal: caller.signal,
    }).then((response) =>
      tries.push({ requestId, sentAtMs, idempotent, response })
    );
    await clock.sleep(REQUEST_INTERVAL_MS);
  }
}

/** Runs the steps; returns each promise that was broken. */
async function runSimulation(
  steps: readonly Step[],
  { keyed, idempotent }: {
    readonly keyed: boolean;
    readonly idempotent: boolean;
  },
): Promise<readonly string[]> {
  const simulation = new RequestSimulation({
    instances: INSTANCES,
    targets: TARGETS.length,
    keyed,
    route: { idempotent },
    idleTimeoutMs: 800,
    exchangesLoads: true,
  });
  const { clock } = simulation;
  const tries: Try[] = [];
  const stop = new AbortController();
  void runCallers(simulation, { tries, idempotent, signal: stop.signal });
  await clock.advance(1_500);
  for (const step of steps) {
    await runStep(simulation, step);
  }
  await clock.advance(15_000 + RECOVERY_MS);
  const recoveredAtMs = clock.readMs();
  await clock.advance(CHECKED_MS);
  stop.abort();
  await clock.advance(3_000);
  const runs = simulation.countRuns();
  return tries.flatMap(({ requestId, sentAtMs, response }) => {
    const count = runs.get(requestId) ?? 0;
    const isRefused = response.kind === "failed" &&
      ERROR_RESPONSES[response.failure].outcome === "not-run";
    const hasLeft = response.kind === "failed" &&
      response.failure === "caller-left";
    return [
      ...(!idempotent && count > 1 ? [`${requestId} ran ${count} times`] : []),
      ...(!idempotent && isRefused && count > 0
        ? [`${requestId} ran and was refused`]
        : []),
      ...(sentAtMs >= recoveredAtMs && response.kind === "failed" && !hasLeft
        ? [`${requestId} failed at ${sentAtMs}: ${response.failure}`]
        : []),
    ];
  });
}

test("no request runs twice or after a refusal, and all are served again, whatever paths are lost", async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(stepArbitrary, { maxLength: 14 }),
      fc.boolean(),
      fc.boolean(),
      async (steps, keyed, idempotent) => {
        assert.deepEqual(
          await runSimulation(steps, { keyed, idempotent }),
          [],
        );
      },
    ),
    {
      seed: Number(process.env["FUZZ_SEED"] ?? 44),
      numRuns: Number(process.env["FUZZ_RUNS"] ?? 5),
    },
  );
});
