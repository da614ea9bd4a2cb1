/**
 * Orders the requests of several client accounts that wait for the same places.
 *
 * Load pattern: one account sends as much as its rate allows, in a burst, while
 * others send a request now and then. In order of arrival each of the others
 * waits behind the whole burst. Here each request gets a start tag (start-time
 * fair queueing): an account that has just been given a place gets its next tag
 * later, by the inverse of its weight, and one that comes after a pause begins
 * where the service stands. So under contention accounts are served in the
 * proportion of their weights, and none saves up a claim.
 */

/** An account's claim on the places of one service. */
export interface AccountShare {
  readonly clientAccount: string;
  /** Relative to other accounts. */
  readonly weight: number;
}

/** Accounts that are remembered; those that are not behind cost nothing. */
const MAX_REMEMBERED = 4_096;

export class FairScheduler {
  #position = 0;
  readonly #nextTags = new Map<string, number>();

  /** Lower goes first; requests without an account all have the same. */
  assignStartTag(share: AccountShare | undefined): number {
    if (share === undefined) {
      return 0;
    }
    const tag = this.getNextStartTag(share);
    this.#nextTags.delete(share.clientAccount);
    this.#nextTags.set(share.clientAccount, tag + 1 / share.weight);
    if (this.#nextTags.size > MAX_REMEMBERED) {
      this.#nextTags.delete(this.#nextTags.keys().next().value!);
    }
    return tag;
  }

  /** The tag that the account's next request would get. */
  getNextStartTag(share: AccountShare | undefined): number {
    return share === undefined
      ? 0
      : Math.max(this.#position, this.#nextTags.get(share.clientAccount) ?? 0);
  }

  /** A request with this tag was given a place. */
  recordPlaced(tag: number): void {
    this.#position = Math.max(this.#position, tag);
  }
}
