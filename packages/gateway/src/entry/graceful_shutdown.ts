/**
 * Schedules a graceful shutdown within its grace period. A request is passed on
 * only if it can end before the process does (`StopAdmission`), so that nothing
 * that a target works on is cut off.
 */

import type { Clock } from "@lentilspur/ports/clock";
import type { RequestServer } from "./request_server.ts";

/** Times of a graceful shutdown, counted from the signal. */
export interface ShutdownTiming {
  /**
   * How long no request may have arrived before the instance counts as drained.
   */
  readonly quietMs: number;
  /**
   * Requests that arrive later are passed on only if their deadlines allow it;
   * earlier ones also if requests of their routes usually end in time.
   */
  readonly estimatesUntilMs: number;
  /** Requests that are passed on have ended by then. */
  readonly lastResponseMs: number;
  /** After this the process ends, even if requests are still open. */
  readonly latestMs: number;
}

/** How a stop has ended. */
export type StopEnd = "drained" | "time-over";

/** The process ends by itself this long before it is killed. */
const STOP_MARGIN_MS = 400;
/** Time to write the response to a request whose deadline has just passed. */
const RESPONSE_MARGIN_MS = 100;
/**
 * Value of `quietMs`: callers still send requests for some seconds after the
 * signal.
 */
const IDLE_MS = 3_000;
/**
 * A balancer goes on sending new callers until two checks of the readiness, a
 * second apart, have failed. A refusal costs these callers a retry.
 */
const ROTATION_DELAY_MS = 2_500;
/**
 * With a shorter grace period the process would end while balancers still send
 * it callers.
 */
export const MIN_GRACE_PERIOD_MS = ROTATION_DELAY_MS + STOP_MARGIN_MS;

export function computeShutdownTiming(gracePeriodMs: number): ShutdownTiming {
  const latestMs = gracePeriodMs - STOP_MARGIN_MS;
  return Object.freeze({
    quietMs: IDLE_MS,
    estimatesUntilMs: ROTATION_DELAY_MS,
    lastResponseMs: latestMs - RESPONSE_MARGIN_MS,
    latestMs,
  });
}

/** Interval at which open requests and keys are checked. */
const CHECK_INTERVAL_MS = 100;
/** Interval at which open requests are checked once the time is over. */
const FLUSH_INTERVAL_MS = 20;
/** Requests on connections that are open are refused for this long at least. */
const MIN_FLUSH_MS = 40;
/** Longest time to write the last responses; within `STOP_MARGIN_MS`. */
const MAX_FLUSH_MS = 250;

export interface DrainOptions {
  readonly server: RequestServer;
  /** Requests of other instances that are not answered yet. */
  readonly countForwardedRequests: () => number;
  readonly clock: Clock;
  readonly timing: ShutdownTiming;
  /** When the signal came, at the latest, by the clock. */
  readonly startedAtMs: number;
  /** Refuses requests that wait and can no longer be passed on. */
  readonly refuseLate: () => void;
  /** Whether the instance still keeps keys that it could not hand over yet. */
  readonly hasKeys: () => boolean;
}

/**
 * Resolves when all requests are answered, no new ones arrive and no keys are
 * left to hand over, or when the grace period is nearly over.
 */
export async function waitUntilDrained(
  options: DrainOptions,
): Promise<StopEnd> {
  const { server, countForwardedRequests, clock, timing, hasKeys } = options;
  const { startedAtMs, refuseLate } = options;
  for (;;) {
    await server.readArrived();
    refuseLate();
    const nowMs = clock.readMs();
    const idleSinceMs = Math.max(startedAtMs, server.lastRequestAtMs);
    const isDrained = nowMs - idleSinceMs >= timing.quietMs &&
      server.openRequests === 0 && countForwardedRequests() === 0 &&
      !hasKeys();
    if (isDrained) {
      return "drained";
    }
    const leftMs = startedAtMs + timing.latestMs - nowMs;
    if (leftMs <= 0) {
      return "time-over";
    }
    await clock.sleep(Math.min(CHECK_INTERVAL_MS, leftMs));
  }
}

/**
 * Resolves when the last responses are written and nothing more is accepted, or
 * after `MAX_FLUSH_MS`.
 */
export async function waitUntilAnswered(
  server: RequestServer,
  clock: Clock,
): Promise<void> {
  const startedAtMs = clock.readMs();
  await server.readArrived();
  server.closeListener();
  for (;;) {
    await clock.sleep(FLUSH_INTERVAL_MS);
    await server.readArrived();
    const sinceMs = clock.readMs() - startedAtMs;
    const isAnswered = server.openRequests === 0 && sinceMs >= MIN_FLUSH_MS;
    if (isAnswered || sinceMs >= MAX_FLUSH_MS) {
      return;
    }
  }
}
