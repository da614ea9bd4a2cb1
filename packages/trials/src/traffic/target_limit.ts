/** Whether targets got no more than what they said that they take. */
import type { TargetRun } from "@lentilspur/ports/fake_target";
import { countMaxInWindow } from "@lentilspur/ports/window_count";

/** A time in which a target named a limit; machine time. */
export interface RateLimitPeriod {
  readonly target: string;
  readonly perSecond: number;
  readonly fromMs: number;
  readonly toMs: number;
}

/** All instances keep to it this long after it was first named. */
const LEARNING_MS = 3_000;
const WINDOW_MS = 4_000;
/** Of what the limit allows, and requests beyond it. */
const MAX_SHARE = 1.5;
const MAX_EXTRA = 5;

/** Spans in which some window got too much, each with the most. */
export function listExceededLimits(
  runs: readonly TargetRun[],
  spans: readonly RateLimitPeriod[],
): readonly { readonly span: RateLimitPeriod; readonly most: number }[] {
  return spans
    .map((span) => ({ span, most: countMost(runs, span) }))
    .filter(({ span, most }) =>
      most > MAX_SHARE * span.perSecond * WINDOW_MS / 1_000 + MAX_EXTRA
    );
}

function countMost(
  runs: readonly TargetRun[],
  { target, fromMs, toMs }: RateLimitPeriod,
): number {
  const times = runs
    .filter((run) => run.target === target)
    .map(({ startedAtMs }) => startedAtMs)
    .filter((atMs) => atMs >= fromMs + LEARNING_MS && atMs < toMs);
  return countMaxInWindow(times, WINDOW_MS);
}
