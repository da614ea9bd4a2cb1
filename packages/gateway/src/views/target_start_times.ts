/** Keeps the start time that the newest incarnation of each target reported. */
import type { TargetIncarnation } from "@lentilspur/routing/target_incarnation";

/**
 * Number of target ids that are kept: a few days of a fleet with 4,600 restarts
 * a day.
 */
const MAX_TARGET_IDS = 20_000;

export class TargetStartTimes {
  readonly #bornMs = new Map<string, number | undefined>();

  /** The start time that the newest incarnation of a target id reported. */
  getBornMs(id: string): number | undefined {
    return this.#bornMs.get(id);
  }

  record({ id, bornMs }: TargetIncarnation): void {
    if (!this.#bornMs.has(id) || this.#bornMs.get(id) !== bornMs) {
      this.#bornMs.delete(id);
      this.#bornMs.set(id, bornMs);
    }
    if (this.#bornMs.size > MAX_TARGET_IDS) {
      this.#bornMs.delete(this.#bornMs.keys().next().value!);
    }
  }
}
