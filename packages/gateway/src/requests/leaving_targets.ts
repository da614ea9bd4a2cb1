/**
 * Withdraws targets whose responses say that they leave, here and at all other
 * instances, so that the keeper moves their keys although their entries do not
 * say so yet. The instance that is told first reports it once; an instance that
 * does not receive the report learns it from the target's next response.
 */
import type { SendOutcome } from "@lentilspur/ports/request_sender";
import type { TargetIncarnation } from "@lentilspur/routing/target_incarnation";
import type { PeerMessage } from "../peers/peer_message.ts";
import type { PeerOptions } from "../peers/peer_options.ts";
import type { Catalogue } from "../views/catalogue.ts";

type LeavingMessage = PeerMessage & { readonly kind: "leaving" };

export interface LeavingTargetsOptions extends PeerOptions {
  readonly catalogue: Catalogue;
  /** Called when a target has been withdrawn. */
  readonly onWithdrawn: () => void;
}

export class LeavingTargets {
  readonly #options: LeavingTargetsOptions;

  constructor(options: LeavingTargetsOptions) {
    this.#options = options;
  }

  recordOutcome({ id, bornMs }: TargetIncarnation, outcome: SendOutcome): void {
    if (outcome.kind === "unknown" || outcome.isLeaving !== true) {
      return;
    }
    const target = { id, ...(bornMs === undefined ? {} : { bornMs }) };
    if (this.#markLeaving(target)) {
      const { duties, instance: from, dataCentre, send } = this.#options;
      const message = { kind: "leaving", from, dataCentre, target } as const;
      send(duties.listBroadcastReceivers(), message);
    }
  }

  /**
   * Applies another instance's report. If it came from another data centre and
   * this instance is the local reader, it forwards news within its data centre.
   */
  apply(message: LeavingMessage): void {
    if (this.#markLeaving(message.target)) {
      const { duties, send } = this.#options;
      send(duties.listForwardReceivers(message.dataCentre), message);
    }
  }

  /** Returns whether the target was not known to leave. */
  #markLeaving(target: TargetIncarnation): boolean {
    const { catalogue, clock, onWithdrawn } = this.#options;
    const isNews = catalogue.recordReportedLeaving(target, clock.readMs());
    if (isNews) {
      onWithdrawn();
    }
    return isNews;
  }
}
