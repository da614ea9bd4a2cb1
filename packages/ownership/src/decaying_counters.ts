/** Counters with exponential decay, one per key. */

/**
 * Instead of decaying all counters, later observations get a higher weight.
 * Once the weight exceeds this, all counters are divided by it.
 */
const MAX_SCALE = 1e6;
/** A counter that has decayed below this is removed. */
const MIN_COUNT = 1e-2;
/** Minimum window, since a few observations do not give a reliable rate. */
const MIN_WINDOW_MS = 500;

export class DecayingCounters {
  readonly #timeConstantMs: number;
  readonly #counts = new Map<number, number>();
  #scale = 1;
  #updatedAtMs: number | null = null;
  #startedAtMs: number | null = null;

  /** A counter decays to 1/e of its value within `timeConstantMs`. */
  constructor(timeConstantMs: number) {
    this.#timeConstantMs = timeConstantMs;
  }

  observe(keys: readonly number[], nowMs: number): void {
    this.#advance(nowMs);
    this.#startedAtMs ??= nowMs;
    for (const key of keys) {
      this.#counts.set(key, (this.#counts.get(key) ?? 0) + this.#scale);
    }
  }

  /** Observations per second of each key. */
  listRates(nowMs: number): ReadonlyMap<number, number> {
    this.#advance(nowMs);
    const perSecond = 1_000 / this.#computeWindowMs(nowMs) / this.#scale;
    const rates = new Map<number, number>();
    for (const [key, count] of this.#counts) {
      if (count >= MIN_COUNT * this.#scale) {
        rates.set(key, count * perSecond);
      } else {
        this.#counts.delete(key);
      }
    }
    return rates;
  }

  /** Length of the averaging window, which is shorter soon after the start. */
  #computeWindowMs(nowMs: number): number {
    const ageMs = nowMs - (this.#startedAtMs ?? nowMs);
    const share = 1 - Math.exp(-ageMs / this.#timeConstantMs);
    return Math.max(MIN_WINDOW_MS, this.#timeConstantMs * share);
  }

  #advance(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - (this.#updatedAtMs ?? nowMs));
    this.#updatedAtMs = Math.max(nowMs, this.#updatedAtMs ?? nowMs);
    this.#scale *= Math.exp(elapsedMs / this.#timeConstantMs);
    if (this.#scale > MAX_SCALE) {
      this.#applyScale();
    }
  }

  #applyScale(): void {
    for (const [key, count] of this.#counts) {
      this.#counts.set(key, count / this.#scale);
    }
    this.#scale = 1;
  }
}
