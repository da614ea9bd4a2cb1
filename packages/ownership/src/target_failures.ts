/**
 * Tracks which targets do not answer a keeper's orders, and when such a target
 * is sent the next release.
 *
 * Load that it answers: a target that is gone holds a hundred ranges, and a
 * predecessor may renew them for some time. Tried each 250 ms, the releases of
 * all its ranges were 100 failing orders a second.
 */
import type { Clock } from "@lentilspur/ports/clock";

/** A period in which all orders to a target failed. */
interface FailureStreak {
  readonly sinceMs: number;
  readonly lastMs: number;
  /** No release is sent before. */
  readonly nextReleaseAtMs: number;
}

export interface TargetFailuresOptions {
  readonly clock: Clock;
  /** A target whose orders have failed for this long is unresponsive. */
  readonly unresponsiveAfterMs: number;
}

/**
 * A target whose last failed order is this long ago is tried again. Without a
 * retry, a target that was unreachable once would never own keys again. With a
 * shorter time, a target that never answers would more often leave its new keys
 * unserved for 1.2 s.
 */
const FAILURE_STREAK_VALID_MS = 10_000;
/** The shortest time in which keys are released if a target comes back. */
const MAX_RELEASE_PAUSE_MS = 2_000;

/** All names are of incarnations of targets. */
export class TargetFailures {
  readonly #options: TargetFailuresOptions;
  readonly #streaks = new Map<string, FailureStreak>();

  constructor(options: TargetFailuresOptions) {
    this.#options = options;
  }

  recordAnswered(name: string): void {
    this.#streaks.delete(name);
  }

  recordFailed(name: string): void {
    const nowMs = this.#options.clock.readMs();
    const known = this.#streaks.get(name);
    this.#streaks.set(name, {
      sinceMs: known?.sinceMs ?? nowMs,
      lastMs: nowMs,
      nextReleaseAtMs: known?.nextReleaseAtMs ?? -Infinity,
    });
  }

  /** Whether the target has not answered orders for some time. */
  isUnresponsive(name: string): boolean {
    const streak = this.#streaks.get(name);
    const nowMs = this.#options.clock.readMs();
    return streak !== undefined &&
      nowMs - streak.lastMs < FAILURE_STREAK_VALID_MS &&
      this.#hasLasted(streak, nowMs);
  }

  /**
   * Whether a release may be sent. To an unresponsive target, one range's
   * release is sent at a time, after pauses that grow with the length of the
   * streak. Once the target answers it, the others follow.
   */
  takeRelease(name: string): boolean {
    const streak = this.#streaks.get(name);
    const nowMs = this.#options.clock.readMs();
    if (streak === undefined || !this.#hasLasted(streak, nowMs)) {
      return true;
    }
    if (nowMs < streak.nextReleaseAtMs) {
      return false;
    }
    const pauseMs = Math.min(nowMs - streak.sinceMs, MAX_RELEASE_PAUSE_MS);
    const nextReleaseAtMs = nowMs + pauseMs;
    this.#streaks.set(name, { ...streak, nextReleaseAtMs });
    return true;
  }

  #hasLasted({ sinceMs }: FailureStreak, nowMs: number): boolean {
    return nowMs - sinceMs >= this.#options.unresponsiveAfterMs;
  }
}
