/** The system's monotonic clock. */
import { performance } from "node:perf_hooks";
import type { Clock } from "./clock.ts";
import { waitForArrivedData } from "./event_loop.ts";

/**
 * `performance.now()` reads CLOCK_MONOTONIC, which continues while a process is
 * stopped by a signal, so a key holder that resumes can measure how long it was
 * stopped.
 */
export class SystemClock implements Clock {
  readMs(): number {
    return performance.now();
  }

  waitForArrivals(): Promise<void> {
    return waitForArrivedData();
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        signal?.removeEventListener("abort", finish);
        resolve();
      };
      const timer = setTimeout(finish, ms);
      signal?.addEventListener("abort", finish, { once: true });
    });
  }
}
