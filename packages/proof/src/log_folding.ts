/**
 * Folds log records that come in any order and with duplicates, and keeps the
 * history of ownership. Records wait in memory only while an earlier one is
 * missing; after a gap nothing can be folded, and the report says so.
 */
import type { LogRecord } from "@lentilspur/ports/log";
import { parseEnvelope } from "@lentilspur/state/entry_schema";
import { Fold } from "@lentilspur/state/fold";
import type { StateView } from "@lentilspur/state/view";
import { type FactReport, FactTally } from "./finding.ts";
import { checkAcceptedAssignments } from "./oracle_assignment.ts";
import { type FoldedRecord, OwnershipHistory } from "./ownership_history.ts";

export class LogFolding {
  readonly history = new OwnershipHistory();
  readonly #fold = new Fold();
  readonly #waiting = new Map<number, string>();
  readonly #assignments = new FactTally("assignment-survives");

  /** The state after the last record that could be folded. */
  get view(): StateView {
    return this.#fold;
  }

  /** Called with each record, in the order of the log. */
  onFolded?: (record: FoldedRecord) => void;

  addRecord(record: LogRecord): void {
    if (record.offset < this.#fold.nextOffset) {
      return;
    }
    this.#waiting.set(record.offset, record.payload);
    for (;;) {
      const offset = this.#fold.nextOffset;
      const payload = this.#waiting.get(offset);
      if (payload === undefined) {
        return;
      }
      this.#waiting.delete(offset);
      this.#applyRecord(offset, payload);
    }
  }

  /** Ranges of offsets that are missing, in words. */
  listMissing(): readonly string[] {
    const offsets = [...this.#waiting.keys()].sort((left, right) =>
      left - right
    );
    const missing: string[] = [];
    let expected = this.#fold.nextOffset;
    for (const offset of offsets) {
      if (offset > expected) {
        missing.push(
          `log records ${expected} to ${offset - 1} are missing`,
        );
      }
      expected = offset + 1;
    }
    return missing;
  }

  /** What the log alone shows about accepted assignments. */
  reportAssignments(): FactReport {
    return this.#assignments.report();
  }

  #applyRecord(offset: number, payload: string): void {
    const verdicts = this.#fold.apply(offset, payload);
    const record = { offset, envelope: parseEnvelope(payload), verdicts };
    const accepted = this.history.apply(record, this.#fold);
    checkAcceptedAssignments(accepted, this.history, this.#assignments);
    this.onFolded?.(record);
  }
}
