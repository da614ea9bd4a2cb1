import assert from "node:assert/strict";
import { test } from "node:test";
import { LAST_KEY } from "@lentilspur/ports/key_orders";
import { SeededRandom } from "@lentilspur/ports/seeded_random";
import { sendLoad, TWELVE_INSTANCES } from "./request_load.ts";
import { type Arrival, RequestSimulation } from "./request_simulation.ts";

/** The default limits: a share of the requests, and a reserve for all. */
const RATIO = 0.2;
const RESERVE = 64;
const WINDOW_MS = 10_000;

/** Counts the arrivals beyond the first of each request. */
function countRepeats(arrivals: readonly Arrival[]): number {
  return arrivals.length - new Set(arrivals.map(({ path }) => path)).size;
}

test("instances that have not read the others' records keep the retry budget together", async () => {
  const simulation = new RequestSimulation({
    instances: TWELVE_INSTANCES,
    targets: 4,
    keyed: false,
    route: { maxAttempts: 3 },
    target: { isRefused: () => true },
    membersUnread: true,
  });
  const { answered, failed } = await sendLoad(simulation, {
    forMs: WINDOW_MS,
  });
  const repeats = countRepeats(simulation.arrivals);
  const allowed = RATIO * (answered + failed) + RESERVE;
  assert.ok(repeats <= allowed, `${repeats} repeats, allowed ${allowed}`);
});

test("an instance that restarts within a window keeps the retry budget", async () => {
  const instances = ["bole-0"];
  const simulation = new RequestSimulation({
    instances,
    targets: 4,
    keyed: false,
    route: { maxAttempts: 3 },
    target: { isRefused: () => true },
  });
  const incarnations = 3;
  let requests = 0;
  for (let count = 0; count < incarnations; count++) {
    simulation.restartInstance("bole-0");
    const { answered, failed } = await sendLoad(simulation, {
      forMs: WINDOW_MS / incarnations,
      intervalMs: 110,
      instances,
    });
    requests += answered + failed;
  }
  const repeats = simulation.arrivals.length - requests;
  const allowed = RATIO * requests + RESERVE;
  assert.ok(repeats <= allowed, `${repeats} repeats, allowed ${allowed}`);
});

/** Share of the requests that all targets turn away, and for how long. */
const SHED_SHARE = 0.55;
const SHED_MS = 8_500;
/** How a caller comes back, each time to another instance. */
interface CallerHabit {
  readonly maxTries: number;
  /** The pause before the next try, instead of the `Retry-After`. */
  readonly pauseMs?: number;
}

const PATIENT: CallerHabit = { maxTries: 2 };
const IMPATIENT: CallerHabit = { maxTries: 6, pauseMs: 5 };
const CALLER_DEADLINE_MS = 4_000;
const CALLER_INTERVAL_MS = 8;

interface CallerCounts {
  callers: number;
  unserved: number;
  tries: number;
}

interface Shedding {
  readonly simulation: RequestSimulation;
  isShedding: boolean;
}

/** Targets with free places turn away requests at random. */
function createShedding(keyed: boolean): Shedding {
  const random = new SeededRandom(9);
  const shedding: Shedding = {
    isShedding: false,
    simulation: new RequestSimulation({
      instances: TWELVE_INSTANCES,
      targets: 16,
      keyed,
      route: { maxAttempts: 2, timeoutMs: CALLER_DEADLINE_MS, goalMs: 1_500 },
      target: {
        workMs: 60,
        isRefused: () => shedding.isShedding && random.draw() < SHED_SHARE,
      },
    }),
  };
  return shedding;
}

/** Sends requests of callers who come back; counts those never served. */
async function sendCallers(
  { simulation }: Shedding,
  { forMs, habits }: {
    readonly forMs: number;
    readonly habits: readonly CallerHabit[];
  },
): Promise<ReadonlyMap<CallerHabit, CallerCounts>> {
  const random = new SeededRandom(11);
  const { clock } = simulation;
  const counts = new Map(
    habits.map((habit) => [habit, { callers: 0, unserved: 0, tries: 0 }]),
  );
  const runCaller = async (habit: CallerHabit): Promise<void> => {
    const count = counts.get(habit)!;
    count.callers++;
    const key = Math.floor(random.draw() * LAST_KEY);
    const endMs = clock.readMs() + CALLER_DEADLINE_MS;
    for (let tries = 0; tries < habit.maxTries; tries++) {
      const instance = TWELVE_INSTANCES[
        Math.floor(random.draw() * TWELVE_INSTANCES.length)
      ]!;
      const deadlineMs = endMs - clock.readMs();
      count.tries++;
      const response = await simulation.send(instance, {
        key,
        deadlineMs,
        path: `/files/${habits.indexOf(habit)}/${count.tries}`,
      });
      if (response.kind === "answered") {
        return;
      }
      await clock.sleep(habit.pauseMs ?? response.retryAfterMs ?? 0);
    }
    count.unserved++;
  };
  for (let step = 0; step * CALLER_INTERVAL_MS < forMs; step++) {
    void runCaller(habits[step % habits.length]!);
    await clock.advance(CALLER_INTERVAL_MS);
  }
  await clock.advance(CALLER_DEADLINE_MS);
  return counts;
}

/** Lets callers meet targets that turn away requests, after calm seconds. */
async function runShedding(
  keyed: boolean,
  habits: readonly CallerHabit[],
): Promise<{
  readonly counts: ReadonlyMap<CallerHabit, CallerCounts>;
  readonly arrivals: readonly Arrival[];
}> {
  const shedding = createShedding(keyed);
  await sendCallers(shedding, { forMs: WINDOW_MS, habits });
  shedding.isShedding = true;
  shedding.simulation.arrivals.length = 0;
  const counts = await sendCallers(shedding, { forMs: SHED_MS, habits });
  return { counts, arrivals: shedding.simulation.arrivals };
}

/** Computes the repeats per request of the callers with one habit. */
function computeRepeatsPerTry(
  arrivals: readonly Arrival[],
  { habit, tries }: { readonly habit: number; readonly tries: number },
): number {
  const own = arrivals.filter(({ path }) =>
    path.startsWith(`/files/${habit}/`)
  );
  return countRepeats(own) / tries;
}

for (const keyed of [true, false]) {
  const kind = keyed ? "their owner turns" : "targets without keys turn";
  test(`few callers are never served while ${kind} away half of the requests`, async () => {
    const { counts } = await runShedding(keyed, [PATIENT]);
    const { unserved, callers } = counts.get(PATIENT)!;
    const share = unserved / callers;
    assert.ok(share <= 0.18, `${share} of the callers are never served`);
  });
}

test("callers that come back at once and often get fewer retries than those who wait", async () => {
  const habits = [PATIENT, IMPATIENT];
  const { counts, arrivals } = await runShedding(true, habits);
  const [patient, impatient] = habits.map((habit, index) =>
    computeRepeatsPerTry(arrivals, {
      habit: index,
      tries: counts.get(habit)!.tries,
    })
  );
  assert.ok(
    impatient! < 0.5 * patient!,
    `${impatient} and ${patient} retries of a request`,
  );
});
