/** When each life of a target was seen here first. */
import type { TargetIncarnation } from "@lentilspur/routing/target_incarnation";

interface Sighting {
  readonly bornMs: number | undefined;
  readonly atMs: number;
}

/** Ids that are remembered: some days of a fleet with 4,600 restarts a day. */
const MAX_REMEMBERED = 20_000;

export class TargetSightings {
  /** The newest life of each id. */
  readonly #sightings = new Map<string, Sighting>();

  /** When the newest life of an id began, as it says. */
  getBornMs(id: string): number | undefined {
    return this.#sightings.get(id)?.bornMs;
  }

  /** When the newest life of an id was seen first; own clock. */
  getNewestMs(id: string): number {
    return this.#sightings.get(id)?.atMs ?? -Infinity;
  }

  /** When this life was seen first, if it is the newest of its id; own clock. */
  findLifeMs({ id, bornMs }: TargetIncarnation): number | undefined {
    const seen = this.#sightings.get(id);
    return seen !== undefined && seen.bornMs === bornMs ? seen.atMs : undefined;
  }

  record({ id, bornMs }: TargetIncarnation, atMs: number): void {
    const seen = this.#sightings.get(id);
    if (seen === undefined || seen.bornMs !== bornMs) {
      this.#sightings.delete(id);
      this.#sightings.set(id, { bornMs, atMs });
    }
    if (this.#sightings.size > MAX_REMEMBERED) {
      this.#sightings.delete(this.#sightings.keys().next().value!);
    }
  }
}
