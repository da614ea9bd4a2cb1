/** Which partition of the table of owners holds a service. */
import { createHash } from "node:crypto";

/** The same at every instance; spreads services evenly over the partitions. */
export function choosePart(service: string, parts: number): number {
  const digest = createHash("sha256").update(service).digest();
  return digest.readUInt32BE(0) % Math.max(1, parts);
}
