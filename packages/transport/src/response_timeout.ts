/**
 * Times out a response: as a whole, or when it stalls. What has arrived by then
 * is read first.
 */
import { waitForArrivedData } from "@lentilspur/ports/event_loop";

export interface ResponseLimits {
  /**
   * For the whole response; with `stallTimeoutMs`, only until its head has
   * arrived.
   */
  readonly timeoutMs: number;
  /** Longest pause within a response that has begun. */
  readonly stallTimeoutMs?: number;
}

export class ResponseTimeout {
  readonly #limits: ResponseLimits;
  readonly #fail: (message: string) => void;
  /** Undefined once the timeout is cleared. */
  #timer: NodeJS.Timeout | undefined;

  /** Calls `fail` once, unless the timeout is cleared first. */
  constructor(limits: ResponseLimits, fail: (message: string) => void) {
    this.#limits = limits;
    this.#fail = fail;
    const { timeoutMs } = limits;
    this.#start(timeoutMs, `No complete response within ${timeoutMs} ms`);
  }

  /** Restarts the stall timeout after a part of the response has arrived. */
  recordData(): void {
    const { stallTimeoutMs } = this.#limits;
    if (stallTimeoutMs !== undefined) {
      this.clear();
      const message = `The response stalled for ${stallTimeoutMs} ms`;
      this.#start(stallTimeoutMs, message);
    }
  }

  clear(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  #start(timeoutMs: number, message: string): void {
    const timer = setTimeout(async () => {
      await waitForArrivedData();
      if (this.#timer === timer) {
        this.#fail(message);
      }
    }, timeoutMs);
    this.#timer = timer;
  }
}
