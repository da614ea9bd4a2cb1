/**
 * Orders queued requests of several client accounts by start-time fair
 * queueing.
 *
 * Load pattern: one account sends a burst at its full rate, while others send a
 * request now and then. In order of arrival, each of the others would wait
 * behind the whole burst. Here each request gets a start tag, and lower tags go
 * first. Each request raises its account's next tag by the inverse of the
 * account's weight, and an account that was idle starts at the current virtual
 * time. So under contention accounts are served in proportion to their weights,
 * and an idle account accumulates no credit.
 */

/** An account and its share of one service's places. */
export interface AccountShare {
  readonly clientAccount: string;
  /** Relative to the weights of other accounts. */
  readonly weight: number;
}

/**
 * Maximum number of accounts that are remembered. Forgetting an account costs
 * nothing unless its next tag is ahead of the virtual time.
 */
const MAX_ACCOUNTS = 4_096;

export class FairScheduler {
  #virtualTime = 0;
  readonly #nextTags = new Map<string, number>();

  /**
   * Returns the start tag of a new request; lower tags go first. Requests
   * without an account all get 0.
   */
  assignStartTag(share: AccountShare | undefined): number {
    if (share === undefined) {
      return 0;
    }
    const tag = this.getNextStartTag(share);
    this.#nextTags.delete(share.clientAccount);
    this.#nextTags.set(share.clientAccount, tag + 1 / share.weight);
    if (this.#nextTags.size > MAX_ACCOUNTS) {
      this.#nextTags.delete(this.#nextTags.keys().next().value!);
    }
    return tag;
  }

  /** Returns the start tag that the account's next request would get. */
  getNextStartTag(share: AccountShare | undefined): number {
    return share === undefined ? 0 : Math.max(
      this.#virtualTime,
      this.#nextTags.get(share.clientAccount) ?? 0,
    );
  }

  /** Advances the virtual time after a request with this tag was placed. */
  recordPlaced(tag: number): void {
    this.#virtualTime = Math.max(this.#virtualTime, tag);
  }
}
