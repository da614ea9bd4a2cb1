/** The moments at which a process does its periodic work. */
import type { Clock } from "./clock.ts";

/** Nearer than this share of the period, the moment after it is meant. */
const MIN_SHARE = 0.25;

/**
 * Sleeps until the next multiple of a period; own clock.
 *
 * Load pattern: an instance at rest among 76 woke up 75 times a second for eight
 * loops with periods of 50 to 500 ms, each at moments of its own, and a wake-up
 * costs some 0.1 ms. Loops that wake at multiples of their periods wake together.
 * A timer may fire a little early: the same moment is not waited for twice.
 */
export function sleepUntilTick(
  clock: Clock,
  periodMs: number,
  signal?: AbortSignal,
): Promise<void> {
  const leftMs = periodMs - clock.readMs() % periodMs;
  const isNear = leftMs < MIN_SHARE * periodMs;
  return clock.sleep(Math.ceil(isNear ? leftMs + periodMs : leftMs), signal);
}
