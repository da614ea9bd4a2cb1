/**
 * Limits the memory of all responses that are read faster than their callers
 * take them. A target cuts off a response that remains unread, so responses are
 * read ahead; without a limit, slow callers would fill the memory of the
 * instance. The memory is part of what the process holds for its callers.
 */
import { MemoryAccount } from "./memory_account.ts";

export class ReadAheadBudget {
  readonly #limitBytes: number;
  readonly #account: MemoryAccount;
  readonly #waiting = new Set<() => void>();
  #claimedBytes = 0;
  #isOfferScheduled = false;

  constructor(limitBytes: number, account = new MemoryAccount(Infinity)) {
    this.#limitBytes = limitBytes;
    this.#account = account;
  }

  /** Bytes that are held or reserved for a part that is being read. */
  get claimedBytes(): number {
    return this.#claimedBytes;
  }

  /** Whether slow responses have to wait for memory. */
  get isUsedUp(): boolean {
    return this.#waiting.size > 0 || this.#claimedBytes >= this.#limitBytes;
  }

  /** Claims memory that is in use already. */
  claim(bytes: number): void {
    this.#claimedBytes += bytes;
    this.#account.claim(bytes);
  }

  /** Claims memory if the limit allows it. */
  reserve(bytes: number): boolean {
    if (this.#claimedBytes + bytes > this.#limitBytes) {
      return false;
    }
    this.claim(bytes);
    return true;
  }

  release(bytes: number): void {
    this.#claimedBytes -= bytes;
    this.#account.release(bytes);
    this.#scheduleOffer();
  }

  /**
   * Calls `resume` once, when memory has been released; the first to wait is
   * called first. It may find that the memory does not suffice, and wait again.
   */
  waitForRoom(resume: () => void): void {
    this.#waiting.add(resume);
  }

  cancel(resume: () => void): void {
    this.#waiting.delete(resume);
  }

  /**
   * Offers released memory outside of the current call, which may come from
   * the parser of another response; two parsers cannot run at once.
   */
  #scheduleOffer(): void {
    if (this.#isOfferScheduled || this.#waiting.size === 0) {
      return;
    }
    this.#isOfferScheduled = true;
    setImmediate(() => {
      this.#isOfferScheduled = false;
      this.#offerRoom();
    });
  }

  #offerRoom(): void {
    for (const resume of [...this.#waiting]) {
      if (this.#claimedBytes >= this.#limitBytes) {
        return;
      }
      this.#waiting.delete(resume);
      resume();
      if (this.#waiting.has(resume)) {
        return;
      }
    }
  }
}
