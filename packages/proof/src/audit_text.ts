/** Audit reports and answers as text for people. */
import type { AuditReport } from "./audit.ts";
import type {
  ConfigurationAnswer,
  OwnerAnswer,
  RequestAnswer,
  RequestFate,
} from "./audit_questions.ts";
import type { Fact, FactReport, Finding } from "./finding.ts";

/** Exit codes of `lentilspur audit`; docs/operating/read-an-audit.md says them. */
export const AUDIT_EXIT_CODES = {
  proven: 0,
  violated: 1,
  badInput: 2,
  cannotBeShown: 3,
} as const;

const FACT_NAMES: Readonly<Record<Fact, string>> = {
  "sole-owner": "A key has at most one owner at any moment",
  "assignment-survives": "An acknowledged assignment survives",
  "whole-answer": "A caller receives the whole answer to its own request",
  "not-run-is-true": '"Not run" is true',
  "at-most-once": "A non-idempotent request runs at most once",
  "leaving-target-spared": "A leaving target gets no new work",
  "planned-stop-cuts-nothing": "A planned stop cuts off no request",
  "configuration-in-force":
    "An accepted configuration is in force everywhere and never reverts",
};

/** Findings of one kind printed under a fact; `--json` has up to a hundred. */
const MAX_PRINTED_FINDINGS = 10;

export type AuditExitCode =
  typeof AUDIT_EXIT_CODES[keyof typeof AUDIT_EXIT_CODES];

export function computeExitCode(facts: readonly FactReport[]): AuditExitCode {
  const verdicts = facts.map(({ verdict }) => verdict);
  if (verdicts.includes("violated")) {
    return AUDIT_EXIT_CODES.violated;
  }
  return verdicts.includes("cannot-be-shown")
    ? AUDIT_EXIT_CODES.cannotBeShown
    : AUDIT_EXIT_CODES.proven;
}

export function renderReport(report: AuditReport): string {
  const lines = [
    `${report.logRecords} log records, ${report.decisionLines} decision lines` +
    (report.unreadableCount > 0
      ? `, ${report.unreadableCount} unreadable lines`
      : ""),
    ...report.unreadableLines.map((location) => `  unreadable: ${location}`),
    ...report.notes.map((note) => `note: ${note}`),
    "",
    ...report.facts.flatMap(renderFact),
  ];
  return lines.join("\n");
}

function renderFact(report: FactReport): readonly string[] {
  const verdict = report.verdict.toUpperCase().replaceAll("-", " ");
  return [
    `${verdict}: ${FACT_NAMES[report.fact]}`,
    `  ${report.checked} checked, ${report.violations} violated, ${report.unshown} not shown`,
    ...renderFindings(report.findings, "violated"),
    ...renderFindings(report.findings, "cannot-be-shown"),
  ];
}

function renderFindings(
  findings: readonly Finding[],
  kind: Finding["kind"],
): readonly string[] {
  const ofKind = findings.filter((finding) => finding.kind === kind);
  const mark = kind === "violated" ? "!" : "?";
  const shown = ofKind.slice(0, MAX_PRINTED_FINDINGS)
    .flatMap((finding) => [
      `  ${mark} ${finding.subject}: ${finding.message}`,
      ...renderEvidence(finding),
    ]);
  const rest = ofKind.length - MAX_PRINTED_FINDINGS;
  return rest > 0 ? [...shown, `  ${mark} and ${rest} more`] : shown;
}

function renderEvidence(finding: Finding): readonly string[] {
  if (finding.kind !== "violated") {
    return [];
  }
  return finding.evidence.map((evidence) => {
    switch (evidence.kind) {
      case "line":
        return `      ${evidence.line.instance} line ${evidence.line.sequence} at ${evidence.line.time}: ${evidence.line.decision}`;
      case "execution":
        return `      ${evidence.execution.target} ran ${evidence.execution.requestId} as its number ${evidence.execution.sequence}`;
      case "answer":
        return `      the caller of ${evidence.answer.requestId} was told "${evidence.answer.outcome}"`;
    }
  });
}

export function renderOwner(answer: OwnerAnswer): string {
  const where = answer.fromOffset === answer.toOffset
    ? `at offset ${answer.fromOffset}`
    : `between offsets ${answer.fromOffset} and ${answer.toOffset}`;
  const head = `Key "${answer.key}" of template "${answer.template}" ${where}:`;
  const owners = answer.holdings.map((each) =>
    `  ${
      each.owner ?? "no owner"
    } (unit ${each.unit}, token ${each.token}, by the record at offset ${each.recordOffset} of ${each.author})`
  );
  return [
    head,
    ...(owners.length > 0 ? owners : ["  no owner is on record"]),
    ...(answer.holdings.length > 1
      ? ["  The change lies within the moment asked for; name an offset"]
      : []),
    ...answer.missing.map((missing) => `  ? ${missing}`),
  ].join("\n");
}

const FATES: Readonly<Record<RequestFate["verdict"], string>> = {
  "ran-once": "ran once",
  "ran-more-than-once": "RAN MORE THAN ONCE",
  "not-run": "was dispatched and did not run",
  "may-have-run": "may have run: a dispatch has no proved end",
  "never-dispatched": "was sent to no target, as far as the lines show",
};

export function renderRequest(answer: RequestAnswer): string {
  if (answer.found.length === 0) {
    return `No line names request "${answer.requestId}"`;
  }
  return answer.found.map((fate) => renderFate(answer.requestId, fate))
    .join("\n");
}

function renderFate(requestId: string, fate: RequestFate): string {
  const kind = fate.idempotent ? "idempotent" : "non-idempotent";
  return [
    `Request "${requestId}" of client account "${fate.clientAccount}" (${kind}, key "${fate.key}" of "${fate.template}") ${
      FATES[fate.verdict]
    }`,
    ...fate.dispatches.map((each) =>
      `  sent by ${each.steward} to ${each.target}, owner by the record at offset ${each.ownerRecord}: ${each.outcome}`
    ),
    ...renderAnswers(fate),
  ].join("\n");
}

/** Why a caller was refused: the answers that it got, with their limits. */
export function renderRefusal(answer: RequestAnswer): string {
  if (answer.found.length === 0) {
    return `No line names request "${answer.requestId}"`;
  }
  return answer.found.map((fate) =>
    [
      `Request "${answer.requestId}" of client account "${fate.clientAccount}"`,
      ...renderAnswers(fate),
    ].join("\n")
  ).join("\n");
}

function renderAnswers(fate: RequestFate): readonly string[] {
  if (fate.answers.length === 0) {
    return ["  no line tells what its caller was answered"];
  }
  return fate.answers.map((each) =>
    [
      `  answered by ${each.instance} at ${each.time}: ${each.outcome}, status ${each.status}`,
      ...(each.errorKind === undefined ? [] : [`error ${each.errorKind}`]),
      ...(each.limit === undefined ? [] : [`limit ${each.limit}`]),
      ...(each.retryAfterMs === undefined
        ? []
        : [`to be sent again after ${each.retryAfterMs} ms`]),
    ].join(", ")
  );
}

export function renderConfiguration(answer: ConfigurationAnswer): string {
  const { published } = answer;
  const head = published === null
    ? `The log at hand holds no acceptance of version ${answer.version}`
    : `Version ${answer.version} was published by ${published.operator} in the record at offset ${published.offset}: ${
      published.documents.join(", ")
    }`;
  return [
    head,
    ...answer.inForce.map((each) =>
      `  in force on ${each.instance} since ${each.since}` +
      (each.version === answer.version ? "" : ` (as version ${each.version})`)
    ),
    ...answer.notShown.map((instance) =>
      `  ? no line shows it in force on ${instance}`
    ),
    ...answer.missing.map((missing) => `  ? ${missing}`),
  ].join("\n");
}
