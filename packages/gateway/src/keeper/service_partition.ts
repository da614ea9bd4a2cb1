/** Assigns each service to a partition of the ownership table. */
import { hashToUint32 } from "../members/stable_hash.ts";

/**
 * Gives the same result at every instance, and spreads services evenly over the
 * partitions.
 */
export function choosePartition(service: string, parts: number): number {
  return hashToUint32(service) % Math.max(1, parts);
}
