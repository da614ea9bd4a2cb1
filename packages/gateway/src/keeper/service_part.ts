/** Which partition of the table of owners holds a service. */
import { hashText } from "../members/stable_hash.ts";

/** The same at every instance; spreads services evenly over the partitions. */
export function choosePart(service: string, parts: number): number {
  return hashText(service) % Math.max(1, parts);
}
