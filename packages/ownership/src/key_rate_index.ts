/** Rates of keys in the order of keys, summed over any stretch in a few steps. */

/** Requests a second for one key, as counted for one purpose. */
export interface CountedRate {
  readonly key: number;
  readonly perSecond: number;
}

export class KeyRateIndex {
  readonly #rates: readonly CountedRate[];
  /** Sum of all rates before each index. */
  readonly #before: Float64Array;

  /** `rates` are in the order of keys. */
  constructor(rates: readonly CountedRate[]) {
    this.#rates = rates;
    this.#before = new Float64Array(rates.length + 1);
    for (const [index, rate] of rates.entries()) {
      this.#before[index + 1] = this.#before[index]! + rate.perSecond;
    }
  }

  /** Requests a second for the keys from `from` to `to`, both included. */
  computeSum(from: number, to: number): number {
    return this.#before[this.#findIndex(to + 1)]! -
      this.#before[this.#findIndex(from)]!;
  }

  /** The keys that have a rate, from `from` to `to`, both included. */
  list(from: number, to: number): readonly CountedRate[] {
    return this.#rates.slice(this.#findIndex(from), this.#findIndex(to + 1));
  }

  /** Index of the first rate whose key is not below `key`. */
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
