/** What a trial came to, from the targets' histories and callers' records. */
import { existsSync, readFileSync } from "node:fs";
import type { TargetRun } from "@lentilspur/ports/fake_target";
import { type AuditReport, checkPromises } from "@lentilspur/proof/audit";
import { type LogLine, parseLines } from "@lentilspur/proof/log_line";
import type { CallerRecord } from "../traffic/caller_record.ts";
import {
  computeUnservedMsMax,
  type LeavingTarget,
  listViolations,
  type StoreOutage,
  type Violation,
} from "../traffic/violations.ts";
import { groupBy } from "../traffic/group_by.ts";
import type { RateLimitPeriod } from "../traffic/target_limit.ts";
import type { TargetExit } from "./deployment_processes.ts";

export interface TrialReport {
  readonly deployment: string;
  readonly requests: number;
  readonly sends: number;
  readonly ran: number;
  /** Requests whose last answer was that they did not run. */
  readonly notRun: number;
  /** Requests of which the caller never learnt the outcome. */
  readonly unknown: number;
  /** Ranges of keys that keepers gave a new owner, the first ones included. */
  readonly moves: number;
  readonly unservedMsMax: number;
  /** What the lines of the instances show. */
  readonly audit: AuditReport;
  readonly violations: readonly Violation[];
  /** What else had to hold and did not. */
  readonly failedChecks: readonly string[];
}

export interface TrialResults {
  readonly deployment: string;
  readonly records: readonly CallerRecord[];
  readonly historyFile: string;
  readonly leavingTargets: readonly LeavingTarget[];
  readonly storeOutages: readonly StoreOutage[];
  readonly rateLimits: readonly RateLimitPeriod[];
  readonly targetExits: readonly TargetExit[];
  readonly instanceLogFiles: readonly string[];
  readonly failedChecks: readonly string[];
}

export function buildReport(facts: TrialResults): TrialReport {
  const {
    records,
    leavingTargets: leaving,
    storeOutages: disturbances,
    rateLimits: limits,
    instanceLogFiles: lineFiles,
  } = facts;
  const runs = loadRuns(facts.historyFile, facts.targetExits);
  const read = parseLines(lineFiles.map((file) => readFileSync(file, "utf8")));
  const requests = groupBy(records, ({ wantedId }) => wantedId);
  const last = [...requests.values()].map((sends) => sends.at(-1)!.outcome);
  const count = (...outcomes: readonly CallerRecord["outcome"][]): number =>
    last.filter((outcome) => outcomes.includes(outcome)).length;
  return {
    deployment: facts.deployment,
    requests: requests.size,
    sends: records.length,
    ran: count("ran"),
    notRun: count("not-run"),
    unknown: count("unknown", "none"),
    moves: countMoves(read.lines),
    unservedMsMax: Math.round(computeUnservedMsMax(records)),
    audit: checkPromises(read),
    violations: listViolations({
      records,
      runs,
      leaving,
      storeOutages: disturbances,
      rateLimits: limits,
    }),
    failedChecks: facts.failedChecks,
  };
}

function countMoves(lines: readonly LogLine[]): number {
  return lines.filter(({ event }) => event === "keeper-planned")
    .reduce((sum, line) => sum + Number(line["changes"] ?? 0), 0);
}

/** The last line of each run counts; one without an end ended with its target. */
function loadRuns(
  file: string,
  deaths: readonly TargetExit[],
): readonly TargetRun[] {
  const text = existsSync(file) ? readFileSync(file, "utf8") : "";
  const runs = new Map<string, TargetRun>();
  for (const line of text.split("\n").filter((each) => each !== "")) {
    const run = JSON.parse(line) as TargetRun;
    runs.set(`${run.target} ${run.sequence}`, run);
  }
  return [...runs.values()].map((run) => {
    const death = deaths.find(({ target, atMs }) =>
      run.endedAtMs === null && target === run.target && atMs > run.startedAtMs
    );
    return death === undefined ? run : { ...run, endedAtMs: death.atMs };
  });
}

export function renderReport(report: TrialReport): string {
  const { violations, failedChecks: faults, audit } = report;
  const lines = [
    `${report.deployment}: ${report.requests} requests in ${report.sends} attempts: ` +
    `${report.ran} ran, ${report.notRun} not run, ${report.unknown} unknown`,
    `  ${report.moves} moves, longest time unserved ${report.unservedMsMax} ms`,
    `  audit: ${audit.requests} requests, ${audit.sends} sends, ${audit.missingLines} lines missing`,
    ...audit.findings.slice(0, MAX_SHOWN).map(({ promise, message }) =>
      `  FOUND ${promise}: ${message}`
    ),
    ...violations.slice(0, MAX_SHOWN).map(({ promise, message }) =>
      `  BROKEN ${promise}: ${message}`
    ),
    ...faults.map((fault) => `  FAULT ${fault}`),
  ];
  return lines.join("\n");
}

const MAX_SHOWN = 20;

/** The line of JSON that a run ends with. */
export function renderSummary(reports: readonly TrialReport[]): string {
  const add = (pick: (report: TrialReport) => number): number =>
    reports.reduce((sum, report) => sum + pick(report), 0);
  return JSON.stringify({
    promisesHeld: hasPassed(reports),
    requests: add((report) => report.requests),
    ran: add((report) => report.ran),
    notRun: add((report) => report.notRun),
    unknown: add((report) => report.unknown),
    moves: add((report) => report.moves),
    unservedMsMax: Math.max(...reports.map((each) => each.unservedMsMax)),
    violations: add((report) => report.violations.length),
    auditFindings: add((report) => report.audit.findings.length),
    faults: reports.flatMap((report) => report.failedChecks),
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
