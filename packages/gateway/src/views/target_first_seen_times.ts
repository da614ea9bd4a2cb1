/** When each life of a target was seen here first. */
import type { TargetIncarnation } from "@lentilspur/routing/target_incarnation";

interface FirstSeen {
  readonly bornMs: number | undefined;
  readonly atMs: number;
}

/** Ids that are remembered: some days of a fleet with 4,600 restarts a day. */
const MAX_REMEMBERED = 20_000;

export class TargetFirstSeenTimes {
  /** The newest life of each id. */
  readonly #firstSeen = new Map<string, FirstSeen>();

  /** When the newest life of an id began, as it says. */
  getBornMs(id: string): number | undefined {
    return this.#firstSeen.get(id)?.bornMs;
  }

  /** When the newest life of an id was seen first; own clock. */
  getNewestFirstSeenMs(id: string): number {
    return this.#firstSeen.get(id)?.atMs ?? -Infinity;
  }

  /** When this life was seen first, if it is the newest of its id; own clock. */
  findFirstSeenMs({ id, bornMs }: TargetIncarnation): number | undefined {
    const seen = this.#firstSeen.get(id);
    return seen !== undefined && seen.bornMs === bornMs ? seen.atMs : undefined;
  }

  record({ id, bornMs }: TargetIncarnation, atMs: number): void {
    const seen = this.#firstSeen.get(id);
    if (seen === undefined || seen.bornMs !== bornMs) {
      this.#firstSeen.delete(id);
      this.#firstSeen.set(id, { bornMs, atMs });
    }
    if (this.#firstSeen.size > MAX_REMEMBERED) {
      this.#firstSeen.delete(this.#firstSeen.keys().next().value!);
    }
  }
}
