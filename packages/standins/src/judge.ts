/**
 * Judges a trial from outside: what callers were told against what the targets
 * wrote down. It knows nothing of the system in between.
 */
import type { TargetRun } from "@lentilspur/ports/target_history";
import type { CallerRecord } from "./caller_record.ts";
import { splitBy } from "./split_by.ts";

export interface Violation {
  readonly promise:
    | "at-most-once"
    | "not-run-is-true"
    | "own-answer"
    | "sole-owner"
    | "leaving-target";
  readonly message: string;
}

/** When a target was said to be leaving. */
export interface LeavingTarget {
  readonly target: string;
  readonly atMs: number;
}

export interface TrialEvidence {
  readonly records: readonly CallerRecord[];
  readonly runs: readonly TargetRun[];
  readonly leaving: readonly LeavingTarget[];
}

/** "After a few seconds": the list's lag and a planner's round included. */
const MAX_LEAVING_MS = 5_000;

export function listViolations(evidence: TrialEvidence): readonly Violation[] {
  // A checking target abandoned these before their effect.
  const runs = evidence.runs.filter((run) => run.ending !== "lapsed");
  const runsOf = splitBy(runs, makeRequestName);
  const sendsOf = splitBy(evidence.records, makeRequestName);
  return [
    ...checkAtMostOnce(evidence.records, runsOf),
    ...checkNotRun(runsOf, sendsOf),
    ...checkAnswers(evidence.records, runsOf),
    ...checkSoleOwner(runs),
    ...checkLeaving(runs, evidence.leaving),
  ];
}

function makeRequestName(
  subject: { readonly clientAccount: string; readonly requestId: string },
): string {
  return `${subject.clientAccount} ${subject.requestId}`;
}

function checkAtMostOnce(
  records: readonly CallerRecord[],
  runsOf: ReadonlyMap<string, readonly TargetRun[]>,
): readonly Violation[] {
  const names = new Set(
    records.filter((record) => !record.idempotent).map(makeRequestName),
  );
  return [...names].flatMap((name) => {
    const runs = runsOf.get(name) ?? [];
    return runs.length <= 1 ? [] : [{
      promise: "at-most-once" as const,
      message: `"${name}" ran ${runs.length} times, on ${
        runs.map((run) => `${run.target} at ${run.startedAtMs}`).join(" and ")
      }`,
    }];
  });
}

/**
 * A send that was told "not run" has no run of its own: none had started by
 * the time it was told, and each later one belongs to another send.
 */
function checkNotRun(
  runsOf: ReadonlyMap<string, readonly TargetRun[]>,
  sendsOf: ReadonlyMap<string, readonly CallerRecord[]>,
): readonly Violation[] {
  const violations: Violation[] = [];
  for (const [name, sends] of sendsOf) {
    const runs = runsOf.get(name) ?? [];
    const refused = sends.filter((send) => send.outcome === "not-run");
    const others = sends.filter((send) => send.outcome !== "not-run");
    for (const run of runs) {
      const isBeforeWord = refused.some((send) =>
        run.startedAtMs < send.receivedAtMs && !send.idempotent
      );
      const isOfAnother = others.some((send) =>
        send.sentAtMs <= run.startedAtMs
      );
      if (refused.length > 0 && (isBeforeWord || !isOfAnother)) {
        const message = `"${name}" was told "not run" and ran on ${run.target}`;
        violations.push({ promise: "not-run-is-true", message });
      }
    }
  }
  return violations;
}

function checkAnswers(
  records: readonly CallerRecord[],
  runsOf: ReadonlyMap<string, readonly TargetRun[]>,
): readonly Violation[] {
  return records.flatMap((record) => {
    if (record.outcome !== "ran" || record.errorKind !== undefined) {
      return [];
    }
    const name = makeRequestName(record);
    const isOfRun = (runsOf.get(name) ?? []).some((run) =>
      run.answerDigest === record.answerDigest
    );
    return record.isOwnAnswer === true && isOfRun ? [] : [{
      promise: "own-answer" as const,
      message: `"${name}" received an answer that no run of it gave`,
    }];
  });
}

/** Two targets never run requests of one key at the same time. */
function checkSoleOwner(runs: readonly TargetRun[]): readonly Violation[] {
  const ofKey = splitBy(runs, (run) => `${run.template} ${run.key}`);
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

function checkLeaving(
  runs: readonly TargetRun[],
  leaving: readonly LeavingTarget[],
): readonly Violation[] {
  return leaving.flatMap(({ target, atMs }) =>
    runs
      .filter((run) => run.target === target)
      .filter((run) => run.startedAtMs > atMs + MAX_LEAVING_MS)
      .map((run) => ({
        promise: "leaving-target" as const,
        message: `${target} started "${run.requestId}" ${
          Math.round(run.startedAtMs - atMs)
        } ms after it was leaving`,
      }))
  );
}

/**
 * The longest time that one key went unserved: from a send that failed, or
 * that was answered late, to the next whole answer for that key.
 */
export function computeUnservedMsMax(
  records: readonly CallerRecord[],
): number {
  let longest = 0;
  const ofKey = splitBy(records, (r) => `${r.template} ${r.key}`);
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
