/**
 * Limits the requests that are sent against an estimate.
 *
 * Failure case: all targets stall until requests time out. The service time that
 * is learned from this is longer than any deadline, so every request is refused
 * on arrival; no response comes that would show that the targets are fast again.
 * One request at a time is sent as a recheck. Each response doubles the number of
 * rechecks, so that a large service recovers within a few response times, and each
 * failure ends all but one, since its caller could have been refused at once.
 */

/** How a recheck ended: `unsent` if its place was given back. */
export type RecheckEnd = "responded" | "failed" | "unsent";

/** More than the targets that an instance can try within a response time. */
const MAX_RECHECKS = 64;

export class Rechecks {
  readonly #requestIds = new Set<string>();
  #maxRechecks = 1;

  /** Whether another recheck may be sent now. */
  mayStart(): boolean {
    return this.#requestIds.size < this.#maxRechecks;
  }

  recordStart(requestId: string): void {
    this.#requestIds.add(requestId);
  }

  recordEnd(requestId: string, end: RecheckEnd): void {
    this.#requestIds.delete(requestId);
    switch (end) {
      case "responded":
        this.#maxRechecks = Math.min(MAX_RECHECKS, 2 * this.#maxRechecks);
        return;
      case "failed":
        this.#maxRechecks = 1;
        return;
      case "unsent":
        return;
    }
  }
}
