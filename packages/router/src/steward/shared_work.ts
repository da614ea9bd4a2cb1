/**
 * One run of a request that several sends of it may wait for. The run is
 * cancelled only when the last of them has gone: a resend through another
 * entry arrives while the first connection is being torn down.
 */

export class SharedWork<T> {
  readonly #controller = new AbortController();
  #result: Promise<T> | undefined;
  #waiters = 0;

  /** Aborts when nobody waits any more. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Runs the work; called once. */
  start(run: (signal: AbortSignal) => Promise<T>): void {
    this.#result = run(this.#controller.signal);
  }

  /** Waits for the result. The last waiter to abort cancels the run. */
  async wait(signal: AbortSignal): Promise<T> {
    const result = this.#result;
    if (result === undefined) {
      throw new Error("The work was waited for before it was started");
    }
    this.#waiters++;
    const leave = (): void => {
      this.#waiters--;
      if (this.#waiters === 0) {
        this.#controller.abort();
      }
    };
    signal.addEventListener("abort", leave, { once: true });
    if (signal.aborted) {
      leave();
    }
    try {
      return await result;
    } finally {
      signal.removeEventListener("abort", leave);
    }
  }
}
