/**
 * Decides how much of the retry budget is kept from a request for others that
 * need a retry more.
 *
 * Load pattern: for seconds, targets turn away half of their requests at random,
 * and the budget allows fewer retries than requests are refused. A caller that
 * has time left comes back after its `Retry-After` and finds a place as often as
 * a retry would; for one that does not come back, the retry is the only chance.
 * If whoever asks first gets the retries, half of them go to callers who would
 * have come back.
 *
 * Nothing but its remaining time tells that a caller has come back: each try has
 * a new id and usually reaches another instance. It is compared with the longest
 * time that callers of the route have allowed lately. A caller that returns
 * before the shortest `Retry-After` is over counts as new.
 */

/** What is known of a refused request and its caller. */
export interface RetryNeed {
  /** Whether the caller has come back after an earlier refusal. */
  readonly hasReturned: boolean;
  /** Time left until the request must be answered. */
  readonly remainingMs: number;
  /** `Retry-After` of the refusal that the caller would get. */
  readonly retryAfterMs: number;
  /** Usual processing time of one request. */
  readonly serviceMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
}

/** Part of the budget that is kept from callers who will come back. */
const KEPT_FOR_LAST_TRIES = 0.75;
/** Part that is kept from a priority for each more urgent one. */
const KEPT_PER_PRIORITY = 0.1;
const MAX_KEPT_FOR_PRIORITIES = 0.2;
/** Shortest `Retry-After` of a refusal. */
const MIN_RETURN_MS = 100;
/** For this long at least, the longest time of a route is remembered. */
const MEMORY_MS = 10_000;
/** Routes whose callers are remembered; more than an instance serves at once. */
const MAX_ROUTES = 1_000;

/** Returns a share of the budget, from 0 to less than 1. */
export function computeKeptShare(need: RetryNeed): number {
  const forPriorities = Math.min(
    MAX_KEPT_FOR_PRIORITIES,
    KEPT_PER_PRIORITY * need.priority,
  );
  return forPriorities + (isLastTry(need) ? 0 : KEPT_FOR_LAST_TRIES);
}

/** Whether the caller will not come back after another refusal. */
function isLastTry(
  { hasReturned, remainingMs, retryAfterMs, serviceMs }: RetryNeed,
): boolean {
  return hasReturned || remainingMs - retryAfterMs < serviceMs;
}

/** Longest time that callers of one route have allowed. */
interface LongestTime {
  readonly sinceMs: number;
  readonly previousMs: number;
  currentMs: number;
}

export class CallerReturns {
  readonly #routes = new Map<string, LongestTime>();

  /**
   * Records a request; `allowedMs` is the time that its caller allows. Returns
   * whether the caller has come back. If it names no time, nothing shows that it
   * would, so this counts as its last try.
   */
  recordRequest(
    route: string,
    allowedMs: number | undefined,
    nowMs: number,
  ): boolean {
    if (allowedMs === undefined) {
      return true;
    }
    const longest = this.#getLongest(route, nowMs);
    longest.currentMs = Math.max(longest.currentMs, allowedMs);
    const longestMs = Math.max(longest.previousMs, longest.currentMs);
    return longestMs - allowedMs >= MIN_RETURN_MS;
  }

  #getLongest(route: string, nowMs: number): LongestTime {
    const known = this.#routes.get(route);
    if (known !== undefined && nowMs - known.sinceMs < MEMORY_MS) {
      return known;
    }
    const isRecent = known !== undefined &&
      nowMs - known.sinceMs < 2 * MEMORY_MS;
    const longest = {
      sinceMs: nowMs,
      previousMs: isRecent ? known.currentMs : 0,
      currentMs: 0,
    };
    if (known === undefined && this.#routes.size >= MAX_ROUTES) {
      this.#routes.clear();
    }
    this.#routes.set(route, longest);
    return longest;
  }
}
