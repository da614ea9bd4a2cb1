/**
 * Lists violations of lentilspur's promises by comparing the responses that
 * callers recorded with the runs that targets recorded. The checks use nothing
 * that instances report about themselves.
 */
import type { TargetRun } from "@lentilspur/ports/fake_target";
import type { CallerRecord } from "./caller_record.ts";
import { listUnquarantinedRequests } from "./fatal_request.ts";
import { groupBy } from "./group_by.ts";
import { type HoldObservations, listHoldViolations } from "./key_holds.ts";
import {
  listFullestWindows,
  type RetryObservations,
} from "./retry_budget_limit.ts";
import { listExceededLimits, type RateLimitPeriod } from "./target_limit.ts";

export interface Violation {
  readonly promise:
    | "at-most-once"
    | "not-run-is-true"
    | "own-answer"
    | "sole-owner"
    | "sole-holder"
    | "leaving-target"
    | "fatal-request"
    | "target-limit"
    | "retry-budget";
  readonly message: string;
}

/** A target and when it announced that it leaves. */
export interface LeavingTarget {
  readonly target: string;
  readonly atMs: number;
}

/** A period in which instances could not read the store. */
export interface StoreOutage {
  readonly fromMs: number;
  readonly toMs: number;
}

export interface TrialObservations {
  readonly records: readonly CallerRecord[];
  readonly runs: readonly TargetRun[];
  readonly leavingTargets: readonly LeavingTarget[];
  /** Outages of the store or of the links to the store. */
  readonly storeOutages?: readonly StoreOutage[];
  readonly rateLimits?: readonly RateLimitPeriod[];
  readonly holds?: HoldObservations;
  readonly retries?: RetryObservations;
}

/**
 * Longest time that a leaving target may still start runs; documented as "after
 * a few seconds". It includes reading the target's entry and a planning round.
 */
const MAX_LEAVING_MS = 5_000;

export function listViolations(
  observations: TrialObservations,
): readonly Violation[] {
  // A target whose hold expired abandoned these runs before they had an effect.
  const runs = observations.runs.filter((run) => run.ending !== "lapsed");
  const runsByRequestId = groupBy(runs, ({ requestId }) => requestId);
  return [
    ...checkAtMostOnce(observations.records, runsByRequestId),
    ...checkNotRun(observations.records, runsByRequestId),
    // Abandoned runs count here: the target responds to them with a failure.
    ...checkResponses(
      observations.records,
      groupBy(observations.runs, ({ requestId }) => requestId),
    ),
    ...checkSoleOwner(runs),
    ...checkLeavingTargets(
      runs,
      observations.leavingTargets,
      observations.storeOutages ?? [],
    ),
    ...checkFatalRequests(runs),
    ...checkRateLimits(observations.runs, observations.rateLimits ?? []),
    ...checkHolds(observations.holds),
    ...checkRetryBudget(observations.retries),
  ];
}

type RunsByRequestId = ReadonlyMap<string, readonly TargetRun[]>;

function listRuns(
  record: CallerRecord,
  runsByRequestId: RunsByRequestId,
): readonly TargetRun[] {
  return runsByRequestId.get(record.requestId ?? "") ?? [];
}

/**
 * Checks that a non-idempotent request ran at most once. Each attempt at it has
 * a request id of its own, so the runs of all attempts are counted.
 */
function checkAtMostOnce(
  records: readonly CallerRecord[],
  runsByRequestId: RunsByRequestId,
): readonly Violation[] {
  const nonIdempotent = records.filter((record) => !record.idempotent);
  return [...groupBy(nonIdempotent, ({ wantedId }) => wantedId)]
    .flatMap(([wantedId, attempts]) => {
      const runs = attempts.flatMap((attempt) =>
        listRuns(attempt, runsByRequestId)
      );
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
  runsByRequestId: RunsByRequestId,
): readonly Violation[] {
  return records.filter(({ outcome }) => outcome === "not-run")
    .flatMap((record) =>
      listRuns(record, runsByRequestId).map(({ target, requestId }) => ({
        promise: "not-run-is-true" as const,
        message: `"${requestId}" was reported as not run but ran on ${target}`,
      }))
    );
}

function checkResponses(
  records: readonly CallerRecord[],
  runsByRequestId: RunsByRequestId,
): readonly Violation[] {
  return records.flatMap((record) => {
    if (record.outcome !== "ran" || record.errorKind !== undefined) {
      return [];
    }
    const isOfRun = listRuns(record, runsByRequestId)
      .some(({ answerDigest }) => answerDigest === record.answerDigest);
    return record.isOwnAnswer === true && isOfRun ? [] : [{
      promise: "own-answer" as const,
      message:
        `"${record.requestId}" received a response that names another request or that none of its runs sent`,
    }];
  });
}

function checkHolds(holds: HoldObservations | undefined): readonly Violation[] {
  return holds === undefined
    ? []
    : listHoldViolations(holds).map((message) => ({
      promise: "sole-holder",
      message,
    }));
}

/** Checks that no two targets run requests for one key at the same time. */
function checkSoleOwner(runs: readonly TargetRun[]): readonly Violation[] {
  const runsByKey = groupBy(runs, (run) => `${run.service} ${run.key}`);
  const violations: Violation[] = [];
  for (const [key, runsOfKey] of runsByKey) {
    const sorted = runsOfKey.toSorted((a, b) => a.startedAtMs - b.startedAtMs);
    const lastEndByTarget = new Map<string, number>();
    for (const run of sorted) {
      for (const [target, endedAtMs] of lastEndByTarget) {
        if (target !== run.target && endedAtMs > run.startedAtMs) {
          const message = `${run.target} ran "${key}" while ${target} ran it`;
          violations.push({ promise: "sole-owner", message });
        }
      }
      const lastEndMs = Math.max(
        lastEndByTarget.get(run.target) ?? 0,
        run.endedAtMs ?? Infinity,
      );
      lastEndByTarget.set(run.target, lastEndMs);
    }
  }
  return violations;
}

/**
 * Checks that a leaving target starts no run after `MAX_LEAVING_MS`. Instances
 * that cannot read the store do not know that a target leaves. Runs during an
 * outage that ends after the announcement, or within `MAX_LEAVING_MS` of the
 * end of that outage, are therefore not violations.
 */
function checkLeavingTargets(
  runs: readonly TargetRun[],
  leavingTargets: readonly LeavingTarget[],
  storeOutages: readonly StoreOutage[],
): readonly Violation[] {
  const isExcusedByOutage = (atMs: number, startedAtMs: number): boolean =>
    storeOutages.some(({ fromMs, toMs }) =>
      fromMs < startedAtMs && toMs + MAX_LEAVING_MS > startedAtMs &&
      toMs > atMs
    );
  return leavingTargets.flatMap(({ target, atMs }) =>
    runs
      .filter((run) => run.target === target)
      .filter((run) => run.startedAtMs > atMs + MAX_LEAVING_MS)
      .filter((run) => !isExcusedByOutage(atMs, run.startedAtMs))
      .map((run) => ({
        promise: "leaving-target" as const,
        message: `${target} started "${run.requestId}" ${
          Math.round(run.startedAtMs - atMs)
        } ms after it announced that it leaves`,
      }))
  );
}

function checkFatalRequests(runs: readonly TargetRun[]): readonly Violation[] {
  return listUnquarantinedRequests(runs).map(({ path, sends }) => ({
    promise: "fatal-request",
    message: `"${path}" was sent ${sends} more times after three crashes`,
  }));
}

function checkRateLimits(
  runs: readonly TargetRun[],
  rateLimits: readonly RateLimitPeriod[],
): readonly Violation[] {
  return listExceededLimits(runs, rateLimits).map(({ period, maxCount }) => ({
    promise: "target-limit",
    message:
      `${period.target} received ${maxCount} requests in 4 s; its limit is ${period.perSecond} per second`,
  }));
}

function checkRetryBudget(
  retries: RetryObservations | undefined,
): readonly Violation[] {
  const windows = retries === undefined ? [] : listFullestWindows(retries);
  return windows.filter(({ retries, allowed }) => retries > allowed)
    .map(({ service, fromMs, retries, requests, allowed }) => ({
      promise: "retry-budget",
      message: `${service} received ${retries} retries from ${
        Math.round(fromMs)
      } ms on, for ${requests} requests; ${allowed.toFixed(1)} are allowed`,
    }));
}

/**
 * Computes the longest time that a key went unserved: from the start of the
 * first failed attempt, or of a slow one, to the next complete response for
 * that key.
 */
export function computeUnservedMsMax(
  records: readonly CallerRecord[],
): number {
  let longestMs = 0;
  const attemptsByKey = groupBy(records, (r) => `${r.template} ${r.key}`);
  for (const attempts of attemptsByKey.values()) {
    let unservedSinceMs: number | undefined;
    const sorted = attempts.toSorted((a, b) => a.sentAtMs - b.sentAtMs);
    for (const attempt of sorted) {
      const failedSinceMs = unservedSinceMs ?? attempt.sentAtMs;
      if (attempt.outcome === "ran") {
        longestMs = Math.max(longestMs, attempt.receivedAtMs - failedSinceMs);
        unservedSinceMs = undefined;
      } else {
        unservedSinceMs = failedSinceMs;
      }
    }
  }
  return longestMs;
}
