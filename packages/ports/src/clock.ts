/**
 * Elapsed time. Only differences of one clock's readings mean anything: no
 * reading leaves its process, and no two machines' clocks are compared.
 */

export interface Clock {
  /** Milliseconds on a monotonic clock that goes on while the process is stopped. */
  readMs(): number;
  /** Resolves after `ms`, or at once when `signal` aborts. Never rejects. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** Numbers that look random; tests pass a seeded one. */
export interface Random {
  /** A number in [0, 1). */
  draw(): number;
}
