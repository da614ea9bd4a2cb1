/**
 * Computes the latest time at which a request may be sent to a target, so that
 * it is usually answered before its deadline and within the route's goal.
 *
 * Failure case: for seconds, more requests arrive than the targets can process,
 * and a request that starts too late takes a place from one that could still be
 * in time. If it is refused at once instead, its caller can retry.
 */
import type { RequestContext } from "./request_context.ts";

/**
 * Share of the goal that a request may wait even if its processing takes nearly
 * the whole goal.
 */
const MIN_WAIT_SHARE = 0.3;

/**
 * Returns a time on this instance's clock; `serviceMs` is the usual processing
 * time.
 */
export function computeLatestStart(
  context: RequestContext,
  serviceMs: number,
): number {
  // A request that has been sent is worth finishing, even if it will be late.
  return context.sends > 0
    ? context.deadlineAtMs - serviceMs
    : computeLatestFirstStart(context, serviceMs);
}

/** The same for a request that has not been sent yet. */
export function computeLatestFirstStart(
  { request, route, deadlineAtMs }: RequestContext,
  serviceMs: number,
): number {
  const waitMs = Math.min(
    route.maxWaitMs ?? Infinity,
    Math.max(MIN_WAIT_SHARE * route.goalMs, route.goalMs - serviceMs),
  );
  return Math.min(deadlineAtMs - serviceMs, request.arrivedAtMs + waitMs);
}
