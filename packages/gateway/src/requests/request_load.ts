/** Callers at all instances of a world, who ask for all keys alike. For tests. */
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

const EVERY_MS = 8;

/** Names of instances in three data centres. */
export function listInstances(count: number): readonly string[] {
  return Array.from(
    { length: count },
    (_, index) => `${["bole", "kirkos", "yeka"][index % 3]}-${index}`,
  );
}

export const TWELVE_INSTANCES = listInstances(12);

/** What callers get, as far as it has come by the end. */
export async function sendLoad(
  world: RequestSimulation,
  { forMs, intervalMs: everyMs = EVERY_MS, instances = TWELVE_INSTANCES }:
    RequestLoad,
): Promise<ResponseCounts> {
  const random = new SeededRandom(7);
  const tally = { answered: 0, failed: 0 };
  for (let atMs = 0; atMs < forMs; atMs += everyMs) {
    const instance = instances[Math.floor(random.draw() * instances.length)]!;
    const key = Math.floor(random.draw() * LAST_KEY);
    void world.send(instance, { key, path: `/files/${atMs}` })
      .then(({ kind }) => tally[kind]++);
    await world.clock.advance(everyMs);
  }
  return tally;
}
