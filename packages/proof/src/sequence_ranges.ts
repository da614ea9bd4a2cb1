/**
 * Which sequence numbers of a source have been seen, in any order and with
 * duplicates. Memory grows with the gaps, not with the lines.
 */

interface Range {
  first: number;
  last: number;
}

export interface SequenceGap {
  readonly first: number;
  readonly last: number;
}

export class SequenceRanges {
  /** Disjoint, not adjacent, ascending. */
  readonly #ranges: Range[] = [];

  /** Returns false where the number had been seen before. */
  add(sequence: number): boolean {
    const index = this.#findRangeAtOrAfter(sequence);
    const right = this.#ranges[index];
    if (right !== undefined && right.first <= sequence) {
      return false;
    }
    const left = this.#ranges[index - 1];
    const joinsLeft = left !== undefined && left.last + 1 === sequence;
    const joinsRight = right !== undefined && right.first - 1 === sequence;
    if (joinsLeft && joinsRight) {
      left.last = right.last;
      this.#ranges.splice(index, 1);
    } else if (joinsLeft) {
      left.last = sequence;
    } else if (joinsRight) {
      right.first = sequence;
    } else {
      this.#ranges.splice(index, 0, { first: sequence, last: sequence });
    }
    return true;
  }

  /** Numbers missing between `from` and the highest that was seen. */
  listGaps(from: number): readonly SequenceGap[] {
    const gaps: SequenceGap[] = [];
    let expected = from;
    for (const range of this.#ranges) {
      if (range.first > expected) {
        gaps.push({ first: expected, last: range.first - 1 });
      }
      expected = Math.max(expected, range.last + 1);
    }
    return gaps;
  }

  /** The highest number seen; undefined before the first. */
  get last(): number | undefined {
    return this.#ranges.at(-1)?.last;
  }

  #findRangeAtOrAfter(sequence: number): number {
    let low = 0;
    let high = this.#ranges.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.#ranges[middle]!.last < sequence) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
