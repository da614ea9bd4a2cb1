/** Finds the target that may run a request of a keyed service. */
import type { Clock } from "@lentilspur/ports/clock";
import type { Catalogue } from "../views/catalogue.ts";
import type { WithdrawalReason } from "../views/catalogue_event.ts";
import type { KeyDirectory } from "../views/key_directory.ts";
import { type RequestContext, setRefusal } from "./request_context.ts";

export type OwnerLookup =
  | {
    readonly kind: "found";
    /** Undefined if any target of the service may run the request. */
    readonly targetId: string | undefined;
    /** Fencing token of the owner's grant. */
    readonly token?: number;
    /** Offset of the ownership record that names the owner. */
    readonly ownersOffset?: number;
  }
  | {
    readonly kind: "wait";
    /**
     * Whether the key will not have an owner soon, so that waiting is useless.
     */
    readonly isLongWait: boolean;
  };

/** A key's move takes some 200 ms: a release, a grant and two records. */
const OWNER_RETRY_MS = 250;

/**
 * A move that takes longer waits for an unreachable holder, which takes
 * seconds. Failure case: a third of the targets fail at once, and every request
 * for one of their keys would wait 0.3 s, be refused, be retried and wait
 * again.
 */
const LONG_MOVE_MS = 400;
/** About the longest delay after which a retry is still answered in time. */
const LONG_MOVE_RETRY_MS = 1_000;

export interface OwnerFinderOptions {
  readonly clock: Clock;
  readonly catalogue: Catalogue;
  readonly directory: KeyDirectory;
  /** How long after its withdrawal an owner may still be sent requests. */
  readonly getWithdrawalGraceMs: (reason: WithdrawalReason) => number;
}

export class OwnerFinder {
  readonly #options: OwnerFinderOptions;

  constructor(options: OwnerFinderOptions) {
    this.#options = options;
  }

  find(context: RequestContext): OwnerLookup {
    const { catalogue, directory } = this.#options;
    const { key } = context;
    const service = catalogue.routingTable?.services.get(context.service);
    if (service?.keyed !== true || key === undefined) {
      return { kind: "found", targetId: undefined };
    }
    const lookup = directory.findOwner(context.service, key);
    if (lookup.kind !== "owned") {
      const isLongWait = lookup.kind === "moving" &&
        this.#options.clock.readMs() - lookup.sinceMs > LONG_MOVE_MS;
      setRefusal(context, "owner-changing", {
        message: `Key ${key} is ${lookup.kind}`,
        retryAfterMs: isLongWait ? LONG_MOVE_RETRY_MS : OWNER_RETRY_MS,
      });
      return { kind: "wait", isLongWait };
    }
    const reason = this.#findUnusableReason(lookup.owner.id);
    if (reason !== undefined) {
      setRefusal(context, "owner-changing", {
        message: `The owner of key ${key} is ${reason}`,
        retryAfterMs: OWNER_RETRY_MS,
      });
      return { kind: "wait", isLongWait: reason === "evacuated" };
    }
    const { id: targetId, token } = lookup.owner;
    if (
      context.refusingOwner?.targetId === targetId &&
      context.refusingOwner.token === token
    ) {
      setRefusal(context, "owner-changing", {
        message: `Target "${targetId}" owns key ${key} but does not hold it`,
        retryAfterMs: LONG_MOVE_RETRY_MS,
      });
      return { kind: "wait", isLongWait: false };
    }
    return { kind: "found", targetId, token, ownersOffset: lookup.offset };
  }

  /**
   * Returns why an owner may not be used, or undefined if it may. A withdrawn
   * owner serves its keys until they have moved, but only for a limited time:
   * if the move fails, no request may go to a target that is about to end.
   */
  #findUnusableReason(id: string): WithdrawalReason | "gone" | undefined {
    const { catalogue, clock, getWithdrawalGraceMs } = this.#options;
    if (catalogue.getTarget(id) === undefined) {
      return "gone";
    }
    const nowMs = clock.readMs();
    return catalogue.listWithdrawals(id).find(({ reason, sinceMs }) =>
      nowMs - sinceMs >= getWithdrawalGraceMs(reason)
    )?.reason;
  }
}
