/**
 * Passes a granted retry from its request to one send, and counts it by the end
 * of that send. A send that is the first to arrive needs no retry.
 */
import type { Clock } from "@lentilspur/ports/clock";
import { isUnsent, type SendOutcome } from "@lentilspur/ports/request_sender";
import { countArrivals, type RequestContext } from "./request_context.ts";
import type { HeldRetry, ServiceRegistry } from "./service_registry.ts";

/** Bytes that are on their way when a send is given up arrive within this. */
const IN_FLIGHT_MS = 500;

export interface RetryTools {
  readonly clock: Clock;
  readonly services: Pick<ServiceRegistry, "settleRetry" | "releaseRetry">;
}

export interface SentRetry {
  readonly retry: HeldRetry | null;
  readonly outcome: SendOutcome;
}

/** Takes the retry that the next send needs; null if it needs none. */
export function takeHeldRetry(context: RequestContext): HeldRetry | null {
  if (countArrivals(context) === 0) {
    return null;
  }
  const retry = context.heldRetry;
  context.heldRetry = null;
  return retry;
}

/** Counts the retry of a send that has ended. */
export function settleSentRetry(
  context: RequestContext,
  { retry, outcome }: SentRetry,
  tools: RetryTools,
): void {
  if (isUnsent(outcome)) {
    restoreHeldRetry(context, retry, tools);
    return;
  }
  const nowMs = tools.clock.readMs();
  const inFlightMs = hasArrived(outcome) ? 0 : IN_FLIGHT_MS;
  settleRetryBy(context, { retry, latestArrivalMs: nowMs + inFlightMs }, tools);
}

/**
 * Counts a retry by the last moment at which it, or an earlier send of its
 * request, may reach a target: the last to arrive is the repeated one.
 */
export function settleRetryBy(
  context: RequestContext,
  { retry, latestArrivalMs }: {
    readonly retry: HeldRetry | null;
    readonly latestArrivalMs: number;
  },
  { services }: RetryTools,
): void {
  context.latestArrivalMs = Math.max(context.latestArrivalMs, latestArrivalMs);
  if (retry !== null) {
    services.settleRetry(retry, context.latestArrivalMs);
  }
}

/** Keeps the retry of a send of which nothing has left this instance. */
export function restoreHeldRetry(
  context: RequestContext,
  retry: HeldRetry | null,
  { services }: RetryTools,
): void {
  if (retry === null) {
    return;
  }
  if (context.heldRetry !== null) {
    services.releaseRetry(retry);
    return;
  }
  context.heldRetry = retry;
}

/** Whether the target has read the request, as its response shows. */
function hasArrived(outcome: SendOutcome): boolean {
  switch (outcome.kind) {
    case "answered":
    case "not-run":
      return true;
    case "unknown":
      return outcome.cause === "cut" || outcome.cause === "garbled";
  }
}
