/**
 * Computes the latest start at which a request is still answered within the
 * route's goal.
 *
 * Load pattern: for seconds, more requests arrive than the targets can process.
 * A request that starts later takes a place from one that could still be in
 * time. If it is refused at once instead, its caller can retry.
 */
import type { RequestContext } from "./request_context.ts";

/** A request that takes nearly the whole goal may still wait for this share of it. */
const MIN_WAIT_SHARE = 0.3;

/** Returns a time on this instance's clock; `serviceMs` is the usual processing time. */
export function computeLatestStart(
  context: RequestContext,
  serviceMs: number,
): number {
  const { request, route, deadlineAtMs, sends } = context;
  const waitMs = Math.min(
    route.maxWaitMs ?? Infinity,
    Math.max(MIN_WAIT_SHARE * route.goalMs, route.goalMs - serviceMs),
  );
  const latestMs = deadlineAtMs - serviceMs;
  // A request that has been sent is worth finishing, even if it will be late.
  return sends > 0
    ? latestMs
    : Math.min(latestMs, request.arrivedAtMs + waitMs);
}
