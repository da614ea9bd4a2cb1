/**
 * How long it takes several places to work off what lies ahead of a job.
 *
 * Load pattern: one of two places is held by a job that does not end. Dividing
 * the work by two would promise waits that cannot be kept; here each place
 * counts from the time when it is expected to be free.
 */

/**
 * The time after which places have done `workMs` of work between them and one
 * is free for the next job. `times` says when each is free, soonest first.
 */
export function computeWaitMs(
  times: readonly number[],
  workMs: number,
): number {
  let remaining = workMs;
  for (let index = 0; index < times.length; index++) {
    const busyPlaces = index + 1;
    const until = times[index + 1] ?? Infinity;
    const capacity = (until - times[index]!) * busyPlaces;
    if (remaining <= capacity) {
      return times[index]! + remaining / busyPlaces;
    }
    remaining -= capacity;
  }
  return Infinity;
}

/**
 * What a running job still needs. Past its estimate, a job is expected to take
 * as long again as it has been overdue: a target that has stopped shows as a
 * wait that grows, before any of its jobs has ended.
 */
export function computeResidualMs(
  estimateMs: number,
  elapsedMs: number,
): number {
  return Math.abs(estimateMs - elapsedMs);
}
