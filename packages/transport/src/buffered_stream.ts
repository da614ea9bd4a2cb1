/**
 * Holds what has arrived of a large response until it is passed on. The
 * response is read ahead as long as the budget of the instance allows it. Since
 * an empty buffer may always be filled with one part, slow callers that use up
 * the budget do not stop the others.
 */
import type {
  ResponseStream,
  StreamBreak,
  StreamEnd,
  StreamPart,
} from "@lentilspur/ports/response_stream";
import type { ReadAheadBudget } from "./read_ahead_budget.ts";

/** Controls the read of a response from its connection. */
export interface StreamSource {
  readonly pause: () => void;
  readonly resume: () => void;
}

/** Memory that is reserved for the next part; Node reads at most this much. */
const PART_BYTES = 64 * 1024;
/**
 * A larger response does not wait until it is whole; otherwise a few endless
 * ones would take the memory of all others.
 */
const MAX_BUFFERED_BYTES = 1024 * 1024;

export class BufferedStream implements ResponseStream {
  readonly length: number | undefined;
  readonly ended: Promise<StreamEnd>;
  readonly buffered: Promise<boolean>;
  readonly #budget: ReadAheadBudget;
  readonly #source: StreamSource;
  readonly #parts: Uint8Array[] = [];
  readonly #resume = () => this.#resumeReading();
  #resolveEnded: (end: StreamEnd) => void = () => undefined;
  #resolveBuffered: (hasEnded: boolean) => void = () => undefined;
  #resolveRead: ((part: StreamPart) => void) | undefined;
  #end: StreamEnd | undefined;
  #receivedBytes = 0;
  /** Bytes of the part that was read last, which may still be in use. */
  #takenBytes = 0;
  #reservedBytes = 0;
  #isPaused = false;
  #wasPaused = false;
  #isCancelled = false;

  constructor(options: {
    readonly budget: ReadAheadBudget;
    readonly source: StreamSource;
    readonly length: number | undefined;
  }) {
    this.#budget = options.budget;
    this.#source = options.source;
    this.length = options.length;
    this.ended = new Promise((resolve) => this.#resolveEnded = resolve);
    this.buffered = new Promise((resolve) => this.#resolveBuffered = resolve);
  }

  /** Adds a part that has arrived; pauses the source if memory is short. */
  add(bytes: Uint8Array): void {
    if (this.#end !== undefined) {
      return;
    }
    this.#receivedBytes += bytes.byteLength;
    this.#releaseReserve();
    this.#budget.claim(bytes.byteLength);
    this.#parts.push(bytes);
    this.#settleRead();
    if (this.#receivedBytes > MAX_BUFFERED_BYTES) {
      this.#resolveBuffered(false);
    }
    if (!this.#mayReadOn()) {
      this.#isPaused = true;
      this.#wasPaused = true;
      this.#source.pause();
      this.#resolveBuffered(false);
      this.#budget.waitForRoom(this.#resume);
    }
  }

  /** Records that the last part has arrived. */
  recordEnd(): void {
    this.#settle({ kind: "complete", bytes: this.#receivedBytes });
  }

  /** Breaks the response off, unless it has ended. */
  fail(cause: Exclude<StreamBreak, "unread">, message: string): void {
    this.#settle({
      kind: "broken",
      cause: this.#wasPaused && (cause === "cut" || cause === "silent")
        ? "unread"
        : cause,
      message,
      bytes: this.#receivedBytes,
    });
  }

  read(): Promise<StreamPart> {
    this.#budget.release(this.#takenBytes);
    this.#takenBytes = 0;
    return new Promise((resolve) => {
      this.#resolveRead = resolve;
      this.#settleRead();
      if (this.#isPaused && this.#parts.length === 0) {
        this.#resumeReading();
      }
    });
  }

  cancel(message: string): void {
    this.#isCancelled = true;
    this.fail("cancelled", message);
    this.#releaseParts();
    this.#settleRead();
  }

  #settle(end: StreamEnd): void {
    if (this.#end !== undefined) {
      return;
    }
    this.#end = end;
    this.#budget.cancel(this.#resume);
    this.#releaseReserve();
    if (end.kind === "broken") {
      this.#releaseParts();
    }
    this.#settleRead();
    this.#resolveBuffered(true);
    this.#resolveEnded(end);
  }

  #releaseParts(): void {
    const bytes = this.#parts.splice(0)
      .reduce((sum, part) => sum + part.byteLength, this.#takenBytes);
    this.#takenBytes = 0;
    this.#budget.release(bytes);
  }

  #settleRead(): void {
    const resolve = this.#resolveRead;
    const part = resolve === undefined ? undefined : this.#takePart();
    if (part !== undefined) {
      this.#resolveRead = undefined;
      resolve?.(part);
    }
  }

  #takePart(): StreamPart | undefined {
    if (this.#isCancelled) {
      return { kind: "broken", message: "The response was cancelled" };
    }
    if (this.#end?.kind === "broken") {
      return { kind: "broken", message: this.#end.message };
    }
    const bytes = this.#parts.shift();
    if (bytes !== undefined) {
      this.#takenBytes = bytes.byteLength;
      return { kind: "data", bytes };
    }
    return this.#end === undefined ? undefined : { kind: "end" };
  }

  #mayReadOn(): boolean {
    if (this.#budget.reserve(PART_BYTES)) {
      this.#reservedBytes = PART_BYTES;
      return true;
    }
    return this.#parts.length === 0 && this.#takenBytes === 0;
  }

  #resumeReading(): void {
    if (this.#end !== undefined || !this.#isPaused) {
      return;
    }
    if (!this.#mayReadOn()) {
      this.#budget.waitForRoom(this.#resume);
      return;
    }
    this.#budget.cancel(this.#resume);
    this.#isPaused = false;
    this.#source.resume();
  }

  #releaseReserve(): void {
    this.#budget.release(this.#reservedBytes);
    this.#reservedBytes = 0;
  }
}
