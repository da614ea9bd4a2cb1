/**
 * How often each key is asked for, of late.
 *
 * Load pattern: for about 5 s, two fifths of all lookups are about 60 keys that
 * lie side by side. Counts that fade within 2 s show that within the first
 * second; with a longer memory the spell is over before it is seen, and with a
 * shorter one a key's ordinary ups and downs look like spells.
 */
import { LAST_KEY } from "@lentilspur/ports/key_orders";

/** A count loses all but 1/e of its weight in this time. */
const FADE_MS = 2_000;
/** Counts grow with time instead of fading each; past this they are scaled back. */
const MAX_SCALE = 1e9;
/** Counts below this are dropped when they are scaled back. */
const MIN_COUNT = 1e-3;

export class KeyLoad {
  readonly #counts = new Map<number, number>();
  #scale = 1;
  #updatedAtMs: number | null = null;

  observe(keys: readonly number[], nowMs: number): void {
    this.#advance(nowMs);
    for (const key of keys) {
      if (key >= 0 && key <= LAST_KEY) {
        this.#counts.set(key, (this.#counts.get(key) ?? 0) + this.#scale);
      }
    }
  }

  /** Requests a second for each key that has any, in the order of keys. */
  listRates(nowMs: number): readonly KeyRate[] {
    this.#advance(nowMs);
    const perSecond = 1_000 / FADE_MS / this.#scale;
    const rates: KeyRate[] = [];
    for (const [key, count] of this.#counts) {
      rates.push({ key, perSecond: count * perSecond });
    }
    return rates.sort((left, right) => left.key - right.key);
  }

  #advance(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - (this.#updatedAtMs ?? nowMs));
    this.#updatedAtMs = Math.max(nowMs, this.#updatedAtMs ?? nowMs);
    this.#scale *= Math.exp(elapsedMs / FADE_MS);
    if (this.#scale > MAX_SCALE) {
      this.#applyScale();
    }
  }

  #applyScale(): void {
    for (const [key, count] of this.#counts) {
      const scaled = count / this.#scale;
      if (scaled < MIN_COUNT) {
        this.#counts.delete(key);
      } else {
        this.#counts.set(key, scaled);
      }
    }
    this.#scale = 1;
  }
}

export interface KeyRate {
  readonly key: number;
  readonly perSecond: number;
}
