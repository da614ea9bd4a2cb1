/**
 * Keeps this instance's lease: one task for each guardian renews its pledge,
 * so that a guardian that has gone silent delays none of the others.
 */
import type { Lease } from "@lentilspur/ownership/lease";
import type { Clock } from "@lentilspur/ports/clock";
import type { PeerAddress, PeerPort } from "@lentilspur/ports/peer";
import type { DecisionSink } from "@lentilspur/proof/decision_line";
import type { ControlTiming } from "../settings.ts";
import type { StateSource } from "../state_source.ts";
import type { ChangeNotifier } from "./change_notifier.ts";
import { waitAtMost } from "./time_limit.ts";

export interface LeaseKeeperOptions {
  readonly self: string;
  readonly lease: Lease;
  readonly clock: Clock;
  readonly peers: PeerPort;
  readonly state: StateSource;
  readonly timing: ControlTiming;
  readonly changes: ChangeNotifier;
  readonly decisions: DecisionSink;
}

export class LeaseKeeper {
  readonly #options: LeaseKeeperOptions;
  readonly #tasks = new Set<string>();
  readonly #lastHeardAt = new Map<string, number>();
  #wasHeld = false;

  constructor(options: LeaseKeeperOptions) {
    this.#options = options;
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { lease, clock, timing } = this.#options;
    while (!signal.aborted) {
      for (const guardian of lease.listGuardians()) {
        if (!this.#tasks.has(guardian)) {
          this.#tasks.add(guardian);
          void this.#renewWith(guardian, signal);
        }
      }
      this.#reportChange();
      await clock.sleep(timing.renewEveryMs / 2, signal);
    }
  }

  /** When this guardian last pledged; undefined if it never has. */
  getLastHeardMs(guardian: string): number | undefined {
    return this.#lastHeardAt.get(guardian);
  }

  async #renewWith(guardian: string, signal: AbortSignal): Promise<void> {
    const { lease, clock, timing } = this.#options;
    while (!signal.aborted && lease.listGuardians().includes(guardian)) {
      await this.#renewOnce(guardian);
      this.#reportChange();
      await clock.sleep(timing.renewEveryMs, signal);
    }
    this.#tasks.delete(guardian);
  }

  async #renewOnce(guardian: string): Promise<void> {
    const { lease, clock, peers, timing, state } = this.#options;
    const address = this.#getAddress(guardian);
    if (address === undefined) {
      return;
    }
    const sentAtMs = clock.readMs();
    const call = peers.renew(address, {
      holder: this.#options.self,
      leaseMs: timing.leaseMs,
      foldedOffset: state.getView().nextOffset,
    });
    const reply = await waitAtMost(clock, timing.renewEveryMs, call);
    if (reply === undefined || !reply.ok) {
      return;
    }
    switch (reply.val.kind) {
      case "pledged":
        lease.recordPledge(guardian, sentAtMs);
        this.#lastHeardAt.set(guardian, sentAtMs);
        return;
      case "revoked":
        lease.recordRevoked(guardian);
        return;
      case "unable":
        return;
    }
  }

  #getAddress(guardian: string): PeerAddress | undefined {
    const member = this.#options.state.getView().getMember(guardian);
    return member === undefined
      ? undefined
      : { id: guardian, address: member.instance.peerAddress };
  }

  /** Tells waiters and the decision log when the lease comes or goes. */
  #reportChange(): void {
    const { lease, clock, changes, decisions } = this.#options;
    const isHeld = lease.isHeld(clock.readMs());
    if (isHeld === this.#wasHeld) {
      return;
    }
    this.#wasHeld = isHeld;
    changes.report();
    decisions.log({
      decision: "lease-changed",
      state: isHeld ? "held" : "lost",
      why: isHeld
        ? "Enough guardians have pledged"
        : "Too few guardians have pledged lately",
    });
  }
}
