/**
 * Dispatches whose fate is not known, kept because they may still be on their
 * way: a target that does not check its grants could run one after its unit
 * has another owner, so such a unit is not moved for a while.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type { UnitId } from "@lentilspur/state/entries";
import { makeKeyUnit } from "@lentilspur/state/units";
import { formatUnitName } from "./memory_floors.ts";

/**
 * Names kept. Unknown outcomes are rare; beyond this many the oldest name
 * gives way, and every unit counts as unknown since then.
 */
const MAX_NAMES = 20_000;

export class UnknownOutcomes {
  readonly #clock: Clock;
  /** Oldest first. */
  readonly #lastAt = new Map<string, number>();
  #evictedAtMs: number | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  record(template: string, unit: UnitId, key: string): void {
    this.#set(formatUnitName(template, unit));
    this.#set(formatUnitName(template, makeKeyUnit(key)));
  }

  /** Undefined where every dispatch for the unit had a known end. */
  getLastMs(template: string, unit: UnitId): number | undefined {
    return this.#lastAt.get(formatUnitName(template, unit)) ??
      this.#evictedAtMs;
  }

  #set(name: string): void {
    this.#lastAt.delete(name);
    this.#lastAt.set(name, this.#clock.readMs());
    if (this.#lastAt.size > MAX_NAMES) {
      const [oldest, atMs] = this.#lastAt.entries().next().value!;
      this.#lastAt.delete(oldest);
      this.#evictedAtMs = atMs;
    }
  }
}
