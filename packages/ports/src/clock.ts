/**
 * Interfaces of a monotonic clock and of a source of random numbers. For
 * clocks, only differences between readings of the same clock are meaningful:
 * readings never leave their process, and clocks of different machines are
 * never compared.
 */

export interface Clock {
  /**
   * Milliseconds on a monotonic clock that continues while the process is
   * stopped.
   */
  readMs(): number;
  /** Resolves after `ms`, or as soon as `signal` aborts. Never rejects. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
  /**
   * Resolves when what has arrived at this process is read. Once a process has
   * stood still, its sleeps end before that; wait for it before deciding that
   * something has not come in time.
   */
  waitForArrivals(): Promise<void>;
}

/** A source of random numbers; tests use a seeded one. */
export interface Random {
  /** Returns a number in [0, 1). */
  draw(): number;
}
