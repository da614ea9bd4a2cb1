/** How long an answer is waited for: in all, or as long as it keeps coming in. */

export interface ResponseLimits {
  /** For the whole answer; with `stallMs`, for its first byte. */
  readonly timeoutMs: number;
  /** Longest pause within an answer that has begun. */
  readonly stallTimeoutMs?: number;
}

export class ResponseTimeout {
  readonly #limits: ResponseLimits;
  readonly #fail: (message: string) => void;
  #timer: NodeJS.Timeout;

  /** `fail` is called once, unless the timeout is cleared before. */
  constructor(limits: ResponseLimits, fail: (message: string) => void) {
    this.#limits = limits;
    this.#fail = fail;
    const { timeoutMs } = limits;
    this.#timer = setTimeout(
      () => fail(`No whole answer in ${timeoutMs} ms`),
      timeoutMs,
    );
  }

  /** A part of the answer has come in. */
  recordData(): void {
    const { stallTimeoutMs: stallMs } = this.#limits;
    if (stallMs === undefined) {
      return;
    }
    clearTimeout(this.#timer);
    this.#timer = setTimeout(
      () => this.#fail(`The answer stood still for ${stallMs} ms`),
      stallMs,
    );
  }

  clear(): void {
    clearTimeout(this.#timer);
  }
}
