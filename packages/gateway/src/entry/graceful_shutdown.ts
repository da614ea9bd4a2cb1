/** When a graceful shutdown does what, from the time that it is given. */

import type { Clock } from "@lentilspur/ports/clock";
import type { RequestServer } from "./request_server.ts";

/** Times of a graceful shutdown, counted from the signal. */
export interface ShutdownTiming {
  /** Without a request for this long, nobody is expected any more. */
  readonly quietMs: number;
  /** After this, new requests are refused. */
  readonly refuseAfterMs: number;
  /** After this it ends, whatever is still open. */
  readonly latestMs: number;
}

/** So long before the kill the process ends by itself. */
const STOP_MARGIN_MS = 400;
/** Callers still come for some seconds after the signal; then it is quiet. */
const QUIET_MS = 3_000;
/** What is begun before a kill by this much is finished; deadlines are about 2 s. */
const LAST_REQUEST_MS = 2_300;
/** Below this nothing could be finished before the kill. */
export const MIN_GRACE_PERIOD_MS = LAST_REQUEST_MS + STOP_MARGIN_MS;

export function computeShutdownTiming(gracePeriodMs: number): ShutdownTiming {
  return Object.freeze({
    quietMs: QUIET_MS,
    refuseAfterMs: gracePeriodMs - LAST_REQUEST_MS,
    latestMs: gracePeriodMs - STOP_MARGIN_MS,
  });
}

/** Between two looks at whether anybody is still there. */
const LOOK_MS = 100;

export interface DrainOptions {
  readonly server: RequestServer;
  readonly clock: Clock;
  readonly timing: ShutdownTiming;
  /** Whether it keeps keys that it could not hand over yet. */
  readonly hasKeys: () => boolean;
}

/**
 * Resolves when every open connection's requests are done and no more come, and
 * nothing is left to hand over, or when the time is nearly over. Late in it, new
 * requests are refused.
 */
export async function waitUntilDrained(
  { server, clock, timing, hasKeys: isKeeping }: DrainOptions,
): Promise<void> {
  const startedAtMs = clock.readMs();
  for (;;) {
    const nowMs = clock.readMs();
    if (nowMs - startedAtMs >= timing.refuseAfterMs) {
      server.refuse();
    }
    const quietSinceMs = Math.max(startedAtMs, server.lastRequestAtMs);
    const isQuiet = nowMs - quietSinceMs >= timing.quietMs &&
      server.openRequests === 0 && !isKeeping();
    if (isQuiet || nowMs - startedAtMs >= timing.latestMs) {
      return;
    }
    await clock.sleep(LOOK_MS);
  }
}
