/**
 * Watches one dispatch for an answer that is not coming.
 *
 * Guards against a connection that something between the two ends has lost
 * track of: it shows as a dispatch that takes far longer than others of the
 * same target lately did. A lookup is then given up and sent again, if a retry
 * is allowed; anything else goes on waiting, but its place counts as free.
 */
import type { Clock } from "@lentilspur/ports/clock";

export interface LateWatchOptions {
  readonly clock: Clock;
  /** The caller's; its abort ends the dispatch. */
  readonly signal: AbortSignal;
  readonly timeoutMs: number;
  /** Called when the dispatch is late; true gives it up. */
  readonly mayGiveUp: () => boolean;
  /** Called when the dispatch is late and goes on. */
  readonly releasePlace: () => void;
}

export class LateWatch {
  readonly #options: LateWatchOptions;
  readonly #controller = new AbortController();
  readonly #cancel = (): void => this.#controller.abort();
  #isGivenUp = false;
  #isClosed = false;

  constructor(options: LateWatchOptions) {
    this.#options = options;
    const { clock, signal, timeoutMs } = options;
    signal.addEventListener("abort", this.#cancel, { once: true });
    // The timer is left to run out: cancelling one for each answer costs more.
    void clock.sleep(timeoutMs).then(() => this.#handleTimeout());
  }

  /** For the dispatch: aborts with the caller's, or when it is given up. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  get isGivenUp(): boolean {
    return this.#isGivenUp;
  }

  /** Called when the dispatch has ended. */
  close(): void {
    this.#isClosed = true;
    this.#options.signal.removeEventListener("abort", this.#cancel);
  }

  #handleTimeout(): void {
    if (this.#isClosed || this.#controller.signal.aborted) {
      return;
    }
    if (this.#options.mayGiveUp()) {
      this.#isGivenUp = true;
      this.#controller.abort();
    } else {
      this.#options.releasePlace();
    }
  }
}
