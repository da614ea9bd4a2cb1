/**
 * Joins the members, keeps a fit set of guardians, and leaves.
 */
import type { Lease } from "@lentilspur/ownership/lease";
import { chooseGuardians } from "@lentilspur/ownership/guardian_choice";
import type { Clock } from "@lentilspur/ports/clock";
import type { PeerPort, RenewReply } from "@lentilspur/ports/peer";
import type { InstanceDescription } from "@lentilspur/state/entries";
import { WANTED_GUARDIANS } from "@lentilspur/state/quorum";
import type { MemberState } from "@lentilspur/state/view";
import type { ControlTiming } from "../settings.ts";
import type { LeaseKeeper } from "./lease_keeper.ts";
import type { LogAccess } from "./log_access.ts";
import { waitAtMost } from "./time_limit.ts";

export interface MembershipOptions {
  readonly instance: InstanceDescription;
  readonly lease: Lease;
  readonly leaseKeeper: LeaseKeeper;
  readonly clock: Clock;
  readonly peers: PeerPort;
  readonly log: LogAccess;
  readonly timing: ControlTiming;
}

/** A guardian that is silent for this many leases is replaced. */
const SILENT_LEASES = 2;
const RETRY_JOIN_MS = 500;

export class Membership {
  readonly #options: MembershipOptions;
  readonly #guardedSince = new Map<string, number>();

  constructor(options: MembershipOptions) {
    this.#options = options;
  }

  /** Resolves once the fold has this instance as a member. */
  async join(signal: AbortSignal): Promise<void> {
    const { instance, lease, log, clock } = this.#options;
    while (!signal.aborted) {
      const guardians = await this.#findLiveGuardians([]);
      await log.submit(
        [{ kind: "instance-joined", instance, guardians }],
        signal,
      );
      const self = log.getView().getMember(instance.id);
      if (self !== undefined) {
        lease.start(self.guardians);
        return;
      }
      await clock.sleep(RETRY_JOIN_MS, signal);
    }
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { instance, lease, log, timing } = this.#options;
    while (!signal.aborted) {
      const self = log.getView().getMember(instance.id);
      if (self === undefined) {
        // Taken over, or left: the lease must not outlive the membership.
        lease.stop();
        return;
      }
      lease.setGuardians(self.guardians);
      await this.#updateGuardians(self, signal);
      await log.waitForFold(timing.renewEveryMs, signal);
    }
  }

  async leave(signal: AbortSignal): Promise<void> {
    const { instance, lease, log } = this.#options;
    // Pledges end before the entry is written, so that others may wait the
    // last one out from when they fold it.
    lease.stop();
    await log.submit(
      [{ kind: "instance-left", instance: instance.id }],
      signal,
    );
  }

  async #updateGuardians(
    self: MemberState,
    signal: AbortSignal,
  ): Promise<void> {
    const { lease, log } = this.#options;
    const members = log.getView().listMembers();
    const fit = self.guardians.filter((id) => this.#isFit(id));
    const wanted = Math.min(WANTED_GUARDIANS, members.length - 1);
    if (fit.length >= wanted && fit.length === self.guardians.length) {
      return;
    }
    const guardians = await this.#findLiveGuardians(fit);
    // An instance that is cut off from all others finds none. Without any
    // guardian it could go on, but nobody could take it over once it is lost;
    // so it goes without only where the fold has nobody else.
    const isCutOff = guardians.length === 0 && members.length > 1;
    if (isCutOff || isSameSet(guardians, self.guardians)) {
      return;
    }
    lease.addPendingGuardians(guardians);
    await log.submit([{
      kind: "guardians-changed",
      instance: self.instance.id,
      expectedToken: self.guardianToken,
      guardians,
    }], signal);
    const now = log.getView().getMember(self.instance.id);
    // Unless the token has changed, the entry may still take effect, so its
    // guardians stay needed beside the old ones.
    if (now !== undefined && now.guardianToken !== self.guardianToken) {
      lease.setGuardians(now.guardians);
      lease.clearPendingGuardians();
    }
  }

  #isFit(guardian: string): boolean {
    const { log, clock, timing, lease, leaseKeeper } = this.#options;
    if (log.getView().getMember(guardian) === undefined) {
      return false;
    }
    if (lease.hasRevoked(guardian)) {
      return false;
    }
    const nowMs = clock.readMs();
    const since = this.#guardedSince.get(guardian) ?? nowMs;
    this.#guardedSince.set(guardian, since);
    const heardAt = leaseKeeper.getLastHeardMs(guardian) ?? since;
    return nowMs - heardAt < SILENT_LEASES * timing.leaseMs;
  }

  /** Asks the best candidates for a pledge and keeps those that answer. */
  async #findLiveGuardians(
    keep: readonly string[],
  ): Promise<readonly string[]> {
    const { instance, log, lease } = this.#options;
    const self = instance.id;
    let candidates = log.getView().listMembers()
      .filter((member) => !lease.hasRevoked(member.instance.id));
    const live = new Set(keep);
    for (;;) {
      const chosen = chooseGuardians(self, candidates, [...live]);
      const unknown = chosen.filter((id) => !live.has(id));
      if (unknown.length === 0) {
        return chosen;
      }
      const answers = await Promise.all(
        unknown.map((id) => this.#isLive(id)),
      );
      const silent = unknown.filter((_, index) => !answers[index]);
      unknown.filter((_, index) => answers[index])
        .forEach((id) => live.add(id));
      candidates = candidates
        .filter((member) => !silent.includes(member.instance.id));
    }
  }

  /** Whether a member answers and would take something over. */
  async isWilling(id: string): Promise<boolean> {
    return await this.#fetchPledge(id) === "pledged";
  }

  async #isLive(id: string): Promise<boolean> {
    const reply = await this.#fetchPledge(id);
    return reply === "pledged" || reply === "unable";
  }

  /** Undefined where no answer came. */
  async #fetchPledge(id: string): Promise<RenewReply["kind"] | undefined> {
    const { instance, log, clock, peers, timing, lease } = this.#options;
    const member = log.getView().getMember(id);
    if (member === undefined) {
      return undefined;
    }
    const address = { id, address: member.instance.peerAddress };
    const sentAtMs = clock.readMs();
    const call = peers.renew(address, {
      holder: instance.id,
      leaseMs: timing.leaseMs,
      foldedOffset: log.getView().nextOffset,
    });
    const reply = await waitAtMost(clock, timing.renewEveryMs, call);
    if (reply === undefined || !reply.ok) {
      return undefined;
    }
    // Counts as soon as this one is a guardian, so that a change of guardians
    // leaves no gap in the lease.
    if (reply.val.kind === "pledged") {
      lease.recordPledge(id, sentAtMs);
    }
    return reply.val.kind;
  }
}

function isSameSet(
  left: readonly string[],
  right: readonly string[],
): boolean {
  return left.length === right.length &&
    left.every((each) => right.includes(each));
}
