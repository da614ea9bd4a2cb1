/**
 * Runs traffic through several instances of which some lose their paths to all
 * targets for a while, in virtual time, and compares what their callers and
 * those of the others get. For tests.
 */
import { ERROR_RESPONSES } from "@lentilspur/outcomes/error_kinds";
import type { FinalResponse } from "../entry/caller_request.ts";
import { RequestSimulation } from "./request_simulation.ts";
import type { PathMode } from "./simulated_path.ts";

export interface PathLossTrial {
  readonly mode: PathMode;
  readonly keyed: boolean;
  readonly idempotent: boolean;
  /** Instances without paths; the others are the rest of `INSTANCES`. */
  readonly isolated: readonly string[];
  /** Targets that they do not reach; all by default. */
  readonly lostTargets?: readonly string[];
  /** The same by instance. */
  readonly lostTargetsOf?: (instance: string) => readonly string[];
  /** After this long targets close an idle connection. */
  readonly idleTimeoutMs?: number;
  /** How long a target works on a request. */
  readonly workMs?: number;
}

/** The first attempt of one caller. */
interface FirstTry {
  readonly instance: string;
  readonly requestId: string;
  readonly sentAtMs: number;
  readonly tookMs: number;
  readonly response: FinalResponse;
}

export const INSTANCES = ["i1", "i2", "i3", "i4", "i5", "i6"] as const;
const TARGETS = 8;
const WORK_MS = 60;
/** Interval of the requests at each instance. */
const REQUEST_INTERVAL_MS = 130;
const WARM_UP_MS = 3_000;
const LOST_MS = 7_000;
const AFTERWARDS_MS = 3_000;
/** Requests that are sent later than this are judged by the first bound. */
const EARLY_MS = 1_000;
const SETTLED_MS = 3_000;
const EARLY_SHARE = 0.8;
const SETTLED_SHARE = 0.95;
/** All paths are used again this long after they work. */
const REGAINED_MS = 1_000;
const KEYS = 65_536;
/** Short, so that many requests need a new connection. */
const IDLE_TIMEOUT_MS = 300;

/** Returns a description of each bound that the trial missed. */
export async function runPathLoss(
  trial: PathLossTrial,
): Promise<readonly string[]> {
  const { mode, keyed, idempotent, isolated } = trial;
  const simulation = new RequestSimulation({
    instances: INSTANCES,
    targets: TARGETS,
    keyed,
    route: { idempotent },
    idleTimeoutMs: trial.idleTimeoutMs ?? IDLE_TIMEOUT_MS,
    exchangesLoads: true,
    target: { workMs: trial.workMs ?? WORK_MS },
  });
  const { clock } = simulation;
  const tries: FirstTry[] = [];
  const endMs = WARM_UP_MS + LOST_MS + AFTERWARDS_MS;
  for (const [index, instance] of INSTANCES.entries()) {
    const startMs = index * REQUEST_INTERVAL_MS / INSTANCES.length;
    void runCallers(simulation, { instance, startMs, endMs, tries });
  }
  await clock.advance(WARM_UP_MS);
  for (const instance of isolated) {
    const lostTargets = trial.lostTargetsOf?.(instance) ?? trial.lostTargets;
    simulation.setPaths(instance, mode, lostTargets);
  }
  const lostAtMs = clock.readMs();
  await clock.advance(LOST_MS);
  isolated.forEach((instance) => simulation.setPaths(instance, "working"));
  const regainedAtMs = clock.readMs();
  await clock.advance(AFTERWARDS_MS + 2_000);
  const faults = [
    ...checkShares(tries, { isolated, lostAtMs, regainedAtMs }),
    ...checkDirectAgain(simulation, { tries, regainedAtMs }),
    ...checkRuns(simulation, { tries, idempotent }),
  ];
  const name = `${mode}, ${keyed ? "keyed" : "plain"}, ${
    idempotent ? "idempotent" : "non-idempotent"
  }`;
  return faults.map((fault) => `${name}: ${fault}`);
}

async function runCallers(
  simulation: RequestSimulation,
  { instance, startMs, endMs, tries }: {
    readonly instance: string;
    readonly startMs: number;
    readonly endMs: number;
    readonly tries: FirstTry[];
  },
): Promise<void> {
  const { clock } = simulation;
  await clock.sleep(startMs);
  for (let count = 0; clock.readMs() < endMs; count++) {
    const sentAtMs = clock.readMs();
    const requestId = `${instance}-${count}`;
    const key = (count * 7_919 + startMs * 31) % KEYS;
    const path = `/files/${requestId}`;
    void simulation.send(instance, { requestId, key: Math.floor(key), path })
      .then((response) =>
        tries.push({
          instance,
          requestId,
          sentAtMs,
          tookMs: clock.readMs() - sentAtMs,
          response,
        })
      );
    await clock.sleep(REQUEST_INTERVAL_MS);
  }
}

function checkShares(tries: readonly FirstTry[], times: {
  readonly isolated: readonly string[];
  readonly lostAtMs: number;
  readonly regainedAtMs: number;
}): readonly string[] {
  const { isolated, lostAtMs, regainedAtMs } = times;
  const others = INSTANCES.filter((name) => !isolated.includes(name));
  const select = (names: readonly string[], fromMs: number, toMs: number) =>
    tries.filter(({ instance, sentAtMs }) =>
      names.includes(instance) && sentAtMs >= fromMs && sentAtMs < toMs
    );
  const faults: string[] = [];
  const settledAtMs = lostAtMs + SETTLED_MS;
  const bounds = [
    [lostAtMs + EARLY_MS, settledAtMs, EARLY_SHARE],
    [settledAtMs, regainedAtMs, SETTLED_SHARE],
    [regainedAtMs + REGAINED_MS, Infinity, 1],
  ] as const;
  for (const [fromMs, toMs, share] of bounds) {
    const own = computeShare(select(isolated, fromMs, toMs));
    const other = computeShare(select(others, fromMs, toMs));
    if (own < share * other) {
      faults.push(
        `${own.toFixed(3)} served from ${fromMs - lostAtMs} ms on, others ${
          other.toFixed(3)
        }`,
      );
    }
  }
  const lost = computeShare(select(others, lostAtMs, regainedAtMs));
  if (lost < 1) {
    faults.push(`${lost.toFixed(3)} served at the others`);
  }
  const ownP99 = computeP99(select(isolated, settledAtMs, regainedAtMs));
  const otherP99 = computeP99(select(others, settledAtMs, regainedAtMs));
  if (ownP99 > 2 * otherP99) {
    faults.push(`p99 ${ownP99} ms, others ${otherP99} ms`);
  }
  return faults;
}

/** Checks that instances with working paths send their requests themselves. */
function checkDirectAgain(
  simulation: RequestSimulation,
  { tries, regainedAtMs }: {
    readonly tries: readonly FirstTry[];
    readonly regainedAtMs: number;
  },
): readonly string[] {
  const late = tries
    .filter(({ sentAtMs }) => sentAtMs >= regainedAtMs + REGAINED_MS);
  const indirect = late.filter(({ requestId, instance }) =>
    simulation.arrivals.some((arrival) =>
      arrival.requestId === requestId && arrival.instance !== instance
    )
  );
  return indirect.length === 0
    ? []
    : [`${indirect.length} of ${late.length} sent by others afterwards`];
}

/** Checks what targets ran against what callers were told. */
function checkRuns(simulation: RequestSimulation, { tries, idempotent }: {
  readonly tries: readonly FirstTry[];
  readonly idempotent: boolean;
}): readonly string[] {
  const runs = simulation.countRuns();
  return tries.flatMap(({ requestId, response }) => {
    const count = runs.get(requestId) ?? 0;
    const isRefused = response.kind === "failed" &&
      ERROR_RESPONSES[response.failure].outcome === "not-run";
    return idempotent || (count <= 1 && !(isRefused && count > 0))
      ? []
      : [`${requestId} ran ${count} times, ${response.kind}`];
  });
}

function computeShare(tries: readonly FirstTry[]): number {
  const served = tries.filter(({ response }) => response.kind === "answered");
  return served.length / Math.max(1, tries.length);
}

function computeP99(tries: readonly FirstTry[]): number {
  const sorted = tries.filter(({ response }) => response.kind === "answered")
    .map(({ tookMs }) => tookMs).toSorted((left, right) => left - right);
  return sorted[Math.floor(0.99 * (sorted.length - 1))] ?? Infinity;
}
