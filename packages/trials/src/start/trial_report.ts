/** What a trial came to, from the targets' histories and callers' records. */
import { existsSync, readFileSync } from "node:fs";
import { LogClient } from "@lentilspur/transport/log_client";
import { SystemClock } from "@lentilspur/ports/system_clock";
import type { TargetRun } from "@lentilspur/ports/target_history";
import type { CallerRecord } from "@lentilspur/standins/caller_record";
import {
  computeUnservedMsMax,
  type LeavingTarget,
  listViolations,
  type Violation,
} from "@lentilspur/standins/judge";
import { splitBy } from "@lentilspur/standins/split_by";
import { parseEnvelope } from "@lentilspur/state/entry_schema";
import { Fold } from "@lentilspur/state/fold";
import type { TargetDeath } from "./processes.ts";

export interface TrialReport {
  readonly deployment: string;
  readonly requests: number;
  readonly sends: number;
  readonly ran: number;
  /** Requests whose last answer was that they did not run. */
  readonly notRun: number;
  /** Requests of which the caller never learnt the outcome. */
  readonly unknown: number;
  /** Units that went from one target to another. */
  readonly moves: number;
  readonly unservedMsMax: number;
  readonly appends: number;
  readonly appendedBytes: number;
  /** Accepted entries of each kind. */
  readonly entries: Readonly<Record<string, number>>;
  readonly violations: readonly Violation[];
  /** What else had to hold and did not. */
  readonly faults: readonly string[];
}

export interface TrialFacts {
  readonly deployment: string;
  readonly records: readonly CallerRecord[];
  readonly historyFile: string;
  readonly leaving: readonly LeavingTarget[];
  readonly deaths: readonly TargetDeath[];
  readonly logUrl: string;
  readonly faults: readonly string[];
}

const LOG_STREAM = "lentilspur";

export async function buildReport(facts: TrialFacts): Promise<TrialReport> {
  const { records, leaving } = facts;
  const runs = loadRuns(facts.historyFile, facts.deaths);
  const log = await readLog(facts.logUrl);
  const requests = splitBy(
    records,
    (record) => `${record.clientAccount} ${record.requestId}`,
  );
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
    moves: log.entries["move-released"] ?? 0,
    unservedMsMax: Math.round(computeUnservedMsMax(records)),
    appends: log.appends,
    appendedBytes: log.bytes,
    entries: log.entries,
    violations: listViolations({ records, runs, leaving }),
    faults: facts.faults,
  };
}

/** The last line of each run counts; one without an end ended with its target. */
function loadRuns(
  file: string,
  deaths: readonly TargetDeath[],
): readonly TargetRun[] {
  const text = existsSync(file) ? readFileSync(file, "utf8") : "";
  const runs = new Map<string, TargetRun>();
  for (const line of text.split("\n").filter((each) => each !== "")) {
    const run = JSON.parse(line) as TargetRun;
    runs.set(`${run.bootId} ${run.sequence}`, run);
  }
  return [...runs.values()].map((run) => {
    const death = deaths.find(({ target, atMs }) =>
      run.endedAtMs === null && target === run.target && atMs > run.startedAtMs
    );
    return death === undefined
      ? run
      : { ...run, endedAtMs: death.atMs, ending: "killed" };
  });
}

interface LogSummary {
  readonly appends: number;
  readonly bytes: number;
  readonly entries: Readonly<Record<string, number>>;
}

/** Folds the whole record stream and counts what was accepted. */
async function readLog(url: string): Promise<LogSummary> {
  const log = new LogClient(url, { clock: new SystemClock() });
  const fold = new Fold();
  const entries: Record<string, number> = {};
  let bytes = 0;
  for (;;) {
    const batch = await log.read(LOG_STREAM, fold.nextOffset);
    if (!batch.ok || batch.val.records.length === 0) {
      log.close();
      return { appends: fold.nextOffset, bytes, entries };
    }
    for (const { offset, payload } of batch.val.records) {
      const verdicts = fold.apply(offset, payload);
      bytes += Buffer.byteLength(payload);
      parseEnvelope(payload)?.entries.forEach(({ kind }, index) => {
        const isAccepted = verdicts[index]?.kind === "accepted";
        entries[kind] = (entries[kind] ?? 0) + (isAccepted ? 1 : 0);
      });
    }
  }
}

export function renderReport(report: TrialReport): string {
  const { violations, faults } = report;
  const lines = [
    `${report.deployment}: ${report.requests} requests in ${report.sends} sends: ` +
    `${report.ran} ran, ${report.notRun} not run, ${report.unknown} unknown`,
    `  ${report.moves} moves, longest time unserved ${report.unservedMsMax} ms, ` +
    `${report.appends} appends of ${report.appendedBytes} bytes`,
    `  accepted: ${renderCounts(report.entries)}`,
    ...violations.slice(0, MAX_SHOWN).map(({ promise, message }) =>
      `  BROKEN ${promise}: ${message}`
    ),
    ...faults.map((fault) => `  FAULT ${fault}`),
  ];
  return lines.join("\n");
}

const MAX_SHOWN = 20;

function renderCounts(counts: Readonly<Record<string, number>>): string {
  return Object.entries(counts)
    .map(([kind, count]) => `${count} ${kind}`)
    .join(", ");
}

/** The line of JSON that a run ends with. */
export function renderSummary(reports: readonly TrialReport[]): string {
  const add = (pick: (report: TrialReport) => number): number =>
    reports.reduce((sum, report) => sum + pick(report), 0);
  return JSON.stringify({
    promisesHeld: hasHeld(reports),
    requests: add((report) => report.requests),
    ran: add((report) => report.ran),
    notRun: add((report) => report.notRun),
    unknown: add((report) => report.unknown),
    moves: add((report) => report.moves),
    unservedMsMax: Math.max(...reports.map((each) => each.unservedMsMax)),
    violations: add((report) => report.violations.length),
    faults: reports.flatMap((report) => report.faults),
    deployments: reports.map((report) => report.deployment),
  });
}

export function hasHeld(reports: readonly TrialReport[]): boolean {
  return reports.every((report) =>
    report.violations.length === 0 && report.faults.length === 0 &&
    report.requests > 0
  );
}
