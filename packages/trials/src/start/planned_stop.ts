/** Describes attempts that a planned stop failed, so that they can be traced. */
import type { TargetRun } from "@lentilspur/ports/fake_target";
import type { CallerRecord } from "../traffic/caller_record.ts";

export interface PlannedStop {
  readonly instance: string;
  /** When the instance got its signal, and when its process was gone. */
  readonly signalledAtMs: number;
  readonly endedAtMs: number;
}

export interface StopObservations {
  readonly records: readonly CallerRecord[];
  readonly runs: readonly TargetRun[];
}

/** Failures that a trial may be told to pass over. */
export const KNOWN_FAILURES = ["reset-at-the-end"] as const;
export type KnownFailure = typeof KNOWN_FAILURES[number];

/**
 * Any later connection may still be in the listener's backlog when the process
 * ends; the trial notices that end some milliseconds later.
 */
const LAST_MOMENTS_MS = 50;

/**
 * Whether the connection of an attempt was reset before it was accepted, because
 * the process ended.
 */
export function isResetAtTheEnd(
  record: CallerRecord,
  { endedAtMs }: PlannedStop,
  observations: StopObservations,
): boolean {
  const { outcome, requestId, cause = "", sentAtMs } = record;
  return outcome === "none" && requestId === undefined &&
    /\bconnect ECONNRESET\b/.test(cause) &&
    sentAtMs >= endedAtMs - LAST_MOMENTS_MS &&
    listUnansweredRuns(record, observations).length === 0;
}

export function describeFailedAttempt(
  record: CallerRecord,
  { instance, signalledAtMs, endedAtMs }: PlannedStop,
  observations: StopObservations,
): string {
  const { requestId, entry, method, path, outcome } = record;
  const { errorKind, cause, sentAtMs, receivedAtMs, deadlineMs } = record;
  const runs = listUnansweredRuns(record, observations).map((run) =>
    `started on ${run.target} as ${run.requestId} after ${
      Math.round(run.startedAtMs - sentAtMs)
    } ms and ${
      run.endedAtMs === null
        ? "did not end"
        : `ended after ${Math.round(run.endedAtMs - sentAtMs)} ms`
    }`
  );
  return [
    `"${requestId ?? "no id"}" through ${entry} ended as ${outcome} ` +
    `(${errorKind ?? cause ?? "cut off"}) during the stop of ${instance}`,
    `${method} ${path} with ${
      deadlineMs === undefined
        ? "the default deadline"
        : `a deadline of ${deadlineMs} ms`
    }`,
    `sent ${Math.round(sentAtMs - signalledAtMs)} ms after the signal`,
    `open for ${Math.round(receivedAtMs - sentAtMs)} ms`,
    runs.length === 0 ? "started on no target" : runs.join(" and "),
    `the process ended ${Math.round(endedAtMs - signalledAtMs)} ms after it`,
  ].join("; ");
}

/**
 * Lists the runs that may be those of an attempt. Without a response it has no
 * id, so runs for the same path count unless another attempt got their response.
 */
function listUnansweredRuns(
  { requestId, path, sentAtMs, receivedAtMs }: CallerRecord,
  { records, runs }: StopObservations,
): readonly TargetRun[] {
  const candidates = runs.filter((run) =>
    run.path === path && run.startedAtMs >= sentAtMs &&
    run.startedAtMs <= receivedAtMs
  );
  return candidates.filter((run) =>
    run.requestId === requestId ||
    (requestId === undefined &&
      !records.some((record) => record.requestId === run.requestId))
  );
}
