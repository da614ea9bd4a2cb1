/**
 * Bounds an instance's appends and counts them, since the log takes several
 * hundred a second for the whole system.
 */
import type { Clock } from "@lentilspur/ports/clock";

/** What one instance has appended since its start. */
export interface AppendStatistics {
  readonly appends: number;
  readonly bytes: number;
  /** Appends that were sent again because an answer was lost. */
  readonly repeats: number;
  /** Entries by the mechanism that wrote them. */
  readonly entries: ReadonlyMap<string, number>;
}

/** Twelve instances at this rate stay below several hundred a second. */
const APPENDS_PER_SECOND = 20;
const MAX_BURST = 20;

export class AppendRate {
  readonly #clock: Clock;
  readonly #entries = new Map<string, number>();
  #appends = 0;
  #bytes = 0;
  #repeats = 0;
  #saved = MAX_BURST;
  #updatedAt: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#updatedAt = clock.readMs();
  }

  get statistics(): AppendStatistics {
    return {
      appends: this.#appends,
      bytes: this.#bytes,
      repeats: this.#repeats,
      entries: this.#entries,
    };
  }

  /** Waits until another append is within the bound. */
  async waitForTurn(signal?: AbortSignal): Promise<void> {
    this.#update();
    while (this.#saved < 1 && signal?.aborted !== true) {
      const missingMs = (1 - this.#saved) * 1_000 / APPENDS_PER_SECOND;
      await this.#clock.sleep(Math.ceil(missingMs), signal);
      this.#update();
    }
    this.#saved--;
  }

  recordAppend(bytes: number, isRepeat: boolean): void {
    this.#appends++;
    this.#bytes += bytes;
    this.#repeats += isRepeat ? 1 : 0;
  }

  recordEntry(mechanism: string): void {
    this.#entries.set(mechanism, (this.#entries.get(mechanism) ?? 0) + 1);
  }

  #update(): void {
    const now = this.#clock.readMs();
    const earned = (now - this.#updatedAt) * APPENDS_PER_SECOND / 1_000;
    this.#saved = Math.min(MAX_BURST, this.#saved + earned);
    this.#updatedAt = now;
  }
}
