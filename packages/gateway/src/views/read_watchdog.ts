/**
 * Waits for one read of the store, and gives it up when it stands still although
 * there is something newer to read.
 *
 * Guards against two ways of not learning what is new. A read on a connection
 * that has gone silent would hide it until the read's own time is over. And an
 * answer that takes its link longer than a fixed limit would be given up with
 * most of it in, and begun anew from its first byte, for good: so what keeps
 * coming in is waited for.
 */
import type { Result } from "@lentilspur/outcomes/result";
import type { Clock } from "@lentilspur/ports/clock";
import type { StoreFailure, StoreReadResult } from "@lentilspur/ports/store";

type Read = Result<StoreReadResult, StoreFailure>;

export class ReadWatchdog {
  readonly #clock: Clock;
  /** How long a read may stand still once there is news. */
  readonly #stallTimeoutMs: number;
  readonly #ended = new AbortController();
  readonly #abandoned: Promise<undefined>;
  #cancel: () => void = () => undefined;
  #hasPendingChange = false;
  #lastDataAtMs: number;
  #receivedBytes = 0;

  constructor(clock: Clock, patienceMs: number) {
    this.#clock = clock;
    this.#stallTimeoutMs = patienceMs;
    this.#lastDataAtMs = clock.readMs();
    this.#abandoned = new Promise((resolve) => {
      this.#cancel = () => resolve(undefined);
    });
  }

  /** Aborted once the read has been given up, or has ended. */
  get signal(): AbortSignal {
    return this.#ended.signal;
  }

  /** Bytes of the answer that have come in. */
  get receivedBytes(): number {
    return this.#receivedBytes;
  }

  /** A part of the answer has come in. */
  recordData(bytes: number): void {
    this.#receivedBytes += bytes;
    this.#lastDataAtMs = this.#clock.readMs();
  }

  /** There is something newer than what is known here. */
  recordPendingChange(): void {
    if (!this.#hasPendingChange) {
      this.#hasPendingChange = true;
      void this.#watchForStall();
    }
  }

  /** The read's outcome; undefined where it was given up. */
  async wait(reading: Promise<Read>): Promise<Read | undefined> {
    const read = await Promise.race([reading, this.#abandoned]);
    this.#ended.abort();
    return read;
  }

  async #watchForStall(): Promise<void> {
    const newsAtMs = this.#clock.readMs();
    while (!this.signal.aborted) {
      const sinceMs = Math.max(newsAtMs, this.#lastDataAtMs);
      const leftMs = sinceMs + this.#stallTimeoutMs - this.#clock.readMs();
      if (leftMs <= 0) {
        this.#cancel();
        return;
      }
      await this.#clock.sleep(leftMs, this.signal);
    }
  }
}
