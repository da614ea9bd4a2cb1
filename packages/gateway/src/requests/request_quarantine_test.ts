import assert from "node:assert/strict";
import { test } from "node:test";
import type { FinalResponse } from "../entry/caller_request.ts";
import {
  RequestSimulation,
  type RequestSimulationOptions,
} from "./request_simulation.ts";

const INSTANCES = ["bole-1", "bole-2", "kirkos-1", "kirkos-2", "yeka-1"];
const FATAL = "/files/fatal";
/** As long as instances may take to hear of a crash. */
const STABLE_MS = 3_000;
const ALLOWED_SENDS = 3;

const INNOCENT = "/files/innocent";
/** The first quarantine, from the third crash. */
const QUARANTINE_MS = 30_000;

function createWorld(
  keyed: boolean,
  options: Partial<RequestSimulationOptions> = {},
): RequestSimulation {
  return new RequestSimulation({
    instances: INSTANCES,
    targets: 12,
    keyed,
    target: { isFatal: ({ path }) => path === FATAL },
    ...options,
  });
}

function getFailure(answer: FinalResponse | undefined): string | undefined {
  return answer?.kind === "failed" ? answer.failure : answer?.kind;
}

/** Sends once and waits for the answer. */
async function sendOnce(
  world: RequestSimulation,
  instance: string,
  path: string,
): Promise<FinalResponse | undefined> {
  let answer: FinalResponse | undefined;
  void world.send(instance, { path }).then((given) => answer = given);
  await world.clock.advance(2_000);
  return answer;
}

/** Sends an innocent request through all instances in turn. */
async function sendInnocent(
  world: RequestSimulation,
  { everyMs, forMs }: { readonly everyMs: number; readonly forMs: number },
): Promise<readonly (string | undefined)[]> {
  const answers: (string | undefined)[] = [];
  for (let nth = 0; nth * everyMs < forMs; nth++) {
    const instance = INSTANCES[nth % INSTANCES.length]!;
    void world.send(instance, { path: INNOCENT })
      .then((answer) => answers.push(getFailure(answer)));
    await world.clock.advance(everyMs);
  }
  return answers;
}

/** Sends the fatal request again and again, each time through another instance. */
async function sendRepeatedly(
  world: RequestSimulation,
  { everyMs, count }: { readonly everyMs: number; readonly count: number },
): Promise<void> {
  for (let nth = 0; nth < count; nth++) {
    void world.send(INSTANCES[(2 * nth) % INSTANCES.length]!, { path: FATAL });
    await world.clock.advance(everyMs);
  }
}

function countLateSends(world: RequestSimulation): number {
  const third = world.crashes[2];
  assert.ok(third !== undefined, "fewer than three targets crashed");
  return world.countArrivals(FATAL, third.atMs + STABLE_MS);
}

for (const keyed of [true, false]) {
  const kind = keyed ? "the owner of its key" : "any target";
  test(`a request that crashes ${kind} is not sent on for ever`, async () => {
    const world = createWorld(keyed);
    await sendRepeatedly(world, { everyMs: 3_300, count: 30 });
    const late = countLateSends(world);
    assert.ok(late <= ALLOWED_SENDS, `${late} sends`);
  });
}

test("copies that are sent at once are stopped as well", async () => {
  const world = createWorld(false);
  for (let round = 0; round < 8; round++) {
    for (const instance of INSTANCES.slice(0, 3)) {
      void world.send(instance, { path: FATAL });
    }
    await world.clock.advance(1_700);
  }
  assert.ok(countLateSends(world) <= ALLOWED_SENDS);
});

test("an instance that has lost datagrams or has just started knows it too", async () => {
  const world = createWorld(true, { lostDatagrams: 0.4 });
  await sendRepeatedly(world, { everyMs: 3_300, count: 4 });
  for (const instance of INSTANCES) {
    world.restartInstance(instance);
    await world.clock.advance(STABLE_MS);
    void world.send(instance, { path: FATAL });
  }
  assert.ok(countLateSends(world) <= ALLOWED_SENDS);
});

test("callers are told that it has not run, and when it will be tried", async () => {
  const world = createWorld(true);
  await sendRepeatedly(world, { everyMs: 3_300, count: 4 });
  const answer = await sendOnce(world, "yeka-1", FATAL);
  assert.ok(answer?.kind === "failed" && answer.failure === "quarantined");
  const leftMs = world.crashes[2]!.atMs + QUARANTINE_MS - world.clock.readMs();
  assert.ok(answer.retryAfterMs! >= leftMs, `${answer.retryAfterMs} ms`);
});

test("a request whose cause is mended is served after its trial, everywhere", async () => {
  let isMended = false;
  const world = createWorld(true, {
    target: { isFatal: ({ path }) => path === FATAL && !isMended },
  });
  await sendRepeatedly(world, { everyMs: 3_300, count: 4 });
  isMended = true;
  assert.equal(
    getFailure(await sendOnce(world, "bole-1", FATAL)),
    "quarantined",
  );
  await world.clock.advance(QUARANTINE_MS);
  for (const instance of INSTANCES) {
    const answer = await sendOnce(world, instance, FATAL);
    assert.equal(getFailure(answer), "answered");
  }
  const trials = world.events.filter(({ kind }) => kind === "trial");
  assert.equal(trials.length, 1);
});

test("a lookup that is at work at most crashes goes on being served", async () => {
  const world = createWorld(false);
  const fatal = sendRepeatedly(world, { everyMs: 1_100, count: 8 });
  const answers = await sendInnocent(world, { everyMs: 15, forMs: 12_000 });
  await fatal;
  assert.ok(world.crashes.length >= 3);
  assert.ok(!answers.includes("quarantined"));
});

test("a target that leaves while it is at work counts for no crash", async () => {
  const world = createWorld(false);
  for (let count = 0; count < 4; count++) {
    const sent = sendOnce(world, "bole-1", INNOCENT);
    await world.clock.advance(20);
    world.stopTarget(world.arrivals.at(-1)!.targetId);
    await sent;
  }
  assert.equal(world.events.length, 0);
});
