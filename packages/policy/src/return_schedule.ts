/**
 * When a refused caller is told to come back.
 *
 * Load pattern: a burst is refused, and all of it returns at the same moment.
 * Told one common time, the callers bring the burst back with them; here each
 * refusal is given the next free time at which the account's share of the
 * target could serve it, so returns arrive at the rate of service.
 */

/** Longest time that a caller is told to stay away; recovery is never farther. */
const MAX_RETURN_MS = 10_000;
/** Shortest, so that a refusal is never answered by an immediate resend. */
const MIN_RETURN_MS = 20;
/** Accounts whose next return time is remembered. */
const MAX_ACCOUNTS = 1_024;
/** Fractional part of the golden ratio: successive multiples spread evenly. */
const GOLDEN = 0.618_033_988_749_895;

export class ReturnSchedule {
  readonly #nextAtMs = new Map<string, number>();
  #overflows = 0;

  /**
   * Assigns the next return time of an account, in milliseconds from now.
   * `backlogMs` is how long what waits already keeps the target busy, and
   * `intervalMs` the time between two services to this account.
   */
  assign(
    account: string,
    options: {
      readonly nowMs: number;
      readonly backlogMs: number;
      readonly intervalMs: number;
    },
  ): number {
    const earliest = options.nowMs + options.backlogMs + MIN_RETURN_MS;
    const atMs = Math.max(this.#nextAtMs.get(account) ?? 0, earliest);
    const delayMs = atMs - options.nowMs;
    if (delayMs > MAX_RETURN_MS) {
      return this.#computeOverflowMs();
    }
    this.#nextAtMs.delete(account);
    this.#nextAtMs.set(account, atMs + options.intervalMs);
    this.#evictOldest();
    return delayMs;
  }

  /** Beyond the horizon nobody has a place in line; returns are only spread. */
  #computeOverflowMs(): number {
    this.#overflows++;
    const share = (this.#overflows * GOLDEN) % 1;
    return MAX_RETURN_MS * (0.5 + share / 2);
  }

  #evictOldest(): void {
    if (this.#nextAtMs.size > MAX_ACCOUNTS) {
      this.#nextAtMs.delete(this.#nextAtMs.keys().next().value!);
    }
  }
}
