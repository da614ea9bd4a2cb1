/**
 * How often each key is asked for: of late, and over a longer time.
 *
 * Load pattern: for about 5 s, two fifths of all lookups are about 60 keys that
 * lie side by side; between such spells some keys are always busier than
 * others. One count that fades within 1.5 s shows a spell within its first
 * second; its noise (20 requests a target, so a fifth either way) would move
 * keys for nothing in quiet times. A second one that fades within 8 s tells
 * the lasting differences.
 */
import { LAST_KEY } from "@lentilspur/ports/key_orders";
import { DecayingCounters } from "./decaying_counters.ts";

/** The short count: a spell's first second. */
export const RECENT_TIME_CONSTANT_MS = 1_500;
/** The long count: longer than a spell, far shorter than a day's drift. */
export const LONG_TERM_TIME_CONSTANT_MS = 8_000;

export interface KeyRate {
  readonly key: number;
  /** Requests a second, of late. */
  readonly recent: number;
  /** Requests a second, over a longer time. */
  readonly longTerm: number;
}

export class KeyLoad {
  readonly #recent = new DecayingCounters(RECENT_TIME_CONSTANT_MS);
  readonly #usual = new DecayingCounters(LONG_TERM_TIME_CONSTANT_MS);

  observe(keys: readonly number[], nowMs: number): void {
    const valid = keys.filter((key) => key >= 0 && key <= LAST_KEY);
    this.#recent.observe(valid, nowMs);
    this.#usual.observe(valid, nowMs);
  }

  /** Every key that was asked for, in the order of keys. */
  listRates(nowMs: number): readonly KeyRate[] {
    const recent = this.#recent.listRates(nowMs);
    const rates: KeyRate[] = [];
    for (const [key, usual] of this.#usual.listRates(nowMs)) {
      rates.push({ key, longTerm: usual, recent: recent.get(key) ?? 0 });
    }
    return rates.sort((left, right) => left.key - right.key);
  }
}
