/**
 * Runs a request that crashes its targets, and harmless ones beside it, through
 * several instances in virtual time, while responses and datagrams are lost,
 * entries are read late, instances restart and lose paths. For tests.
 */
import { SeededRandom } from "@lentilspur/ports/seeded_random";
import { RequestSimulation } from "./request_simulation.ts";
import type { PathMode } from "./simulated_path.ts";

const FATAL = "/files/fatal";
/**
 * Time until every instance that works knows of a crash, once it can read that
 * the target's entry has changed.
 */
const PROPAGATION_MS = 3_000;
/** Harmless requests, each of which is sent repeatedly. */
const HARMLESS_PATHS = 6;
const DATA_CENTRES = ["bole", "kirkos", "yeka"] as const;
const TICK_MS = 5;
/** Most of the harmless requests have keys of other owners. */
const KEY_STEP = 10_000;

export interface QuarantineFault {
  readonly atMs: number;
  readonly instance: number;
  readonly kind: "restart" | PathMode;
  readonly forMs: number;
  /** Share of the targets whose paths are lost. */
  readonly share: number;
}

export interface QuarantineTrial {
  readonly durationMs: number;
  readonly instances: number;
  readonly targets: number;
  readonly keyed: boolean;
  readonly restartsUnderSameId: boolean;
  readonly entryDelayMs: number;
  readonly lostDatagrams: number;
  readonly lostResponses: number;
  readonly fatalEveryMs: number;
  readonly harmlessEveryMs: number;
  readonly faults: readonly QuarantineFault[];
}

interface HarmlessResponse {
  readonly path: string;
  readonly atMs: number;
  readonly isQuarantined: boolean;
}

export interface QuarantineTrialResult {
  readonly lateSends: number;
  readonly crashes: number;
  /** The longest time for which a harmless request was refused. */
  readonly refusedMs: number;
}

export async function runQuarantineTrial(
  trial: QuarantineTrial,
): Promise<QuarantineTrialResult> {
  const { durationMs, fatalEveryMs, harmlessEveryMs, lostResponses } = trial;
  const names = Array.from(
    { length: trial.instances },
    (_, index) => `${DATA_CENTRES[index % DATA_CENTRES.length]}-${index}`,
  );
  const random = new SeededRandom(1);
  const simulation = new RequestSimulation({
    ...trial,
    instances: names,
    target: { isFatal: ({ path }) => path === FATAL },
  });
  const { clock } = simulation;
  simulation.isResponseLost = () => random.draw() < lostResponses;
  const choose = () => names[Math.floor(random.draw() * names.length)]!;
  const startedAtMs = new Map<string, number>();
  trial.faults.forEach((fault) =>
    void startFault(simulation, names, fault, startedAtMs)
  );
  const responses: HarmlessResponse[] = [];
  let harmless = 0;
  for (let atMs = 0; atMs < durationMs; atMs += TICK_MS) {
    if (atMs % fatalEveryMs < TICK_MS) {
      void simulation.send(choose(), { path: FATAL });
    }
    if (atMs % harmlessEveryMs < TICK_MS) {
      const path = `/files/${++harmless % HARMLESS_PATHS}`;
      const key = 1 + KEY_STEP * (harmless % HARMLESS_PATHS);
      void simulation.send(choose(), { path, key }).then((response) =>
        responses.push({
          path,
          atMs: clock.readMs(),
          isQuarantined: response.kind === "failed" &&
            response.failure === "quarantined",
        })
      );
    }
    await clock.advance(TICK_MS);
  }
  return {
    lateSends: countLateSends(simulation, trial, startedAtMs),
    crashes: simulation.crashes.length,
    refusedMs: findLongestRefusal(responses),
  };
}

async function startFault(
  simulation: RequestSimulation,
  names: readonly string[],
  { atMs, instance, kind, forMs, share }: QuarantineFault,
  startedAtMs: Map<string, number>,
): Promise<void> {
  const name = names[instance % names.length]!;
  await simulation.clock.sleep(atMs);
  if (kind === "restart") {
    simulation.restartInstance(name);
    startedAtMs.set(name, atMs);
    return;
  }
  const targets = simulation.listTargets();
  const lost = targets.slice(0, Math.ceil(targets.length * share));
  simulation.setPaths(name, kind, lost);
  await simulation.clock.sleep(forMs);
  simulation.setPaths(name, "working", lost);
}

/** Counts sends by instances that have run since the third crash. */
function countLateSends(
  { arrivals, crashes }: RequestSimulation,
  { entryDelayMs }: QuarantineTrial,
  startedAtMs: ReadonlyMap<string, number>,
): number {
  const fromMs = (crashes[2]?.atMs ?? Infinity) + entryDelayMs +
    PROPAGATION_MS;
  return arrivals.filter(({ path, atMs, instance }) =>
    path === FATAL && atMs > fromMs &&
    !isJustStarted(startedAtMs.get(instance), atMs)
  ).length;
}

function isJustStarted(startedAtMs = -Infinity, atMs: number): boolean {
  return atMs >= startedAtMs && atMs - startedAtMs < PROPAGATION_MS;
}

/** Finds the longest series of refusals of one harmless request. */
function findLongestRefusal(responses: readonly HarmlessResponse[]): number {
  let longestMs = 0;
  const sinceMs = new Map<string, number>();
  for (const { path, atMs, isQuarantined } of responses) {
    if (!isQuarantined) {
      sinceMs.delete(path);
      continue;
    }
    const fromMs = sinceMs.get(path) ?? atMs;
    sinceMs.set(path, fromMs);
    longestMs = Math.max(longestMs, atMs - fromMs);
  }
  return longestMs;
}
