/** Which target may run a request, where its service is keyed. */
import type { Clock } from "@lentilspur/ports/clock";
import type { Catalogue } from "../views/catalogue.ts";
import type { WithdrawalReason } from "../views/catalogue_event.ts";
import type { KeyDirectory } from "../views/key_directory.ts";
import { type RequestContext, setRefusal } from "./request_context.ts";

export type OwnerLookup =
  | {
    readonly kind: "found";
    /** Undefined where any target of the service may run it. */
    readonly targetId: string | undefined;
    readonly token?: number;
    readonly ownersOffset?: number;
  }
  | {
    readonly kind: "wait";
    /** It will not have an owner soon: waiting for it is of no use. */
    readonly isLongWait: boolean;
  };

/** A key's move takes a release, a grant and two records: some 200 ms. */
const OWNER_RETRY_MS = 250;

/**
 * A move that has taken this long waits for a holder that cannot be reached,
 * which takes seconds. Load pattern: a third of the targets are lost at once;
 * every lookup of their keys would wait 0.3 s, be refused, come back and wait
 * again.
 */
const LONG_MOVE_MS = 400;
/** About as long as callers may stay away and still be answered in time. */
const LONG_MOVE_RETRY_MS = 1_000;

export interface OwnerFinderOptions {
  readonly clock: Clock;
  readonly catalogue: Catalogue;
  readonly directory: KeyDirectory;
  /** An owner is sent nothing later than this after it was withdrawn. */
  readonly getWithdrawalGraceMs: (reason: WithdrawalReason) => number;
}

export class OwnerFinder {
  readonly #options: OwnerFinderOptions;

  constructor(options: OwnerFinderOptions) {
    this.#options = options;
  }

  find(passage: RequestContext): OwnerLookup {
    const { catalogue, directory } = this.#options;
    const { key } = passage;
    const service = catalogue.table?.services.get(passage.service);
    if (service?.keyed !== true || key === undefined) {
      return { kind: "found", targetId: undefined };
    }
    const owner = directory.findOwner(passage.service, key);
    if (owner.kind !== "owned") {
      const isLong = owner.kind === "moving" &&
        this.#options.clock.readMs() - owner.sinceMs > LONG_MOVE_MS;
      setRefusal(passage, "owner-changing", {
        message: `Key ${key} is ${owner.kind}`,
        retryAfterMs: isLong ? LONG_MOVE_RETRY_MS : OWNER_RETRY_MS,
      });
      return { kind: "wait", isLongWait: isLong };
    }
    const why = this.#findObstacle(owner.owner.id);
    if (why !== undefined) {
      setRefusal(passage, "owner-changing", {
        message: `The owner of key ${key} is ${why}`,
        retryAfterMs: OWNER_RETRY_MS,
      });
      return { kind: "wait", isLongWait: why === "evacuated" };
    }
    const { id: targetId, token } = owner.owner;
    return { kind: "found", targetId, token, ownersOffset: owner.offset };
  }

  /**
   * Why an owner may not be used. A withdrawn owner serves its keys until they
   * have moved, but not for long: a move that does not come must not send work
   * to a target that ends.
   */
  #findObstacle(id: string): WithdrawalReason | "gone" | undefined {
    const { catalogue, clock, getWithdrawalGraceMs: getWithdrawnUseMs } =
      this.#options;
    if (catalogue.getTarget(id) === undefined) {
      return "gone";
    }
    const withdrawal = catalogue.findWithdrawal(id);
    if (withdrawal === null) {
      return undefined;
    }
    const { reason, sinceMs } = withdrawal;
    return clock.readMs() - sinceMs < getWithdrawnUseMs(reason)
      ? undefined
      : reason;
  }
}
