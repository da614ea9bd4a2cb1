/**
 * Checks from the log lines of all instances that the router keeps its
 * promises:
 *
 * - a non-idempotent request runs at most once;
 * - a request that is reported to the caller as "not run" has not run;
 * - a response that is forwarded to a caller comes from a target;
 * - all sends for a key under one fencing token go to one target, so that the
 *   key has one owner under each token;
 * - the configuration versions that an instance applies increase until it
 *   restarts.
 *
 * Dropped or missing log lines can hide broken promises, so the report contains
 * their number along with the findings.
 */
import {
  ERROR_RESPONSES,
  type ErrorKind,
} from "@lentilspur/outcomes/error_kinds";
import {
  type FinalLine,
  type LogLine,
  type ParsedLines,
  type SendLine,
  toFinalLine,
  toSendLine,
} from "./log_line.ts";

export type AuditedPromise =
  | "at-most-once"
  | "not-run-is-true"
  | "own-answer"
  | "sole-owner"
  | "configuration-stays";

export interface Finding {
  readonly promise: AuditedPromise;
  /** One sentence with the ids that identify the log lines. */
  readonly message: string;
}

export interface AuditReport {
  readonly requests: number;
  readonly sends: number;
  readonly findings: readonly Finding[];
  /** Lines that instances report as dropped, and gaps in sequence numbers. */
  readonly missingLines: number;
  readonly unreadableLines: number;
}

/** Fields of a report of dropped lines, each a total. */
const PRIORITIES = ["routine", "notable", "repeated", "unreadable"] as const;

interface RequestLog {
  readonly sends: SendLine[];
  readonly finals: FinalLine[];
  /** Number of sends that peers reported to the instance of the request. */
  peerSends: number;
}

export function checkPromises(
  { lines, unreadableCount }: ParsedLines,
): AuditReport {
  const logs = groupByRequest(lines);
  const sends = [...logs.values()].flatMap((log) => log.sends);
  return {
    requests: logs.size,
    sends: sends.length,
    findings: [
      ...[...logs].flatMap(([id, log]) => checkRequest(id, log)),
      ...checkOwners(sends),
      ...checkConfigurations(lines),
    ],
    missingLines: countMissingLines(lines),
    unreadableLines: unreadableCount,
  };
}

function groupByRequest(
  lines: readonly LogLine[],
): ReadonlyMap<string, RequestLog> {
  const logs = new Map<string, RequestLog>();
  const getLog = (id: string): RequestLog => {
    const log = logs.get(id) ?? { sends: [], finals: [], peerSends: 0 };
    logs.set(id, log);
    return log;
  };
  for (const line of lines) {
    const send = toSendLine(line);
    const final = toFinalLine(line);
    const { event, requestId, outcome } = line;
    if (event === "forward" && outcome === "sent") {
      getLog(String(requestId)).peerSends++;
    }
    if (send !== undefined) {
      getLog(send.requestId).sends.push(send);
    } else if (final !== undefined) {
      getLog(final.requestId).finals.push(final);
    }
  }
  return logs;
}

function checkRequest(
  id: string,
  log: RequestLog,
): readonly Finding[] {
  const { sends, finals } = log;
  const findings: Finding[] = [];
  const mayHaveRun = sends.filter(({ outcome }) => outcome !== "not-run");
  const isNonIdempotent = sends.some(({ idempotent }) => !idempotent);
  if (isNonIdempotent && mayHaveRun.length > 1) {
    const targets = mayHaveRun.map(({ targetId }) => targetId).join(" and ");
    const message =
      `request "${id}" may have run more than once, on ${targets}`;
    findings.push({ promise: "at-most-once", message });
  }
  for (const final of finals) {
    if (isReportedNotRun(final) && mayHaveRun.length > 0) {
      const message =
        `the caller of request "${id}" received "${final.outcome}", which means not run, after a send that may have run`;
      findings.push({ promise: "not-run-is-true", message });
    }
    if (final.outcome === "answered" && !hasMatchingSend(log, final)) {
      const message =
        `the caller of request "${id}" received a response that no send of the request returned`;
      findings.push({ promise: "own-answer", message });
    }
  }
  return findings;
}

function isReportedNotRun({ outcome }: FinalLine): boolean {
  return ERROR_RESPONSES[outcome as ErrorKind]?.outcome === "not-run";
}

/**
 * While send lines are missing, nothing is reported: they were dropped, perhaps
 * by another instance that sent the request.
 */
function hasMatchingSend(
  { sends, peerSends }: RequestLog,
  final: FinalLine,
): boolean {
  const ofPeers = sends.filter((send) => send["origin"] !== undefined);
  return sends.length === 0 || ofPeers.length < peerSends ||
    sends.length < (final.sends ?? 0) ||
    sends.some(({ outcome, status }) =>
      outcome === "answered" && status === final.status
    );
}

/** Checks that all sends for one key under one token went to one target. */
function checkOwners(sends: readonly SendLine[]): readonly Finding[] {
  const owners = new Map<string, string>();
  const findings: Finding[] = [];
  for (const { service, key, token, targetId, requestId } of sends) {
    if (key === undefined || token === undefined) {
      continue;
    }
    const grant = `${service} key ${key} under token ${token}`;
    const owner = owners.get(grant) ?? targetId;
    owners.set(grant, owner);
    if (owner !== targetId) {
      const message =
        `${grant} was owned by ${owner}, but request "${requestId}" was sent to ${targetId}`;
      findings.push({ promise: "sole-owner", message });
    }
  }
  return findings;
}

function checkConfigurations(lines: readonly LogLine[]): readonly Finding[] {
  const versions = new Map<string, number>();
  const findings: Finding[] = [];
  for (const { event, instance, incarnation, ...fields } of lines) {
    const version = fields["version"];
    if (event !== "configuration" || typeof version !== "number") {
      continue;
    }
    const previous = versions.get(incarnation) ?? -Infinity;
    versions.set(incarnation, version);
    if (version <= previous) {
      const message =
        `${instance} went from configuration version ${previous} to ${version}`;
      findings.push({ promise: "configuration-stays", message });
    }
  }
  return findings;
}

/**
 * Sums gaps in the sequence numbers and lines reported as dropped. Each report
 * of dropped lines contains the total since the start, so only the last one of
 * an incarnation counts.
 */
function countMissingLines(lines: readonly LogLine[]): number {
  const lastSequences = new Map<string, number>();
  const dropped = new Map<string, number>();
  let missing = 0;
  for (const line of lines) {
    const { incarnation, sequence, event } = line;
    missing += sequence - (lastSequences.get(incarnation) ?? 0) - 1;
    lastSequences.set(incarnation, sequence);
    if (event === "lines-dropped") {
      const count = PRIORITIES
        .reduce((sum, priority) => sum + Number(line[priority] ?? 0), 0);
      dropped.set(incarnation, count);
    }
  }
  return [...dropped.values()].reduce((sum, count) => sum + count, missing);
}
