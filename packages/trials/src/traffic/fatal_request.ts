/**
 * Creates fatal requests, which crash every target that starts to run them, and
 * lists those that instances keep sending.
 */
import type { TargetRun } from "@lentilspur/ports/fake_target";
import type { LogicalRequest } from "./caller.ts";
import { groupBy } from "./group_by.ts";

/** Query parameter in the path of a fatal request. */
export const FATAL_PARAMETER = "fatal";

/** Instances may send a fatal request until they know of this many crashes. */
const TOLERATED_CRASHES = 3;
/** Time for all instances to learn of the last of these crashes. */
const PROPAGATION_MS = 3_000;
/** Number of sends that are allowed after that time. */
const MAX_LATE_SENDS = 3;

/** Returns the request as a fatal one; `name` distinguishes it from others. */
export function markFatal(
  logicalRequest: LogicalRequest,
  name: string,
): LogicalRequest {
  return {
    ...logicalRequest,
    path: `${logicalRequest.path}?${FATAL_PARAMETER}=${name}`,
  };
}

/**
 * Lists fatal requests that reached targets too often after they should have
 * been quarantined.
 */
export function listUnquarantinedRequests(
  runs: readonly TargetRun[],
): readonly { readonly path: string; readonly sends: number }[] {
  const fatal = runs.filter(({ path }) =>
    path?.includes(FATAL_PARAMETER) === true
  );
  return [...groupBy(fatal, ({ path }) => path ?? "")]
    .map(([path, runs]) => ({ path, sends: countLateSends(runs) }))
    .filter(({ sends }) => sends > MAX_LATE_SENDS);
}

function countLateSends(runs: readonly TargetRun[]): number {
  const times = runs.map(({ startedAtMs }) => startedAtMs)
    .toSorted((left, right) => left - right);
  const lastCrashMs = times[TOLERATED_CRASHES - 1] ?? Infinity;
  return times.filter((atMs) => atMs > lastCrashMs + PROPAGATION_MS).length;
}
