/**
 * Compares retries with a budget in windows of time. A window allows `reserve`
 * retries, and `ratio` times the requests of the window itself, of the one
 * before it or of the one half a window earlier, whichever are most.
 */

export interface RetryTimes {
  /** When sends beyond the first of their request reached targets. */
  readonly retriedMs: readonly number[];
  /** When callers sent their requests. */
  readonly sentMs: readonly number[];
}

export interface RetryWindowLimits {
  readonly ratio: number;
  readonly reserve: number;
  readonly windowMs: number;
}

/** The window in which retries came closest to the budget, or beyond it. */
export interface RetryWindow {
  readonly fromMs: number;
  readonly retries: number;
  readonly requests: number;
  readonly allowed: number;
}

/** Shorter than the time between two events that the clock tells apart. */
const EDGE_MS = 1e-6;

/**
 * The windows that are compared are those at whose edges a retry or a request
 * comes in or goes out.
 */
export function findFullestRetryWindow(
  times: RetryTimes,
  { ratio, reserve, windowMs }: RetryWindowLimits,
): RetryWindow {
  const retriedMs = times.retriedMs.toSorted(compareNumbers);
  const sentMs = times.sentMs.toSorted(compareNumbers);
  const halfMs = windowMs / 2;
  const starts = [
    ...listStarts(retriedMs, [0, -windowMs]),
    ...listStarts(sentMs, [-windowMs, -halfMs, 0, halfMs, windowMs]),
  ];
  const windows = starts.map((fromMs) => {
    const requests = Math.max(
      ...[0, halfMs, windowMs].map((earlierMs) =>
        countWithin(sentMs, fromMs - earlierMs, windowMs)
      ),
    );
    const retries = countWithin(retriedMs, fromMs, windowMs);
    return { fromMs, retries, requests, allowed: ratio * requests + reserve };
  });
  const none = { fromMs: 0, retries: 0, requests: 0, allowed: reserve };
  return windows.reduce(
    (fullest, window) =>
      computeUsedShare(window) > computeUsedShare(fullest) ? window : fullest,
    none,
  );
}

function computeUsedShare({ retries, allowed }: RetryWindow): number {
  return retries === 0 ? 0 : retries / allowed;
}

function listStarts(
  timesMs: readonly number[],
  offsetsMs: readonly number[],
): readonly number[] {
  return offsetsMs.flatMap((offsetMs) =>
    timesMs.flatMap((atMs) => [atMs + offsetMs, atMs + offsetMs + EDGE_MS])
  );
}

function countWithin(
  sortedMs: readonly number[],
  fromMs: number,
  windowMs: number,
): number {
  return findIndex(sortedMs, fromMs + windowMs) - findIndex(sortedMs, fromMs);
}

/** Finds the index of the first time that is not before `atMs`. */
function findIndex(sortedMs: readonly number[], atMs: number): number {
  let low = 0;
  let high = sortedMs.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (sortedMs[middle]! < atMs) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}

function compareNumbers(left: number, right: number): number {
  return left - right;
}
