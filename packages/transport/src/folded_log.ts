/** The local fold, and those who wait for it to move on. */
import type { LogRecord } from "@lentilspur/ports/log";
import type { Verdict } from "@lentilspur/state/entries";
import { Fold } from "@lentilspur/state/fold";

export type ReplicaEvent =
  | {
    readonly kind: "folded";
    readonly record: LogRecord;
    readonly verdicts: readonly Verdict[];
  }
  /** The log lost these records before they were folded here. */
  | {
    readonly kind: "history-skipped";
    readonly fromOffset: number;
    readonly toOffset: number;
  }
  /** The log lost records, and no checkpoint goes on from there yet. */
  | { readonly kind: "history-missing"; readonly firstOffset: number }
  /** The log says that it ends before what was read from it. */
  | { readonly kind: "log-regressed"; readonly nextOffset: number }
  /** Another instance holds another state at the same offset. */
  | {
    readonly kind: "replicas-diverged";
    readonly nextOffset: number;
    readonly checkpoint: string;
  }
  /** A checkpoint whose parts do not make the state they announce. */
  | { readonly kind: "checkpoint-broken"; readonly checkpoint: string }
  | { readonly kind: "checkpoint-written"; readonly nextOffset: number };

export type ReplicaListener = (event: ReplicaEvent) => void;

export class FoldedLog {
  readonly #listeners = new Set<ReplicaListener>();
  #fold = new Fold();
  #waiting: (() => void)[] = [];

  /** Another object after history was skipped: do not keep it. */
  get fold(): Fold {
    return this.#fold;
  }

  get nextOffset(): number {
    return this.#fold.nextOffset;
  }

  apply(record: LogRecord): void {
    const verdicts = this.#fold.apply(record.offset, record.payload);
    this.report({ kind: "folded", record, verdicts });
  }

  /**
   * Goes on from a checkpoint that is ahead. Never goes back: a state that has
   * been acted on stays, whatever older state the log offers.
   */
  restore(fold: Fold): boolean {
    const fromOffset = this.nextOffset;
    if (fold.nextOffset <= fromOffset) {
      return false;
    }
    this.#fold = fold;
    const toOffset = fold.nextOffset;
    this.report({ kind: "history-skipped", fromOffset, toOffset });
    return true;
  }

  /** Calls `listener` with every event; gives a function that ends this. */
  watch(listener: ReplicaListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  report(event: ReplicaEvent): void {
    for (const listener of this.#listeners) {
      listener(event);
    }
  }

  /** Lets those who wait look again. */
  sendChange(): void {
    const waiting = this.#waiting;
    this.#waiting = [];
    waiting.forEach((wake) => wake());
  }

  /** Resolves after the next change or when `signal` aborts. */
  waitForChange(signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const wake = (): void => {
        signal?.removeEventListener("abort", wake);
        resolve();
      };
      signal?.addEventListener("abort", wake, { once: true });
      this.#waiting.push(wake);
    });
  }
}
