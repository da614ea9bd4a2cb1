/**
 * Decides whether a caller is late. Its time does not count while this process
 * stands still or does not read its connection: a caller that keeps to the
 * limits is never refused for that.
 */
import type { Clock } from "@lentilspur/ports/clock";

export interface LatenessOptions {
  readonly clock: Clock;
  /** How long the caller's data has not been read, as a sum that only grows. */
  readonly readUnreadMs: () => number;
  /** Value of `readUnreadMs` when the caller's time began. */
  readonly unreadBeforeMs: number;
  /** Whether what is awaited from the caller has still not come. */
  readonly isPending: () => boolean;
}

/**
 * Less does not count: a process that is stalled again and again would put off
 * its decision for ever.
 */
const MIN_MISSED_MS = 20;

/**
 * Call it when the caller's time is over. Resolves to whether the caller is
 * late, after the time that it has missed.
 */
export async function checkLateness(
  { clock, readUnreadMs, unreadBeforeMs, isPending }: LatenessOptions,
): Promise<boolean> {
  let countedMs = unreadBeforeMs;
  for (;;) {
    await clock.waitForArrivals();
    if (!isPending()) {
      return false;
    }
    const unreadMs = readUnreadMs();
    const missedMs = unreadMs - countedMs;
    if (missedMs < MIN_MISSED_MS) {
      return true;
    }
    countedMs = unreadMs;
    await clock.sleep(missedMs);
  }
}
