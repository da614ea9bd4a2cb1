/** Runs scheduled events in order of time; the only clock of a simulation. */

interface ScheduledEvent {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

export class EventQueue {
  readonly #heap: ScheduledEvent[] = [];
  #scheduledCount = 0;
  #nowMs = 0;

  get nowMs(): number {
    return this.#nowMs;
  }

  schedule(afterMs: number, run: () => void): void {
    const event = {
      atMs: this.#nowMs + Math.max(0, afterMs),
      order: this.#scheduledCount++,
      run,
    };
    this.#heap.push(event);
    this.#sortUp(this.#heap.length - 1);
  }

  runUntil(endMs: number): void {
    for (;;) {
      const next = this.#heap[0];
      if (next === undefined || next.atMs > endMs) {
        this.#nowMs = endMs;
        return;
      }
      this.#removeFirst();
      this.#nowMs = next.atMs;
      next.run();
    }
  }

  #removeFirst(): void {
    const last = this.#heap.pop()!;
    if (this.#heap.length > 0) {
      this.#heap[0] = last;
      this.#sortDown(0);
    }
  }

  #sortUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (isBefore(this.#heap[parent]!, this.#heap[index]!)) {
        return;
      }
      this.#moveItems(parent, index);
      index = parent;
    }
  }

  #sortDown(start: number): void {
    let index = start;
    for (;;) {
      const children = [2 * index + 1, 2 * index + 2]
        .filter((child) => child < this.#heap.length);
      const first = children.reduce(
        (best, child) =>
          isBefore(this.#heap[best]!, this.#heap[child]!) ? best : child,
        index,
      );
      if (first === index) {
        return;
      }
      this.#moveItems(first, index);
      index = first;
    }
  }

  #moveItems(left: number, right: number): void {
    const heap = this.#heap;
    [heap[left], heap[right]] = [heap[right]!, heap[left]!];
  }
}

function isBefore(left: ScheduledEvent, right: ScheduledEvent): boolean {
  return left.atMs < right.atMs ||
    (left.atMs === right.atMs && left.order < right.order);
}
