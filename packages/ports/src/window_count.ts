/** Counts events in a sliding window. */

/**
 * Returns the largest number of the given times in any window of this length.
 */
export function countMaxInWindow(
  times: readonly number[],
  windowMs: number,
): number {
  const counts = times.map((from) =>
    times.filter((atMs) => atMs >= from && atMs < from + windowMs).length
  );
  return Math.max(0, ...counts);
}
