/**
 * Weighs the capacity of targets by their speed for the distribution of keys.
 *
 * Load pattern: targets with four places differ in speed by 0.6 to 1.4, and a
 * fifth of them is three times slower at any moment. If all are equally
 * utilized, nearly all late responses come from the slow ones: a request that
 * a slow target begins at a slow moment is late without any wait. So a slow
 * target carries less than its capacity, and a fast one more.
 */
import type { OwnerCandidate } from "./owner_load.ts";

/**
 * Fewer places leave a fast target no capacity to spare: its requests wait for
 * longer than they would run on a slow one.
 */
export const MIN_WEIGHTED_PLACES = 3;
/** Capacity is multiplied by the relative speed to the power of this. */
const SPEED_EXPONENT = 0.5;

/** Weighs targets with enough places; the average speed has the weight 1. */
export function createWeightedCandidates(
  candidates: readonly OwnerCandidate[],
): readonly OwnerCandidate[] {
  const averageMs = computeAverageServiceMs(candidates);
  return candidates.map((candidate) => {
    const { places, serviceMs } = candidate;
    const speed = averageMs / Math.max(1, serviceMs);
    return places < MIN_WEIGHTED_PLACES
      ? candidate
      : { ...candidate, weight: Math.pow(speed, SPEED_EXPONENT) };
  });
}

/** Service time at the average speed. */
function computeAverageServiceMs(
  candidates: readonly OwnerCandidate[],
): number {
  const speeds = candidates.map(({ serviceMs }) => 1 / Math.max(1, serviceMs));
  return candidates.length / speeds.reduce((sum, speed) => sum + speed, 0);
}
