/** Records when this instance first saw each incarnation of a target. */
import type { TargetIncarnation } from "@lentilspur/routing/target_incarnation";

interface FirstSeen {
  readonly bornMs: number | undefined;
  readonly atMs: number;
}

/**
 * Number of target ids that are kept: a few days of a fleet with 4,600 restarts
 * a day.
 */
const MAX_TARGET_IDS = 20_000;

export class TargetFirstSeenTimes {
  /** The newest incarnation of each target id. */
  readonly #firstSeen = new Map<string, FirstSeen>();

  /** The start time that the newest incarnation of a target id reported. */
  getBornMs(id: string): number | undefined {
    return this.#firstSeen.get(id)?.bornMs;
  }

  /**
   * When the newest incarnation of a target id was first seen, by the local
   * clock.
   */
  getNewestFirstSeenMs(id: string): number {
    return this.#firstSeen.get(id)?.atMs ?? -Infinity;
  }

  /**
   * When this incarnation was first seen, by the local clock; undefined unless
   * it is the newest one of its target id.
   */
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
    if (this.#firstSeen.size > MAX_TARGET_IDS) {
      this.#firstSeen.delete(this.#firstSeen.keys().next().value!);
    }
  }
}
