/** How long an answer is waited for: in all, or as long as it keeps coming in. */

export interface AnswerLimits {
  /** For the whole answer; with `stallMs`, for its first byte. */
  readonly timeoutMs: number;
  /** Longest pause within an answer that has begun. */
  readonly stallMs?: number;
}

export class AnswerTimeout {
  readonly #limits: AnswerLimits;
  readonly #fail: (message: string) => void;
  #timer: NodeJS.Timeout;

  /** `fail` is called once, unless the timeout is cleared before. */
  constructor(limits: AnswerLimits, fail: (message: string) => void) {
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
    const { stallMs } = this.#limits;
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
