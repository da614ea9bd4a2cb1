/** Sends requests for evenly spread keys through all instances. For tests. */
import { LAST_KEY } from "@lentilspur/ports/key_orders";
import { SeededRandom } from "@lentilspur/ports/seeded_random";
import type { RequestSimulation } from "./request_simulation.ts";

export interface ResponseCounts {
  answered: number;
  failed: number;
}

export interface RequestLoad {
  readonly forMs: number;
  readonly intervalMs?: number;
  readonly instances?: readonly string[];
}

const DEFAULT_INTERVAL_MS = 8;

/** Lists names of instances in three data centres. */
export function listInstances(count: number): readonly string[] {
  return Array.from(
    { length: count },
    (_, index) => `${["bole", "kirkos", "yeka"][index % 3]}-${index}`,
  );
}

export const TWELVE_INSTANCES = listInstances(12);

/** Sends requests at even intervals and counts the responses up to the end. */
export async function sendLoad(
  simulation: RequestSimulation,
  { forMs, intervalMs = DEFAULT_INTERVAL_MS, instances = TWELVE_INSTANCES }:
    RequestLoad,
): Promise<ResponseCounts> {
  const random = new SeededRandom(7);
  const counts = { answered: 0, failed: 0 };
  for (let atMs = 0; atMs < forMs; atMs += intervalMs) {
    const instance = instances[Math.floor(random.draw() * instances.length)]!;
    const key = Math.floor(random.draw() * LAST_KEY);
    void simulation.send(instance, { key, path: `/files/${atMs}` })
      .then(({ kind }) => counts[kind]++);
    await simulation.clock.advance(intervalMs);
  }
  return counts;
}
