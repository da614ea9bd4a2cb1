/**
 * The latest start that still gives an answer within the route's goal.
 *
 * Load pattern: more arrives than the targets can do, for seconds. Started
 * later, a request takes a place from one that could still be in time; refused
 * at once, its caller knows and may come back.
 */
import type { RequestContext } from "./request_context.ts";

/** Work that takes nearly the whole goal is still waited for this share of it. */
const MIN_WAIT_SHARE = 0.3;

/** On the instance's own clock; `workMs` is the usual work of the service. */
export function computeLatestStart(
  passage: RequestContext,
  workMs: number,
): number {
  const { request, route, deadlineAtMs: endsAtMs, sends } = passage;
  const waitMs = Math.min(
    route.maxWaitMs ?? Infinity,
    Math.max(MIN_WAIT_SHARE * route.goalMs, route.goalMs - workMs),
  );
  const lastMs = endsAtMs - workMs;
  // What was sent once is worth finishing, also when it will be late.
  return sends > 0 ? lastMs : Math.min(lastMs, request.arrivedAtMs + waitMs);
}
