/**
 * Request rates sorted by key, which can be summed over any range in O(log n).
 */

/** Requests per second for one key, over one of the windows. */
export interface CountedRate {
  readonly key: number;
  readonly perSecond: number;
}

export class KeyRateIndex {
  readonly #rates: readonly CountedRate[];
  /** Sum of all rates before each index. */
  readonly #before: Float64Array;

  /** `rates` must be sorted by key. */
  constructor(rates: readonly CountedRate[]) {
    this.#rates = rates;
    this.#before = new Float64Array(rates.length + 1);
    for (const [index, rate] of rates.entries()) {
      this.#before[index + 1] = this.#before[index]! + rate.perSecond;
    }
  }

  /** Requests per second for the keys from `from` to `to`, inclusive. */
  computeSum(from: number, to: number): number {
    return this.#before[this.#findIndex(to + 1)]! -
      this.#before[this.#findIndex(from)]!;
  }

  /** Rates of the requested keys from `from` to `to`, inclusive. */
  list(from: number, to: number): readonly CountedRate[] {
    return this.#rates.slice(this.#findIndex(from), this.#findIndex(to + 1));
  }

  /** Index of the first rate whose key is at least `key`. */
  #findIndex(key: number): number {
    let low = 0;
    let high = this.#rates.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.#rates[middle]!.key < key) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
