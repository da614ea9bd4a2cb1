/**
 * Waits for one read of the store, and abandons it if it stalls while newer
 * records exist.
 *
 * This prevents two failures. A read on a connection that has gone silent would
 * hide newer records until the read times out. A read with a fixed time limit
 * would be abandoned with most of its response received if the link is slow,
 * and would start over from the first byte without end; so a read that keeps
 * receiving data is never abandoned.
 */
import type { Result } from "@lentilspur/outcomes/result";
import type { Clock } from "@lentilspur/ports/clock";
import type { StoreFailure, StoreReadResult } from "@lentilspur/ports/store";

type Read = Result<StoreReadResult, StoreFailure>;

export class ReadWatchdog {
  readonly #clock: Clock;
  /** How long a read may go without data once newer records exist. */
  readonly #stallTimeoutMs: number;
  readonly #finished = new AbortController();
  readonly #abandoned: Promise<undefined>;
  #cancel: () => void = () => undefined;
  #hasPendingChange = false;
  #lastDataAtMs: number;
  #receivedBytes = 0;

  constructor(clock: Clock, stallTimeoutMs: number) {
    this.#clock = clock;
    this.#stallTimeoutMs = stallTimeoutMs;
    this.#lastDataAtMs = clock.readMs();
    this.#abandoned = new Promise((resolve) => {
      this.#cancel = () => resolve(undefined);
    });
  }

  /** Aborted once the read has been abandoned or has finished. */
  get signal(): AbortSignal {
    return this.#finished.signal;
  }

  /** Bytes of the response received so far. */
  get receivedBytes(): number {
    return this.#receivedBytes;
  }

  /** Records that a part of the response has arrived. */
  recordData(bytes: number): void {
    this.#receivedBytes += bytes;
    this.#lastDataAtMs = this.#clock.readMs();
  }

  /** Records that the store has newer records than are known here. */
  recordPendingChange(): void {
    if (!this.#hasPendingChange) {
      this.#hasPendingChange = true;
      void this.#watchForStall();
    }
  }

  /** Returns the result of the read; undefined if it was abandoned. */
  async wait(reading: Promise<Read>): Promise<Read | undefined> {
    const read = await Promise.race([reading, this.#abandoned]);
    this.#finished.abort();
    return read;
  }

  async #watchForStall(): Promise<void> {
    const changeAtMs = this.#clock.readMs();
    while (!this.signal.aborted) {
      const sinceMs = Math.max(changeAtMs, this.#lastDataAtMs);
      const leftMs = sinceMs + this.#stallTimeoutMs - this.#clock.readMs();
      if (leftMs <= 0) {
        this.#cancel();
        return;
      }
      await this.#clock.sleep(leftMs, this.signal);
    }
  }
}
