/**
 * Retries of lookups, bounded as a share of first sends, with growing and
 * jittered pauses. A request that is not idempotent is never retried.
 *
 * Load pattern: a target slows down, every lookup times out and is sent again.
 * Without a budget the load doubles or triples just when there is least room,
 * and stays there after the cause has gone. With one, retries add no more than
 * their ratio to the load.
 */
import type { RetryPolicy } from "@lentilspur/declarations/template";
import type { Random } from "@lentilspur/ports/clock";

/** Retries saved up in quiet times; covers one lost target's jobs in progress. */
const MAX_SAVED = 10;
/** Each second a retry is allowed although there is little traffic. */
const MIN_PER_SECOND = 1;
/** The first pause; about the service time of a lookup. */
const FIRST_BACKOFF_MS = 10;
/** Longer pauses would outlast the deadlines of lookups. */
const MAX_BACKOFF_MS = 500;

export class RetryBudget {
  readonly #policy: RetryPolicy;
  #saved = MAX_SAVED;
  #updatedAtMs: number | null = null;

  constructor(policy: RetryPolicy) {
    this.#policy = policy;
  }

  /** Records a first send, which earns a share of a retry. */
  recordFirstSend(): void {
    this.#saved = Math.min(MAX_SAVED, this.#saved + this.#policy.budgetRatio);
  }

  /** Whether a lookup that has been sent `attempt` times may be sent again. */
  claim(attempt: number, nowMs: number): boolean {
    this.#addElapsed(nowMs);
    if (attempt >= this.#policy.maxAttempts || this.#saved < 1) {
      return false;
    }
    this.#saved--;
    return true;
  }

  /** Pause before the attempt after `attempt`: anywhere up to a growing bound. */
  computeBackoffMs(attempt: number, random: Random): number {
    const boundMs = Math.min(
      MAX_BACKOFF_MS,
      FIRST_BACKOFF_MS * 2 ** Math.max(0, attempt - 1),
    );
    return boundMs * random.draw();
  }

  #addElapsed(nowMs: number): void {
    const elapsedMs = nowMs - (this.#updatedAtMs ?? nowMs);
    this.#updatedAtMs = nowMs;
    if (this.#policy.budgetRatio > 0) {
      this.#saved = Math.min(
        MAX_SAVED,
        this.#saved + elapsedMs * MIN_PER_SECOND / 1_000,
      );
    }
  }
}
