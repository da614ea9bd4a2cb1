/**
 * Builds and renders the report of a trial from targets' histories, callers'
 * records and instances' log lines.
 */
import { existsSync, readFileSync } from "node:fs";
import type {
  HoldChange,
  TargetArrival,
  TargetRun,
} from "@lentilspur/ports/fake_target";
import { type AuditReport, checkPromises } from "@lentilspur/proof/audit";
import { type LogLine, parseLines } from "@lentilspur/proof/log_line";
import type { Deployment } from "../traffic/deployment.ts";
import type { RetryLimits } from "@lentilspur/routing/retry_budget";
import type { CallerRecord } from "../traffic/caller_record.ts";
import {
  computeUnservedMsMax,
  type LeavingTarget,
  listViolations,
  type StoreOutage,
  type Violation,
} from "../traffic/violations.ts";
import { groupBy } from "../traffic/group_by.ts";
import type { HolderDisturbance } from "../traffic/key_holds.ts";
import {
  groupSentMsByService,
  listFullestWindows,
  type ServiceRetryWindow,
} from "../traffic/retry_budget_limit.ts";
import type { RateLimitPeriod } from "../traffic/target_limit.ts";
import type { TargetExit } from "./deployment_processes.ts";

export interface TrialReport {
  readonly deployment: string;
  readonly requests: number;
  /** Attempts of callers at these requests. */
  readonly attempts: number;
  readonly ran: number;
  /** Requests whose last response says that they did not run. */
  readonly notRun: number;
  /** Requests whose outcome the caller does not know. */
  readonly unknown: number;
  /**
   * Key ranges that keepers gave a new owner, including the initial
   * assignments.
   */
  readonly moves: number;
  readonly unservedMsMax: number;
  /** The fullest window of each service's retry budget. */
  readonly retryWindows: readonly ServiceRetryWindow[];
  /** Result of the audit of the instances' log lines. */
  readonly audit: AuditReport;
  readonly violations: readonly Violation[];
  /** Failed checks other than violations and audit findings. */
  readonly failedChecks: readonly string[];
  /** Failed checks that are listed as known; the trial passes with them. */
  readonly knownFailures: readonly string[];
}

export interface TrialResults {
  readonly deployment: Deployment;
  readonly records: readonly CallerRecord[];
  readonly historyFile: string;
  readonly leavingTargets: readonly LeavingTarget[];
  readonly storeOutages: readonly StoreOutage[];
  readonly rateLimits: readonly RateLimitPeriod[];
  readonly retryLimits: RetryLimits;
  /** Attempts at the start, whose retries are counted too. */
  readonly startRecords: readonly CallerRecord[];
  readonly targetExits: readonly TargetExit[];
  readonly targetDisturbances: readonly HolderDisturbance[];
  readonly instanceLogFiles: readonly string[];
  readonly failedChecks: readonly string[];
  readonly knownFailures: readonly string[];
}

export function buildReport(results: TrialResults): TrialReport {
  const {
    records,
    leavingTargets,
    storeOutages,
    rateLimits,
    instanceLogFiles,
  } = results;
  const history = loadHistory(results.historyFile);
  const runs = listRuns(history.runs, results.targetExits);
  const retries = {
    limits: results.retryLimits,
    ratioByService: new Map(
      results.deployment.targets.flatMap(({ template, retryRatio }) =>
        retryRatio === undefined ? [] : [[template, retryRatio]]
      ),
    ),
    arrivals: history.arrivals,
    sentMsByService: groupSentMsByService([
      ...results.startRecords,
      ...records,
    ]),
  };
  const parsed = parseLines(
    instanceLogFiles.map((file) => readFileSync(file, "utf8")),
  );
  const requests = groupBy(records, ({ wantedId }) => wantedId);
  const lastOutcomes = [...requests.values()].map((attempts) =>
    attempts.at(-1)!.outcome
  );
  const count = (...outcomes: readonly CallerRecord["outcome"][]): number =>
    lastOutcomes.filter((outcome) => outcomes.includes(outcome)).length;
  return {
    deployment: results.deployment.name,
    requests: requests.size,
    attempts: records.length,
    ran: count("ran"),
    notRun: count("not-run"),
    unknown: count("unknown", "none"),
    moves: countMoves(parsed.lines),
    unservedMsMax: Math.round(computeUnservedMsMax(records)),
    retryWindows: listFullestWindows(retries),
    audit: checkPromises(parsed),
    violations: listViolations({
      records,
      runs,
      leavingTargets,
      storeOutages,
      rateLimits,
      retries,
      holds: {
        changes: history.holdChanges,
        exits: results.targetExits,
        disturbances: results.targetDisturbances,
      },
    }),
    failedChecks: results.failedChecks,
    knownFailures: results.knownFailures,
  };
}

function countMoves(lines: readonly LogLine[]): number {
  return lines.filter(({ event }) => event === "keeper-planned")
    .reduce((sum, line) => sum + Number(line["changes"] ?? 0), 0);
}

type HistoryLine = TargetRun | HoldChange | TargetArrival;

interface TargetHistory {
  readonly runs: readonly TargetRun[];
  readonly holdChanges: readonly HoldChange[];
  readonly arrivals: readonly TargetArrival[];
}

/** Loads what the targets recorded, one JSON object per line. */
export function loadHistory(file: string): TargetHistory {
  const text = existsSync(file) ? readFileSync(file, "utf8") : "";
  const lines = text.split("\n").filter((line) => line !== "")
    .map((line) => JSON.parse(line) as HistoryLine);
  return {
    runs: lines.flatMap((line) => "kind" in line ? [] : [line]),
    holdChanges: lines.flatMap((line) =>
      "kind" in line && line.kind !== "arrived" ? [line] : []
    ),
    arrivals: lines.flatMap((line) =>
      "kind" in line && line.kind === "arrived" ? [line] : []
    ),
  };
}

/**
 * The last record of each run counts; a run without an end ended when its
 * target's process did.
 */
export function listRuns(
  records: readonly TargetRun[],
  targetExits: readonly TargetExit[],
): readonly TargetRun[] {
  const runs = new Map<string, TargetRun>();
  for (const run of records) {
    runs.set(`${run.target} ${run.sequence}`, run);
  }
  return [...runs.values()].map((run) => {
    const targetExit = targetExits.find(({ target, atMs }) =>
      run.endedAtMs === null && target === run.target && atMs > run.startedAtMs
    );
    return targetExit === undefined
      ? run
      : { ...run, endedAtMs: targetExit.atMs };
  });
}

export function renderReport(report: TrialReport): string {
  const { violations, failedChecks, knownFailures, audit } = report;
  const lines = [
    `${report.deployment}: ${report.requests} requests in ${report.attempts} attempts: ` +
    `${report.ran} ran, ${report.notRun} not run, ${report.unknown} unknown`,
    `  ${report.moves} moves, longest time unserved ${report.unservedMsMax} ms`,
    ...report.retryWindows.map(({ service, retries, allowed }) =>
      `  retries of ${service}: at most ${retries} in a window, ${
        Math.floor(allowed)
      } allowed`
    ),
    `  audit: ${audit.requests} requests, ${audit.sends} sends, ${audit.missingLines} lines missing`,
    ...audit.findings.slice(0, MAX_LISTED).map(({ promise, message }) =>
      `  FOUND ${promise}: ${message}`
    ),
    ...violations.slice(0, MAX_LISTED).map(({ promise, message }) =>
      `  BROKEN ${promise}: ${message}`
    ),
    ...failedChecks.map((check) => `  FAULT ${check}`),
    ...knownFailures.map((check) => `  KNOWN ${check}`),
  ];
  return lines.join("\n");
}

const MAX_LISTED = 20;

/** Renders the JSON line that the command prints last. */
export function renderSummary(reports: readonly TrialReport[]): string {
  const sum = (getCount: (report: TrialReport) => number): number =>
    reports.reduce((total, report) => total + getCount(report), 0);
  return JSON.stringify({
    promisesHeld: hasPassed(reports),
    requests: sum((report) => report.requests),
    ran: sum((report) => report.ran),
    notRun: sum((report) => report.notRun),
    unknown: sum((report) => report.unknown),
    moves: sum((report) => report.moves),
    unservedMsMax: Math.max(...reports.map((each) => each.unservedMsMax)),
    violations: sum((report) => report.violations.length),
    auditFindings: sum((report) => report.audit.findings.length),
    faults: reports.flatMap((report) => report.failedChecks),
    knownFailures: reports.flatMap((report) => report.knownFailures),
    deployments: reports.map((report) => report.deployment),
  });
}

export function hasPassed(reports: readonly TrialReport[]): boolean {
  return reports.every((report) =>
    report.violations.length === 0 && report.failedChecks.length === 0 &&
    report.audit.findings.length === 0 &&
    report.requests > 0
  );
}
