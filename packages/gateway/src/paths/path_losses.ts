/**
 * Measures how many paths to targets an instance has lost, to compare instances
 * that could keep keys.
 */
import type { TargetPaths } from "@lentilspur/routing/target_paths";

/**
 * Regained paths count as lost for this long, so that paths that come and go do
 * not move the keeper to and fro.
 */
const RETENTION_MS = 5_000;
/** Losses that no other instance makes up for a change of the keeper. */
const TOLERATED_LOSSES = 1;

interface Loss {
  readonly count: number;
  readonly atMs: number;
}

export class PathLosses {
  /** Counts in descending order, each with the time when it last held. */
  #recent: readonly Loss[] = [];

  /** The highest number of lost paths within the retention time. */
  count(): number {
    return this.#recent[0]?.count ?? 0;
  }

  /**
   * Counts paths that are proved to be lost; those to all `targetCount` known
   * targets if the instance is isolated.
   */
  observe(paths: TargetPaths, targetCount: number, nowMs: number): void {
    const count = paths.isIsolated ? targetCount : paths.provedLossCount;
    const kept = this.#recent.filter((loss) =>
      loss.count > count && nowMs - loss.atMs < RETENTION_MS
    );
    this.#recent = count === 0 ? kept : [...kept, { count, atMs: nowMs }];
  }
}

/** Whether an instance has lost far more paths than the best of the others. */
export function hasExcessiveLosses(
  count: number,
  others: readonly number[],
): boolean {
  const best = Math.min(...others);
  return count > best + Math.max(TOLERATED_LOSSES, best);
}
