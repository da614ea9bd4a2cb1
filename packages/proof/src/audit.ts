/**
 * Whether promises were kept, from the lines of all instances alone:
 *
 * - a request that is not idempotent has run once at most;
 * - whoever was told "not run" was told the truth;
 * - an answer that was passed on came from a target;
 * - a fencing token belongs to one target, so a key had one owner at a time;
 * - a configuration never went back.
 *
 * What the lines cannot show, because some were dropped or are missing, is
 * said along with the findings.
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
  /** One sentence with the ids by which the lines are found. */
  readonly message: string;
}

export interface AuditReport {
  readonly requests: number;
  readonly sends: number;
  readonly findings: readonly Finding[];
  /** Lines that instances say they dropped, or that are missing in between. */
  readonly missingLines: number;
  readonly unreadableLines: number;
}

interface RequestTrail {
  readonly sends: SendLine[];
  readonly finals: FinalLine[];
}

export function checkPromises(
  { lines, unreadableCount: unreadable }: ParsedLines,
): AuditReport {
  const trails = collectTrails(lines);
  const sends = [...trails.values()].flatMap((trail) => trail.sends);
  return {
    requests: trails.size,
    sends: sends.length,
    findings: [
      ...[...trails].flatMap(([id, trail]) => checkTrail(id, trail)),
      ...checkOwners(sends),
      ...checkConfigurations(lines),
    ],
    missingLines: countMissing(lines),
    unreadableLines: unreadable,
  };
}

function collectTrails(
  lines: readonly LogLine[],
): ReadonlyMap<string, RequestTrail> {
  const trails = new Map<string, RequestTrail>();
  const getTrail = (id: string): RequestTrail => {
    const trail = trails.get(id) ?? { sends: [], finals: [] };
    trails.set(id, trail);
    return trail;
  };
  for (const line of lines) {
    const send = toSendLine(line);
    const final = toFinalLine(line);
    if (send !== undefined) {
      getTrail(send.requestId).sends.push(send);
    } else if (final !== undefined) {
      getTrail(final.requestId).finals.push(final);
    }
  }
  return trails;
}

function checkTrail(
  id: string,
  { sends, finals }: RequestTrail,
): readonly Finding[] {
  const findings: Finding[] = [];
  const mayHaveRun = sends.filter(({ outcome }) => outcome !== "not-run");
  const isOnceOnly = sends.some(({ idempotent }) => !idempotent);
  if (isOnceOnly && mayHaveRun.length > 1) {
    const targets = mayHaveRun.map(({ targetId }) => targetId).join(" and ");
    const message = `"${id}" may have run more than once, on ${targets}`;
    findings.push({ promise: "at-most-once", message });
  }
  for (const final of finals) {
    if (isToldNotRun(final) && mayHaveRun.length > 0) {
      const message =
        `"${id}" was told "${final.outcome}", which says not run, after a send that may have run`;
      findings.push({ promise: "not-run-is-true", message });
    }
    if (final.outcome === "answered" && !hasAnswer(sends, final)) {
      const message = `"${id}" got an answer that no send of it gave`;
      findings.push({ promise: "own-answer", message });
    }
  }
  return findings;
}

function isToldNotRun({ outcome }: FinalLine): boolean {
  return ERROR_RESPONSES[outcome as ErrorKind]?.outcome === "not-run";
}

/** A line of the send may have been dropped; then nothing is held against it. */
function hasAnswer(sends: readonly SendLine[], final: FinalLine): boolean {
  return sends.length === 0 ||
    sends.some(({ outcome, status }) =>
      outcome === "answered" && status === final.status
    );
}

/** A token is given to one owner of one range; another needs a higher one. */
function checkOwners(sends: readonly SendLine[]): readonly Finding[] {
  const owners = new Map<string, string>();
  const findings: Finding[] = [];
  for (const { service, key, token, targetId, requestId } of sends) {
    if (key === undefined || token === undefined) {
      continue;
    }
    const name = `${service} key ${key} under token ${token}`;
    const known = owners.get(name) ?? targetId;
    owners.set(name, known);
    if (known !== targetId) {
      const message =
        `${name} was owned by ${known}, but "${requestId}" went to ${targetId}`;
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
    const before = versions.get(incarnation) ?? -Infinity;
    versions.set(incarnation, version);
    if (version <= before) {
      const message = `${instance} went from version ${before} to ${version}`;
      findings.push({ promise: "configuration-stays", message });
    }
  }
  return findings;
}

/** Gaps in the count of one incarnation's lines, and what it dropped itself. */
function countMissing(lines: readonly LogLine[]): number {
  const last = new Map<string, number>();
  const dropped = new Map<string, number>();
  let missing = 0;
  for (const line of lines) {
    const { incarnation, sequence, event } = line;
    missing += sequence - (last.get(incarnation) ?? 0) - 1;
    last.set(incarnation, sequence);
    if (event === "lines-dropped") {
      const count = Number(line["routine"] ?? 0) + Number(line["notable"] ?? 0);
      dropped.set(incarnation, count);
    }
  }
  return [...dropped.values()].reduce((sum, count) => sum + count, missing);
}
