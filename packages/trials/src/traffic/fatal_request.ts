/** Requests that crash every target that begins to run them. */
import type { TargetRun } from "@lentilspur/ports/fake_target";
import type { LogicalRequest } from "./caller.ts";
import { groupBy } from "./group_by.ts";

/** Stands in the path of such a request. */
export const FATAL_PARAMETER = "fatal";

/** The system may send one on while it learns of the crashes. */
const FREE_CRASHES = 3;
const LEARNING_MS = 3_000;
/** And so often after that. */
const MAX_SENDS = 3;

/** The same request as one that crashes its targets; `name` tells it from others. */
export function markFatal(
  wanted: LogicalRequest,
  name: string,
): LogicalRequest {
  return { ...wanted, path: `${wanted.path}?${FATAL_PARAMETER}=${name}` };
}

/** Fatal requests that went on to be sent, each with how often. */
export function listUnquarantinedRequests(
  runs: readonly TargetRun[],
): readonly { readonly path: string; readonly sends: number }[] {
  const fatal = runs.filter(({ path }) =>
    path?.includes(FATAL_PARAMETER) === true
  );
  return [...groupBy(fatal, ({ path }) => path ?? "")]
    .map(([path, own]) => ({ path, sends: countLate(own) }))
    .filter(({ sends }) => sends > MAX_SENDS);
}

function countLate(runs: readonly TargetRun[]): number {
  const times = runs.map(({ startedAtMs }) => startedAtMs)
    .toSorted((left, right) => left - right);
  const last = times[FREE_CRASHES - 1] ?? Infinity;
  return times.filter((atMs) => atMs > last + LEARNING_MS).length;
}
