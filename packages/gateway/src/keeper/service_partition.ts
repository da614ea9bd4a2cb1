/** Which partition of the table of owners holds a service. */
import { hashToUint32 } from "../members/stable_hash.ts";

/** The same at every instance; spreads services evenly over the partitions. */
export function choosePartition(service: string, parts: number): number {
  return hashToUint32(service) % Math.max(1, parts);
}
