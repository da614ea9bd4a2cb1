/** Times out a response: as a whole, or when it stalls. */

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
  #timer: NodeJS.Timeout;

  /** Calls `fail` once, unless the timeout is cleared first. */
  constructor(limits: ResponseLimits, fail: (message: string) => void) {
    this.#limits = limits;
    this.#fail = fail;
    const { timeoutMs } = limits;
    this.#timer = setTimeout(
      () => fail(`No complete response within ${timeoutMs} ms`),
      timeoutMs,
    );
  }

  /** Restarts the stall timeout after a part of the response has arrived. */
  recordData(): void {
    const { stallTimeoutMs } = this.#limits;
    if (stallTimeoutMs === undefined) {
      return;
    }
    clearTimeout(this.#timer);
    this.#timer = setTimeout(
      () => this.#fail(`The response stalled for ${stallTimeoutMs} ms`),
      stallTimeoutMs,
    );
  }

  clear(): void {
    clearTimeout(this.#timer);
  }
}
