/**
 * Estimates the service time of each target from what all instances measured.
 *
 * Load pattern: a fifth of the targets is three times slower, each time others
 * for 400 ms. An instance that sends a target one request every other second
 * needs 10 s for an average over a dozen responses, and until then a single
 * slow response makes the target look slow. Keys that follow such an estimate
 * move back and forth. A low quantile over the instances does not change with
 * those that have just seen a slow response or unknown queueing; a target that
 * stays slow soon shows in most of them.
 */

/** Latest reports of a target that count, each from another instance. */
const MAX_REPORTS = 15;
/**
 * Missing reports count as the service's average: otherwise the first slow
 * response of a new target would take its keys away again.
 */
const MIN_REPORTS = 5;
/** Slow moments and queueing only ever add to a measurement. */
const QUANTILE = 0.35;
/** Older reports do not count: the target may have changed since. */
const MAX_AGE_MS = 10_000;

interface SpeedReport {
  readonly serviceMs: number;
  readonly atMs: number;
}

export class OwnerSpeeds {
  /** By target, then by instance, in the order of the reports. */
  readonly #reports = new Map<string, Map<string, SpeedReport>>();

  record(
    targetId: string,
    instance: string,
    serviceMs: number,
    atMs: number,
  ): void {
    const reports = this.#reports.get(targetId) ?? new Map();
    this.#reports.set(targetId, reports);
    reports.delete(instance);
    reports.set(instance, { serviceMs, atMs });
    if (reports.size > MAX_REPORTS) {
      const [oldest] = reports.keys();
      reports.delete(oldest!);
    }
  }

  /** `QUANTILE` of the latest reports. */
  estimateServiceMs(
    targetId: string,
    averageMs: number,
    nowMs: number,
  ): number {
    const serviceTimes = [...this.#reports.get(targetId)?.values() ?? []]
      .filter(({ atMs }) => nowMs - atMs < MAX_AGE_MS)
      .map(({ serviceMs }) => serviceMs);
    while (serviceTimes.length < MIN_REPORTS) {
      serviceTimes.push(averageMs);
    }
    serviceTimes.sort((left, right) => left - right);
    const position = QUANTILE * (serviceTimes.length - 1);
    return (serviceTimes[Math.floor(position)]! +
      serviceTimes[Math.ceil(position)]!) / 2;
  }

  /** Removes targets without recent reports. */
  expire(nowMs: number): void {
    for (const [targetId, reports] of this.#reports) {
      const isRecent = [...reports.values()]
        .some(({ atMs }) => nowMs - atMs < MAX_AGE_MS);
      if (!isRecent) {
        this.#reports.delete(targetId);
      }
    }
  }
}
