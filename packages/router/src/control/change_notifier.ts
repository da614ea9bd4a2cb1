/** Wakes whoever waits for the next change, without polling. */
import type { Clock } from "@lentilspur/ports/clock";

export class ChangeNotifier {
  readonly #clock: Clock;
  #controller = new AbortController();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Wakes all present waiters. */
  report(): void {
    const before = this.#controller;
    this.#controller = new AbortController();
    before.abort();
  }

  /** Resolves at the next report, after `maxMs`, or when `signal` aborts. */
  async waitForChange(maxMs: number, signal?: AbortSignal): Promise<void> {
    const change = this.#controller.signal;
    const either = signal === undefined
      ? change
      : AbortSignal.any([change, signal]);
    await this.#clock.sleep(maxMs, either);
  }
}
