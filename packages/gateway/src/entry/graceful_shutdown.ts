/** Schedules a graceful shutdown within its grace period. */

import type { Clock } from "@lentilspur/ports/clock";
import type { RequestServer } from "./request_server.ts";

/** Times of a graceful shutdown, counted from the signal. */
export interface ShutdownTiming {
  /**
   * How long no request may have arrived before the instance counts as drained.
   */
  readonly quietMs: number;
  /** After this, new requests are refused. */
  readonly refuseAfterMs: number;
  /** After this the process ends, even if requests are still open. */
  readonly latestMs: number;
}

/** The process ends by itself this long before it is killed. */
const STOP_MARGIN_MS = 400;
/**
 * Value of `quietMs`: callers still send requests for some seconds after the
 * signal.
 */
const IDLE_MS = 3_000;
/**
 * A request that starts at least this long before the process is killed can
 * still finish, since deadlines are about 2 s.
 */
const LAST_REQUEST_MS = 2_300;
/** With a shorter grace period no request could finish before the kill. */
export const MIN_GRACE_PERIOD_MS = LAST_REQUEST_MS + STOP_MARGIN_MS;

export function computeShutdownTiming(gracePeriodMs: number): ShutdownTiming {
  return Object.freeze({
    quietMs: IDLE_MS,
    refuseAfterMs: gracePeriodMs - LAST_REQUEST_MS,
    latestMs: gracePeriodMs - STOP_MARGIN_MS,
  });
}

/** Interval at which open requests and keys are checked. */
const CHECK_INTERVAL_MS = 100;

export interface DrainOptions {
  readonly server: RequestServer;
  /** Requests of other instances that are not answered yet. */
  readonly countForwardedRequests: () => number;
  readonly clock: Clock;
  readonly timing: ShutdownTiming;
  /** Whether the instance still keeps keys that it could not hand over yet. */
  readonly hasKeys: () => boolean;
}

/**
 * Resolves when all requests are answered, no new ones arrive and no keys are
 * left to hand over, or when the grace period is nearly over. Refuses new
 * requests late in the grace period.
 */
export async function waitUntilDrained(
  { server, countForwardedRequests, clock, timing, hasKeys }: DrainOptions,
): Promise<void> {
  const startedAtMs = clock.readMs();
  for (;;) {
    const nowMs = clock.readMs();
    if (nowMs - startedAtMs >= timing.refuseAfterMs) {
      server.refuse();
    }
    const idleSinceMs = Math.max(startedAtMs, server.lastRequestAtMs);
    const isDrained = nowMs - idleSinceMs >= timing.quietMs &&
      server.openRequests === 0 && countForwardedRequests() === 0 &&
      !hasKeys();
    if (isDrained || nowMs - startedAtMs >= timing.latestMs) {
      return;
    }
    await clock.sleep(CHECK_INTERVAL_MS);
  }
}
