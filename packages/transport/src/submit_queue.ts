/** Entries that wait to be appended, and which of them go together. */
import { MAX_ENTRIES_PER_RECORD } from "@lentilspur/outcomes/position";
import type { Entry } from "@lentilspur/state/entries";
import type { SubmitOptions, SubmitResult } from "./submitter.ts";

/** One call to submit. */
export interface Submission extends SubmitOptions {
  readonly entries: readonly Entry[];
  readonly resolve: (result: SubmitResult) => void;
}

/** Submissions that wait at one time; beyond it the log is far behind. */
const MAX_WAITING = 10_000;

export class SubmitQueue {
  readonly #waiting: Submission[] = [];

  /** Gives the reason where it is not taken. */
  add(submission: Submission): string | undefined {
    const count = submission.entries.length;
    if (count === 0 || count > MAX_ENTRIES_PER_RECORD) {
      return `Got "${count}" entries, submit 1 to ${MAX_ENTRIES_PER_RECORD}`;
    }
    if (this.#waiting.length >= MAX_WAITING) {
      return `There are "${MAX_WAITING}" submissions waiting, try again later`;
    }
    this.#waiting.push(submission);
    return undefined;
  }

  /**
   * The next submissions of one author that fit one record, in order. One that
   * names its envelope goes alone, so that its id stands for it alone.
   */
  takeBatch(): readonly Submission[] {
    const [first] = this.#waiting;
    if (first === undefined) {
      return [];
    }
    let entries = 0;
    let taken = 0;
    for (const submission of this.#waiting) {
      const fits =
        entries + submission.entries.length <= MAX_ENTRIES_PER_RECORD;
      const belongs = submission.author === first.author;
      const isNamed = submission.id !== undefined;
      if (taken > 0 && (!fits || !belongs || isNamed)) {
        break;
      }
      entries += submission.entries.length;
      taken++;
      if (isNamed) {
        break;
      }
    }
    return this.#waiting.splice(0, taken);
  }
}
