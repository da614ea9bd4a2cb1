/**
 * The heaviest of many names in bounded memory: Space-Saving (Metwally,
 * Agrawal, El Abbadi 2005) over weights that decay with time.
 *
 * A name that is not kept takes over the lightest entry, and that entry's
 * weight as its possible error; so a name is never counted too low, and its
 * weight less the error is certain.
 */

interface Entry {
  name: string;
  weight: number;
  error: number;
  /** Observations, decayed as weights are. */
  count: number;
}

/** One of the heaviest names. Weights are decayed sums, in what was added. */
export interface HeavyName {
  readonly name: string;
  readonly weight: number;
  /** What the name has at least; the rest may stem from others. */
  readonly certainWeight: number;
  /** Decayed number of observations since the name was last taken in. */
  readonly count: number;
}

/** Stored weights grow with time; past this factor they are scaled back. */
const MAX_SCALE = 1e6;

export class DecayingCounter {
  readonly #capacity: number;
  readonly #windowMs: number;
  readonly #entries = new Map<string, Entry>();
  #scale = 1;
  #updatedAtMs: number | null = null;

  /** Weight that is `windowMs` old counts 1/e of what it did. */
  constructor(options: {
    readonly capacity: number;
    readonly windowMs: number;
  }) {
    this.#capacity = options.capacity;
    this.#windowMs = options.windowMs;
  }

  observe(name: string, weight: number, nowMs: number): void {
    this.#advance(nowMs);
    const scaled = weight * this.#scale;
    const known = this.#entries.get(name);
    if (known !== undefined) {
      known.weight += scaled;
      known.count += this.#scale;
      return;
    }
    const error = this.#entries.size < this.#capacity ? 0 : this.#evict();
    this.#entries.set(name, {
      name,
      weight: error + scaled,
      error,
      count: this.#scale,
    });
  }

  list(nowMs: number): readonly HeavyName[] {
    this.#advance(nowMs);
    return [...this.#entries.values()]
      .map(({ name, weight, error, count }) => ({
        name,
        weight: weight / this.#scale,
        certainWeight: (weight - error) / this.#scale,
        count: count / this.#scale,
      }))
      .sort((left, right) => right.certainWeight - left.certainWeight);
  }

  #evict(): number {
    let lightest: Entry | undefined;
    for (const entry of this.#entries.values()) {
      if (lightest === undefined || entry.weight < lightest.weight) {
        lightest = entry;
      }
    }
    this.#entries.delete(lightest!.name);
    return lightest!.weight;
  }

  /** New weight is scaled up, which is to decay all old weight at once. */
  #advance(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - (this.#updatedAtMs ?? nowMs));
    this.#updatedAtMs = Math.max(nowMs, this.#updatedAtMs ?? nowMs);
    this.#scale *= Math.exp(elapsedMs / this.#windowMs);
    if (this.#scale > MAX_SCALE) {
      this.#applyScale();
    }
  }

  #applyScale(): void {
    for (const entry of this.#entries.values()) {
      entry.weight /= this.#scale;
      entry.error /= this.#scale;
      entry.count /= this.#scale;
    }
    this.#scale = 1;
  }
}
