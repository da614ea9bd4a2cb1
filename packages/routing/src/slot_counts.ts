/**
 * Counts events by slots of time, in memory that does not grow with the number
 * of events. Slots that are older than `capacity` slots before the newest one
 * are forgotten.
 */

export class SlotCounts {
  #counts: Int32Array;
  /** The latest slot that was counted in. */
  #newest = 0;

  constructor(capacity: number) {
    this.#counts = createCounts(capacity);
  }

  get newest(): number {
    return this.#newest;
  }

  /** Adds events, or takes them back if `count` is negative. */
  add(slot: number, count: number): void {
    if (slot > this.#newest) {
      this.#advance(slot);
    }
    if (this.#isKept(slot)) {
      this.#counts[this.#locate(slot)]! += count;
    }
  }

  get(slot: number): number {
    return this.#isKept(slot) ? this.#counts[this.#locate(slot)]! : 0;
  }

  /** Counts the events from a slot on. */
  countFrom(first: number): number {
    let sum = 0;
    for (let slot = first; slot <= this.#newest; slot++) {
      sum += this.get(slot);
    }
    return sum;
  }

  /** Keeps at least this many slots; what is counted stays. */
  reserve(capacity: number): void {
    if (capacity <= this.#counts.length) {
      return;
    }
    const grown = new SlotCounts(capacity);
    const oldest = this.#newest - this.#counts.length + 1;
    for (let slot = oldest; slot <= this.#newest; slot++) {
      grown.add(slot, this.get(slot));
    }
    this.#counts = grown.#counts;
  }

  #advance(slot: number): void {
    const skipped = Math.min(slot - this.#newest, this.#counts.length);
    for (let count = 0; count < skipped; count++) {
      this.#counts[this.#locate(slot - count)] = 0;
    }
    this.#newest = slot;
  }

  #isKept(slot: number): boolean {
    return slot <= this.#newest && slot > this.#newest - this.#counts.length;
  }

  #locate(slot: number): number {
    return slot & (this.#counts.length - 1);
  }
}

/** The length is a power of two, so that a slot is located by its last bits. */
function createCounts(capacity: number): Int32Array {
  return new Int32Array(2 ** Math.ceil(Math.log2(capacity)));
}
