/**
 * The audit: folds the exported log, then lets the oracle judge the decision
 * lines. Memory is bounded for its size: requests are followed in as many
 * passes over the files as it takes to keep one pass within its share.
 */
import { stat } from "node:fs/promises";
import { hash } from "node:crypto";
import { readAuditFile } from "./audit_input.ts";
import type { FactReport } from "./finding.ts";
import { FACTS } from "./finding.ts";
import { LogFolding } from "./log_folding.ts";
import { Oracle } from "./oracle.ts";
import type { OwnershipHistory } from "./ownership_history.ts";

/**
 * Input bytes whose requests are followed in one pass. A followed request
 * takes about three times its lines, so a pass stays under 512 MB.
 */
const BYTES_PER_PASS = 128 * 1024 * 1024;

export interface AuditReport {
  readonly facts: readonly FactReport[];
  readonly logRecords: number;
  readonly decisionLines: number;
  readonly unreadableLines: readonly string[];
  readonly unreadableCount: number;
  readonly passes: number;
  /** What no gap can show; said beside the verdicts. */
  readonly notes: readonly string[];
}

/** Locations of unreadable lines that a report names. */
const MAX_NAMED_LINES = 20;

interface LogPass {
  readonly folding: LogFolding;
  readonly unreadable: string[];
  unreadableCount: number;
  lines: number;
}

/** Reads the log records of all files; decision lines are only counted. */
export async function loadLog(files: readonly string[]): Promise<LogPass> {
  const pass: LogPass = {
    folding: new LogFolding(),
    unreadable: [],
    unreadableCount: 0,
    lines: 0,
  };
  for (const file of files) {
    for await (const input of readAuditFile(file)) {
      switch (input.kind) {
        case "record":
          pass.folding.addRecord(input.record);
          break;
        case "line":
          pass.lines++;
          break;
        case "unreadable":
          pass.unreadableCount++;
          if (pass.unreadable.length < MAX_NAMED_LINES) {
            pass.unreadable.push(`${input.file}:${input.lineNumber}`);
          }
          break;
        case "execution":
        case "other":
          break;
      }
    }
  }
  return pass;
}

export async function runAudit(
  files: readonly string[],
  options: { readonly bytesPerPass?: number } = {},
): Promise<AuditReport> {
  const log = await loadLog(files);
  const passes = await computePasses(
    files,
    options.bytesPerPass ?? BYTES_PER_PASS,
  );
  const missing = [
    ...log.folding.listMissing(),
    ...(log.folding.history.firstOffset === undefined
      ? ["no log record could be folded"]
      : []),
    ...(log.unreadableCount > 0
      ? [`${log.unreadableCount} lines of the input cannot be read`]
      : []),
  ];
  let merged: readonly FactReport[] = [log.folding.reportAssignments()];
  for (let pass = 0; pass < passes; pass++) {
    const oracle = new Oracle({
      history: log.folding.history,
      missingRecords: missing,
      mayFollow: (name) => computePass(name, passes) === pass,
    });
    await observeFiles(files, oracle);
    merged = mergeReports(merged, oracle.report(), pass === 0);
  }
  return {
    facts: FACTS.flatMap((fact) =>
      merged.filter((report) => report.fact === fact)
    ),
    logRecords: log.folding.history.nextOffset,
    decisionLines: log.lines,
    unreadableLines: log.unreadable,
    unreadableCount: log.unreadableCount,
    passes,
    notes: describeLostInstances(log.folding.history),
  };
}

/**
 * A killed process may have lost the lines that it wrote last. No later line
 * of it shows the gap, so a reader has to be told.
 */
function describeLostInstances(history: OwnershipHistory): readonly string[] {
  return history.listMembers()
    .filter(({ removal }) => removal === "lost")
    .map(({ instance }) =>
      `${instance} was lost, and lines that it wrote last may be lost with it`
    );
}

async function observeFiles(
  files: readonly string[],
  oracle: Oracle,
): Promise<void> {
  for (const file of files) {
    for await (const input of readAuditFile(file)) {
      if (input.kind === "line" || input.kind === "execution") {
        oracle.observe(input);
      }
    }
  }
}

async function computePasses(
  files: readonly string[],
  bytesPerPass: number,
): Promise<number> {
  const sizes = await Promise.all(files.map((file) => stat(file)));
  const total = sizes.reduce((sum, { size }) => sum + size, 0);
  return Math.max(1, Math.ceil(total / bytesPerPass));
}

function computePass(requestName: string, passes: number): number {
  const digest = hash("sha1", requestName, "hex");
  return parseInt(digest.slice(0, 8), 16) % passes;
}

/** Facts that are judged request by request; the others repeat each pass. */
const FACTS_BY_REQUEST: ReadonlySet<string> = new Set([
  "whole-answer",
  "not-run-is-true",
  "at-most-once",
  "planned-stop-cuts-nothing",
]);

function mergeReports(
  before: readonly FactReport[],
  after: readonly FactReport[],
  isFirstPass: boolean,
): readonly FactReport[] {
  return after.map((report) => {
    const known = before.find(({ fact }) => fact === report.fact);
    if (known === undefined) {
      return report;
    }
    const adds = isFirstPass || FACTS_BY_REQUEST.has(report.fact);
    return adds ? mergeReport(known, report) : known;
  });
}

const SEVERITY: readonly FactReport["verdict"][] = [
  "nothing-to-check",
  "proven",
  "cannot-be-shown",
  "violated",
];

function mergeReport(left: FactReport, right: FactReport): FactReport {
  const worse = Math.max(
    SEVERITY.indexOf(left.verdict),
    SEVERITY.indexOf(right.verdict),
  );
  const seen = new Set(left.findings.map(describeFinding));
  return {
    fact: left.fact,
    verdict: SEVERITY[worse]!,
    checked: left.checked + right.checked,
    violations: left.violations + right.violations,
    unshown: left.unshown + right.unshown,
    findings: [
      ...left.findings,
      ...right.findings.filter((finding) =>
        !seen.has(describeFinding(finding))
      ),
    ],
  };
}

function describeFinding(finding: FactReport["findings"][number]): string {
  return `${finding.kind} ${finding.subject} ${finding.message}`;
}
