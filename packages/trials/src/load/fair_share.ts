/** Max-min fair shares: the yardstick for how client accounts were treated. */

/**
 * The least share of its due that any account got. An account is due what it
 * asked for, or an equal part of what is left by those that asked for less.
 */
export function computeWorstTreatment(
  askedMs: ReadonlyMap<number, number>,
  servedMs: ReadonlyMap<number, number>,
  capacityMs: number,
): number {
  const levelMs = computeFairLevel([...askedMs.values()], capacityMs);
  let worst = 1;
  for (const [account, asked] of askedMs) {
    const dueMs = Math.min(asked, levelMs);
    const treatment = dueMs === 0 ? 1 : (servedMs.get(account) ?? 0) / dueMs;
    worst = Math.min(worst, treatment);
  }
  return worst;
}

/** The most that any account is due, so that all dues fill the capacity. */
function computeFairLevel(
  asked: readonly number[],
  capacityMs: number,
): number {
  const sorted = asked.toSorted((left, right) => left - right);
  let leftMs = capacityMs;
  for (const [index, each] of sorted.entries()) {
    const levelMs = leftMs / (sorted.length - index);
    if (each >= levelMs) {
      return levelMs;
    }
    leftMs -= each;
  }
  return Infinity;
}
