/**
 * How many places each unit of a template asks for, by what this instance saw.
 *
 * Load pattern: a target is overloaded and refuses half of what comes. Counted
 * by what it served, it would look as loaded as any busy one; so what was
 * refused counts as well, with its estimated cost.
 *
 * Memory grows with units, whose number the template fixes, never with keys.
 */
import type { UnitId } from "@lentilspur/state/entries";

/**
 * Load older than this counts 1/e. A target sees some 70 requests a second, so
 * the window holds 700, whose sum is uncertain by 5%; a shorter window would
 * show gaps between even targets on which the planner would act.
 */
const WINDOW_MS = 10_000;

interface DecayingLoad {
  sumMs: number;
  updatedAtMs: number;
}

export class UnitLoads {
  readonly #units = new Map<UnitId, DecayingLoad>();
  readonly #startedAtMs: number;

  constructor(startedAtMs: number) {
    this.#startedAtMs = startedAtMs;
  }

  /** Records that the unit used a place, or asked in vain for it, for `costMs`. */
  observe(unit: UnitId, costMs: number, nowMs: number): void {
    const load = this.#units.get(unit);
    if (load === undefined) {
      this.#units.set(unit, { sumMs: costMs, updatedAtMs: nowMs });
      return;
    }
    load.sumMs = computeDecayed(load, nowMs) + costMs;
    load.updatedAtMs = nowMs;
  }

  /** Places that the unit keeps busy; 0 where nothing was seen. */
  get(unit: UnitId, nowMs: number): number {
    const load = this.#units.get(unit);
    if (load === undefined) {
      return 0;
    }
    return computeDecayed(load, nowMs) / this.#computeWindowMs(nowMs);
  }

  /** Hands a part of a unit's load, in places, to one that was split off it. */
  move(from: UnitId, to: UnitId, places: number, nowMs: number): void {
    const costMs = Math.min(places, this.get(from, nowMs)) *
      this.#computeWindowMs(nowMs);
    this.observe(from, -costMs, nowMs);
    this.observe(to, costMs, nowMs);
  }

  remove(unit: UnitId): void {
    this.#units.delete(unit);
  }

  /** The decayed length of the time observed so far. */
  #computeWindowMs(nowMs: number): number {
    const observedMs = Math.max(1, nowMs - this.#startedAtMs);
    return WINDOW_MS * (1 - Math.exp(-observedMs / WINDOW_MS));
  }
}

function computeDecayed(load: DecayingLoad, nowMs: number): number {
  return load.sumMs * Math.exp((load.updatedAtMs - nowMs) / WINDOW_MS);
}
