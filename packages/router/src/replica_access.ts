/** The replica as this instance's control and data path use it. */
import type { Result } from "@lentilspur/outcomes/result";
import type { Replica } from "@lentilspur/transport/replica";
import type { Entry, Verdict } from "@lentilspur/state/entries";
import type { StateView } from "@lentilspur/state/view";
import type { LogAccess, SubmitFailed } from "./control/log_access.ts";

export class ReplicaAccess implements LogAccess {
  readonly #replica: Replica;
  readonly #author: string;

  constructor(replica: Replica, author: string) {
    this.#replica = replica;
    this.#author = author;
  }

  getView(): StateView {
    return this.#replica.view;
  }

  waitForFold(maxMs: number, signal?: AbortSignal): Promise<void> {
    return this.#replica.waitForChange(maxMs, signal);
  }

  submit(
    entries: readonly Entry[],
    signal?: AbortSignal,
  ): Promise<Result<readonly Verdict[], SubmitFailed>> {
    const author = this.#author;
    const options = signal === undefined ? { author } : { author, signal };
    return this.#replica.submit(entries, options);
  }

  getLastContactMs(): number {
    return this.#replica.lastProgressAt;
  }

  getConfirmedAtMs(): number {
    return this.#replica.isCaughtUp
      ? this.#replica.lastReadSentAt
      : Number.NEGATIVE_INFINITY;
  }
}
