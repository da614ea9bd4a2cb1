/** Counts that fade with time, for as many names as are in use. */

/** Counts grow with time instead of fading each; past this they are scaled back. */
const MAX_SCALE = 1e6;
/** A count that has faded below this is dropped. */
const MIN_COUNT = 1e-2;

export class DecayingCounters {
  readonly #fadeMs: number;
  readonly #counts = new Map<number, number>();
  #scale = 1;
  #updatedAtMs: number | null = null;
  #startedAtMs: number | null = null;

  /** A count loses all but 1/e of its weight in `fadeMs`. */
  constructor(fadeMs: number) {
    this.#fadeMs = fadeMs;
  }

  observe(names: readonly number[], nowMs: number): void {
    this.#advance(nowMs);
    this.#startedAtMs ??= nowMs;
    for (const name of names) {
      this.#counts.set(name, (this.#counts.get(name) ?? 0) + this.#scale);
    }
  }

  /** Observations a second of each name. */
  listRates(nowMs: number): ReadonlyMap<number, number> {
    this.#advance(nowMs);
    const perSecond = 1_000 / this.#computeWindowMs(nowMs) / this.#scale;
    const rates = new Map<number, number>();
    for (const [name, count] of this.#counts) {
      if (count >= MIN_COUNT * this.#scale) {
        rates.set(name, count * perSecond);
      } else {
        this.#counts.delete(name);
      }
    }
    return rates;
  }

  /** Right after the start, less than a whole window has been counted. */
  #computeWindowMs(nowMs: number): number {
    const ageMs = nowMs - (this.#startedAtMs ?? nowMs);
    const share = 1 - Math.exp(-ageMs / this.#fadeMs);
    return Math.max(MIN_WINDOW_MS, this.#fadeMs * share);
  }

  #advance(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - (this.#updatedAtMs ?? nowMs));
    this.#updatedAtMs = Math.max(nowMs, this.#updatedAtMs ?? nowMs);
    this.#scale *= Math.exp(elapsedMs / this.#fadeMs);
    if (this.#scale > MAX_SCALE) {
      this.#applyScale();
    }
  }

  #applyScale(): void {
    for (const [name, count] of this.#counts) {
      this.#counts.set(name, count / this.#scale);
    }
    this.#scale = 1;
  }
}

/** The first observations say too little for a rate of their own. */
const MIN_WINDOW_MS = 500;
