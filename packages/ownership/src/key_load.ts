/**
 * Tracks the request rate of each key over a recent and a long-term window.
 *
 * Load pattern: for about 5 s, two fifths of all lookups are for about 60
 * adjacent keys; between such hotspots, some keys are always busier than
 * others. A count that decays within 1.5 s shows a hotspot within its first
 * second, but its noise (20 requests per target, so a fifth in either
 * direction) would cause useless moves under even load. A second count that
 * decays within 8 s shows the lasting differences.
 */
import { LAST_KEY } from "@lentilspur/ports/key_orders";
import { DecayingCounters } from "./decaying_counters.ts";

/** Short enough to show a hotspot within its first second. */
export const RECENT_TIME_CONSTANT_MS = 1_500;
/** Longer than a hotspot, but far shorter than the daily drift of the load. */
export const LONG_TERM_TIME_CONSTANT_MS = 8_000;

export interface KeyRate {
  readonly key: number;
  /** Requests per second over the recent window. */
  readonly recent: number;
  /** Requests per second over the long-term window. */
  readonly longTerm: number;
}

export class KeyLoad {
  readonly #recent = new DecayingCounters(RECENT_TIME_CONSTANT_MS);
  readonly #longTerm = new DecayingCounters(LONG_TERM_TIME_CONSTANT_MS);

  observe(keys: readonly number[], nowMs: number): void {
    const valid = keys.filter((key) => key >= 0 && key <= LAST_KEY);
    this.#recent.observe(valid, nowMs);
    this.#longTerm.observe(valid, nowMs);
  }

  /** Rates of all keys that were requested, sorted by key. */
  listRates(nowMs: number): readonly KeyRate[] {
    const recent = this.#recent.listRates(nowMs);
    const rates: KeyRate[] = [];
    for (const [key, longTerm] of this.#longTerm.listRates(nowMs)) {
      rates.push({ key, longTerm, recent: recent.get(key) ?? 0 });
    }
    return rates.sort((left, right) => left.key - right.key);
  }
}
