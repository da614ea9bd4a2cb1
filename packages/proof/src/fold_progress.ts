/**
 * When each instance, by its own monotonic clock, had folded past a milestone
 * of the log. Clocks of two instances are never compared: every question is
 * answered from lines of one instance.
 */
import type { DecisionLine } from "./decision_line.ts";

interface InstanceProgress {
  /** Earliest elapsed time of a line, by how many milestones it had folded. */
  readonly earliest: Float64Array;
  lastElapsedMs: number;
}

export class FoldProgress {
  /** Ascending log offsets. */
  readonly #milestones: readonly number[];
  readonly #instances = new Map<string, InstanceProgress>();

  constructor(offsets: Iterable<number>) {
    this.#milestones = [...new Set(offsets)].sort((left, right) =>
      left - right
    );
  }

  addLine(line: DecisionLine): void {
    const progress = this.#getProgress(line.instance);
    const passed = countBelow(this.#milestones, line.foldedOffset);
    progress.earliest[passed] = Math.min(
      progress.earliest[passed]!,
      line.elapsedMs,
    );
    progress.lastElapsedMs = Math.max(progress.lastElapsedMs, line.elapsedMs);
  }

  /**
   * Elapsed milliseconds of the first line that shows the record at `offset`
   * folded; undefined where none does.
   */
  getFoldedAt(instance: string, offset: number): number | undefined {
    const progress = this.#instances.get(instance);
    if (progress === undefined) {
      return undefined;
    }
    const from = countBelow(this.#milestones, offset + 1);
    const earliest = progress.earliest.subarray(from);
    const first = earliest.reduce(
      (least, value) => Math.min(least, value),
      Infinity,
    );
    return first === Infinity ? undefined : first;
  }

  getLastElapsedMs(instance: string): number | undefined {
    return this.#instances.get(instance)?.lastElapsedMs;
  }

  #getProgress(instance: string): InstanceProgress {
    let progress = this.#instances.get(instance);
    if (progress === undefined) {
      const size = this.#milestones.length + 1;
      progress = {
        earliest: new Float64Array(size).fill(Infinity),
        lastElapsedMs: -Infinity,
      };
      this.#instances.set(instance, progress);
    }
    return progress;
  }
}

/** How many of the ascending offsets are less than `limit`. */
function countBelow(offsets: readonly number[], limit: number): number {
  let low = 0;
  let high = offsets.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (offsets[middle]! < limit) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}
