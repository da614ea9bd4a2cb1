/**
 * Accounts for the bytes that a process holds for its callers, over all
 * connections: bodies of requests, also of those that other instances forward,
 * and responses that callers have not taken yet. Each limit of a single
 * connection is small; only their sum is what the machine must bear.
 */
export class MemoryAccount {
  readonly #limitBytes: number;
  #claimedBytes = 0;

  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  get limitBytes(): number {
    return this.#limitBytes;
  }

  get claimedBytes(): number {
    return this.#claimedBytes;
  }

  /** Claims memory that is in use already. */
  claim(bytes: number): void {
    this.#claimedBytes += bytes;
  }

  /** Claims memory if at least `keptBytes` are left afterwards. */
  reserve(bytes: number, keptBytes = 0): boolean {
    if (this.#claimedBytes + bytes + keptBytes > this.#limitBytes) {
      return false;
    }
    this.#claimedBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.#claimedBytes -= bytes;
  }
}
