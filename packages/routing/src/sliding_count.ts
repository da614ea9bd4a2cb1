/**
 * Counts events in a sliding window, in slots of time, so that memory does not
 * grow with the number of events. A count can be off by the events of one slot,
 * and the caller chooses in which direction.
 */

/** A fiftieth of a window of 10 s. */
const SLOT_MS = 200;

interface Slot {
  readonly number: number;
  count: number;
}

export class SlidingCount {
  /** In order of time; slots without events are left out. */
  readonly #slots: Slot[] = [];

  add(nowMs: number, windowMs: number): void {
    const number = Math.floor(nowMs / SLOT_MS);
    const last = this.#slots.at(-1);
    if (last?.number === number) {
      last.count++;
      return;
    }
    this.#slots.push({ number, count: 1 });
    const oldest = Math.floor((nowMs - windowMs) / SLOT_MS);
    while (this.#slots[0]!.number < oldest) {
      this.#slots.shift();
    }
  }

  /** Counts no event that is older than the window. */
  countAtLeast(nowMs: number, windowMs: number): number {
    return this.#count(Math.floor((nowMs - windowMs) / SLOT_MS) + 1);
  }

  /** Counts each event of the window, and a few that are older. */
  countAtMost(nowMs: number, windowMs: number): number {
    return this.#count(Math.floor((nowMs - windowMs) / SLOT_MS));
  }

  #count(oldest: number): number {
    let sum = 0;
    for (const { number, count } of this.#slots) {
      sum += number >= oldest ? count : 0;
    }
    return sum;
  }
}
