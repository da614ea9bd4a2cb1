/**
 * Decides which requests may still be sent during a planned stop.
 *
 * Guards against requests that a target works on when the process ends. A
 * request is sent if its deadline, or its route's timeout, passes before the
 * process ends. While balancers still send new callers, it is also sent if none
 * of the recent requests of its route took longer than what is left: a refusal
 * would cost its caller a retry.
 */
import type { Clock } from "@lentilspur/ports/clock";
import { LongestDurations } from "@lentilspur/routing/longest_durations";
import type { RequestContext } from "./request_context.ts";

/** Times of a stop, by the clock of the instance. */
export interface StopTimes {
  /** For requests that arrive later, only their deadlines count. */
  readonly estimatesUntilMs: number;
  /** Requests that are sent have ended by then. */
  readonly lastResponseMs: number;
}

export class StopAdmission {
  readonly #clock: Clock;
  readonly #durations = new LongestDurations();
  #times: StopTimes | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get isStopping(): boolean {
    return this.#times !== undefined;
  }

  start(times: StopTimes): void {
    this.#times = times;
  }

  /** Records how long a target took for a request, or failed to answer it. */
  recordDuration(route: string, durationMs: number): void {
    this.#durations.record(route, durationMs, this.#clock.readMs());
  }

  /** Whether a request that is sent now can end before the process does. */
  maySend({ route, request, deadlineAtMs }: RequestContext): boolean {
    if (this.#times === undefined) {
      return true;
    }
    const { estimatesUntilMs, lastResponseMs } = this.#times;
    if (deadlineAtMs <= lastResponseMs) {
      return true;
    }
    const nowMs = this.#clock.readMs();
    const longestMs = this.#durations.getLongestMs(route.name, nowMs);
    return request.arrivedAtMs <= estimatesUntilMs &&
      longestMs !== undefined && nowMs + longestMs <= lastResponseMs;
  }
}
