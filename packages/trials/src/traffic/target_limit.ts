/**
 * Checks that targets receive no more requests than their rate limits allow.
 */
import type { TargetRun } from "@lentilspur/ports/fake_target";
import { countMaxInWindow } from "@lentilspur/ports/window_count";

/**
 * A period in which a target reported a limit, on the machine's monotonic
 * clock.
 */
export interface RateLimitPeriod {
  readonly target: string;
  readonly perSecond: number;
  readonly fromMs: number;
  readonly toMs: number;
}

/** All instances apply a limit within this time after its first report. */
const PROPAGATION_MS = 3_000;
const WINDOW_MS = 4_000;
/** Tolerance: this multiple of the limit, plus `TOLERANCE_REQUESTS`. */
const TOLERANCE_FACTOR = 1.5;
const TOLERANCE_REQUESTS = 5;

/**
 * Lists periods in which a window had too many requests, with the largest
 * count.
 */
export function listExceededLimits(
  runs: readonly TargetRun[],
  periods: readonly RateLimitPeriod[],
): readonly { readonly period: RateLimitPeriod; readonly maxCount: number }[] {
  return periods
    .map((period) => ({ period, maxCount: countMaxRequests(runs, period) }))
    .filter(({ period, maxCount }) =>
      maxCount >
        TOLERANCE_FACTOR * period.perSecond * WINDOW_MS / 1_000 +
          TOLERANCE_REQUESTS
    );
}

function countMaxRequests(
  runs: readonly TargetRun[],
  { target, fromMs, toMs }: RateLimitPeriod,
): number {
  const times = runs
    .filter((run) => run.target === target)
    .map(({ startedAtMs }) => startedAtMs)
    .filter((atMs) => atMs >= fromMs + PROPAGATION_MS && atMs < toMs);
  return countMaxInWindow(times, WINDOW_MS);
}
