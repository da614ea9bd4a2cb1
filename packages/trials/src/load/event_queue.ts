/** Virtual time: events run in the order of their times, then of their making. */

export interface ScheduledEvent {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

export class EventQueue {
  readonly #heap = new PriorityQueue<ScheduledEvent>(isEarlier);
  #nowMs = 0;
  #order = 0;

  get nowMs(): number {
    return this.#nowMs;
  }

  schedule(atMs: number, run: () => void): void {
    const order = this.#order++;
    this.#heap.add({ atMs: Math.max(atMs, this.#nowMs), order, run });
  }

  /** Runs everything that is due up to and including `untilMs`. */
  advance(untilMs: number): void {
    for (;;) {
      const next = this.#heap.first;
      if (next === undefined || next.atMs > untilMs) {
        break;
      }
      this.#heap.take();
      this.#nowMs = next.atMs;
      next.run();
    }
    this.#nowMs = untilMs;
  }
}

/** A binary heap. */
export class PriorityQueue<T> {
  readonly #isBefore: (left: T, right: T) => boolean;
  readonly #items: T[] = [];

  constructor(isBefore: (left: T, right: T) => boolean) {
    this.#isBefore = isBefore;
  }

  get first(): T | undefined {
    return this.#items[0];
  }

  add(item: T): void {
    const items = this.#items;
    let index = items.length;
    items.push(item);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#isBefore(item, items[parent]!)) {
        break;
      }
      items[index] = items[parent]!;
      index = parent;
    }
    items[index] = item;
  }

  take(): T | undefined {
    const first = this.#items[0];
    const last = this.#items.pop();
    if (this.#items.length > 0 && last !== undefined) {
      this.#moveDown(last);
    }
    return first;
  }

  #moveDown(item: T): void {
    const items = this.#items;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= items.length) {
        break;
      }
      const right = child + 1;
      if (
        right < items.length && this.#isBefore(items[right]!, items[child]!)
      ) {
        child = right;
      }
      if (!this.#isBefore(items[child]!, item)) {
        break;
      }
      items[index] = items[child]!;
      index = child;
    }
    items[index] = item;
  }
}

function isEarlier(left: ScheduledEvent, right: ScheduledEvent): boolean {
  return left.atMs < right.atMs ||
    (left.atMs === right.atMs && left.order < right.order);
}
