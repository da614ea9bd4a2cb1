/**
 * Judges a finished trial: the oracle over the log, all lines, the targets'
 * histories and what callers were told, and then the fate of each request.
 */
import type { LineOf } from "@lentilspur/proof/request_trail";
import {
  checkCluster,
  describeOutcome,
  listViolations,
} from "../cluster/cluster_judge.ts";
import { STREAM } from "../cluster/fake_cluster.ts";
import { type ClusterTrial, KEYS } from "./cluster_trial.ts";

/** Everything that is wrong with the trial; empty where nothing is. */
export function listFaults(trial: ClusterTrial): readonly string[] {
  return [
    ...listViolations(checkCluster(trial.cluster)),
    ...listStewardOverlaps(trial),
    ...listLateLeases(trial),
    ...listLeavingWork(trial),
    ...listHangingRequests(trial),
    ...listLaggards(trial),
  ];
}

/** Once its take-over is accepted, an instance never holds its lease again. */
function listLateLeases(trial: ClusterTrial): readonly string[] {
  const takenOver = new Set<string>();
  const faults: string[] = [];
  for (const line of trial.cluster.lines) {
    if (line.decision === "instance-taken-over") {
      takenOver.add(line.lost);
    }
    const isLate = line.decision === "lease-changed" &&
      line.state === "held" && takenOver.has(line.instance);
    if (isLate) {
      faults.push(
        `late-lease: ${line.instance} held its lease at ${line.elapsedMs} ms, after its take-over`,
      );
    }
  }
  return faults;
}

/**
 * All instances share a clock here, so the order of dispatches is known: once
 * a steward has sent to a target, no earlier one may.
 */
function listStewardOverlaps(trial: ClusterTrial): readonly string[] {
  const faults: string[] = [];
  const latest = new Map<string, LineOf<"request-dispatched">>();
  for (const line of trial.cluster.lines) {
    if (line.decision !== "request-dispatched") {
      continue;
    }
    const before = latest.get(line.target);
    if (before !== undefined && line.stewardToken < before.stewardToken) {
      faults.push(
        `two-stewards: ${line.instance} sent to ${line.target} at ${line.elapsedMs} ms, and ${before.instance} had at ${before.elapsedMs} ms under a later token`,
      );
    } else {
      latest.set(line.target, line);
    }
  }
  return faults;
}

/** The users' "a few seconds", and what the list lags at most beside it. */
const LEAVING_MS = 5_000;

function listLeavingWork(trial: ClusterTrial): readonly string[] {
  return trial.leaving.flatMap(({ target, atMs, untilMs }) =>
    (trial.cluster.targets.get(target)?.listHistory() ?? [])
      .filter(({ startedAtMs }) =>
        startedAtMs > atMs + LEAVING_MS && startedAtMs <= untilMs
      )
      .map(({ requestId, startedAtMs }) =>
        `leaving-target-spared: ${target} was leaving at ${atMs} ms and started ${requestId} at ${startedAtMs} ms`
      )
  );
}

/** A lookup's deadline and a little; one key after another. */
const LOOK_UP_MS = 2_500;
const LOOK_UPS = 2;

/**
 * Looks every key up through an instance that is well. Only an operator can
 * help where several instances were lost at once, and a leaving target gets no
 * new work whatever happens, so such trials are not asked.
 */
export async function listUnservedKeys(
  trial: ClusterTrial,
): Promise<readonly string[]> {
  if (trial.crashed.size > 1 || trial.leaving.length > 0) {
    return [];
  }
  const via = trial.listInstances()
    .findLast(({ instance }) => instance.isReady());
  if (via === undefined) {
    return ["no instance is ready"];
  }
  const unserved: string[] = [];
  for (const key of KEYS) {
    const body = await fetchLookUpError(trial, via.id, key);
    if (body !== undefined) {
      unserved.push(`${key} is not served: ${body}`);
    }
  }
  return unserved;
}

/** The last error, where no lookup was answered. */
async function fetchLookUpError(
  trial: ClusterTrial,
  via: string,
  key: string,
): Promise<string | undefined> {
  for (let attempt = 1;; attempt++) {
    const sent = trial.cluster.send(via, key);
    await trial.cluster.clock.advance(LOOK_UP_MS);
    if (describeOutcome(sent) === "ran") {
      return undefined;
    }
    if (attempt === LOOK_UPS) {
      return Buffer.from(sent.answer?.body ?? []).toString();
    }
  }
}

/** Whoever's entry was not lost has its answer by now. */
function listHangingRequests(trial: ClusterTrial): readonly string[] {
  return trial.cluster.sent
    .filter(({ answer, through }) =>
      answer === null && !trial.crashed.has(through)
    )
    .map((sent) =>
      `a request for ${sent.key} sent to ${sent.through} at ${sent.sentAtMs} ms has no answer`
    );
}

/** Every instance that goes on has folded the whole log. */
function listLaggards(trial: ClusterTrial): readonly string[] {
  const end = trial.cluster.log.listRecords(STREAM).length;
  return trial.listInstances()
    .filter(({ instance }) => !instance.hasEnded())
    .filter(({ instance }) => instance.view.nextOffset < end - 1)
    .map(({ id, instance }) =>
      `${id} has folded ${instance.view.nextOffset} of ${end} records`
    );
}
