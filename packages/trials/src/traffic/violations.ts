/**
 * Judges a trial from outside: what callers were told against what the targets
 * wrote down. It knows nothing of the system in between.
 */
import type { TargetRun } from "@lentilspur/ports/fake_target";
import type { CallerRecord } from "./caller_record.ts";
import { listUnquarantinedRequests } from "./fatal_request.ts";
import { groupBy } from "./group_by.ts";
import { listExceededLimits, type RateLimitPeriod } from "./target_limit.ts";

export interface Violation {
  readonly promise:
    | "at-most-once"
    | "not-run-is-true"
    | "own-answer"
    | "sole-owner"
    | "leaving-target"
    | "fatal-request"
    | "target-limit";
  readonly message: string;
}

/** When a target was said to be leaving. */
export interface LeavingTarget {
  readonly target: string;
  readonly atMs: number;
}

/** A time in which instances could not learn what the store knew. */
export interface StoreOutage {
  readonly fromMs: number;
  readonly toMs: number;
}

export interface TrialObservations {
  readonly records: readonly CallerRecord[];
  readonly runs: readonly TargetRun[];
  readonly leaving: readonly LeavingTarget[];
  /** Of the store, or of the way to it. */
  readonly storeOutages?: readonly StoreOutage[];
  readonly rateLimits?: readonly RateLimitPeriod[];
}

/** "After a few seconds": the reading of entries and a planner's round included. */
const MAX_LEAVING_MS = 5_000;

export function listViolations(
  evidence: TrialObservations,
): readonly Violation[] {
  // A target whose hold had run out abandoned these before their effect.
  const runs = evidence.runs.filter((run) => run.ending !== "lapsed");
  const runsOf = groupBy(runs, ({ requestId }) => requestId);
  return [
    ...checkAtMostOnce(evidence.records, runsOf),
    ...checkNotRun(evidence.records, runsOf),
    // Their answers are the target's all the same: they say that it failed.
    ...checkAnswers(
      evidence.records,
      groupBy(evidence.runs, ({ requestId }) => requestId),
    ),
    ...checkSoleOwner(runs),
    ...checkLeaving(runs, evidence.leaving, evidence.storeOutages ?? []),
    ...checkFatal(runs),
    ...checkLimits(evidence.runs, evidence.rateLimits ?? []),
  ];
}

type RunsOf = ReadonlyMap<string, readonly TargetRun[]>;

function listRuns(record: CallerRecord, runsOf: RunsOf): readonly TargetRun[] {
  return runsOf.get(record.requestId ?? "") ?? [];
}

/** All attempts at one thing together, since attempts follow each other. */
function checkAtMostOnce(
  records: readonly CallerRecord[],
  runsOf: RunsOf,
): readonly Violation[] {
  const once = records.filter((record) => !record.idempotent);
  return [...groupBy(once, ({ wantedId }) => wantedId)]
    .flatMap(([wantedId, attempts]) => {
      const runs = attempts.flatMap((attempt) => listRuns(attempt, runsOf));
      return runs.length <= 1 ? [] : [{
        promise: "at-most-once" as const,
        message: `"${wantedId}" ran ${runs.length} times, on ${
          runs.map((run) =>
            `${run.target} as ${run.requestId} at ${run.startedAtMs}`
          ).join(" and ")
        }`,
      }];
    });
}

function checkNotRun(
  records: readonly CallerRecord[],
  runsOf: RunsOf,
): readonly Violation[] {
  return records.filter(({ outcome }) => outcome === "not-run")
    .flatMap((record) =>
      listRuns(record, runsOf).map(({ target, requestId }) => ({
        promise: "not-run-is-true" as const,
        message: `"${requestId}" was told "not run" and ran on ${target}`,
      }))
    );
}

function checkAnswers(
  records: readonly CallerRecord[],
  runsOf: RunsOf,
): readonly Violation[] {
  return records.flatMap((record) => {
    if (record.outcome !== "ran" || record.errorKind !== undefined) {
      return [];
    }
    const isOfRun = listRuns(record, runsOf)
      .some(({ answerDigest }) => answerDigest === record.answerDigest);
    return record.isOwnAnswer === true && isOfRun ? [] : [{
      promise: "own-answer" as const,
      message:
        `"${record.requestId}" received an answer that no run of it gave`,
    }];
  });
}

/** Two targets never run requests of one key at the same time. */
function checkSoleOwner(runs: readonly TargetRun[]): readonly Violation[] {
  const ofKey = groupBy(runs, (run) => `${run.service} ${run.key}`);
  const violations: Violation[] = [];
  for (const [key, ownRuns] of ofKey) {
    const sorted = ownRuns.toSorted((a, b) => a.startedAtMs - b.startedAtMs);
    const endOf = new Map<string, number>();
    for (const run of sorted) {
      for (const [target, endedAtMs] of endOf) {
        if (target !== run.target && endedAtMs > run.startedAtMs) {
          const message = `${run.target} ran "${key}" while ${target} did`;
          violations.push({ promise: "sole-owner", message });
        }
      }
      const end = Math.max(
        endOf.get(run.target) ?? 0,
        run.endedAtMs ?? Infinity,
      );
      endOf.set(run.target, end);
    }
  }
  return violations;
}

/**
 * Who cannot read the store cannot know who leaves: what comes while it is
 * disturbed, or sooner after that than an ordinary leave takes, is not counted.
 */
function checkLeaving(
  runs: readonly TargetRun[],
  leaving: readonly LeavingTarget[],
  disturbances: readonly StoreOutage[],
): readonly Violation[] {
  const isExcused = (atMs: number, startedAtMs: number): boolean =>
    disturbances.some(({ fromMs, toMs }) =>
      fromMs < startedAtMs && toMs + MAX_LEAVING_MS > startedAtMs &&
      toMs > atMs
    );
  return leaving.flatMap(({ target, atMs }) =>
    runs
      .filter((run) => run.target === target)
      .filter((run) => run.startedAtMs > atMs + MAX_LEAVING_MS)
      .filter((run) => !isExcused(atMs, run.startedAtMs))
      .map((run) => ({
        promise: "leaving-target" as const,
        message: `${target} started "${run.requestId}" ${
          Math.round(run.startedAtMs - atMs)
        } ms after it was leaving`,
      }))
  );
}

function checkFatal(runs: readonly TargetRun[]): readonly Violation[] {
  return listUnquarantinedRequests(runs).map(({ path, sends }) => ({
    promise: "fatal-request",
    message: `"${path}" was sent on ${sends} times after three crashes`,
  }));
}

function checkLimits(
  runs: readonly TargetRun[],
  limits: readonly RateLimitPeriod[],
): readonly Violation[] {
  return listExceededLimits(runs, limits).map(({ span, most }) => ({
    promise: "target-limit",
    message:
      `${span.target} got ${most} requests in 4 s and takes ${span.perSecond} a second`,
  }));
}

/**
 * The longest time that one key went unserved: from a send that failed, or
 * that was answered late, to the next whole answer for that key.
 */
export function computeUnservedMsMax(
  records: readonly CallerRecord[],
): number {
  let longest = 0;
  const ofKey = groupBy(records, (r) => `${r.template} ${r.key}`);
  for (const sends of ofKey.values()) {
    let unservedSince: number | undefined;
    const sorted = sends.toSorted((a, b) => a.sentAtMs - b.sentAtMs);
    for (const send of sorted) {
      const since = unservedSince ?? send.sentAtMs;
      if (send.outcome === "ran") {
        longest = Math.max(longest, send.receivedAtMs - since);
        unservedSince = undefined;
      } else {
        unservedSince = since;
      }
    }
  }
  return longest;
}
