/**
 * Watches the instances that this one guards and takes over from those that
 * have gone silent.
 *
 * Load pattern: a rack or a data centre is lost and many instances go silent
 * together. Each is taken over by one entry that also spreads its targets, and
 * concurrent entries share an append.
 */
import type { Guardian } from "@lentilspur/ownership/guardian";
import {
  computeSuccessorRank,
  type Consents,
  hasTakeOverQuorum,
  planSuccession,
  SUCCESSOR_STAGGER_MS,
} from "@lentilspur/ownership/take_over";
import type { Lease } from "@lentilspur/ownership/lease";
import type { Clock } from "@lentilspur/ports/clock";
import type { PeerPort } from "@lentilspur/ports/peer";
import type { DecisionSink } from "@lentilspur/proof/decision_line";
import type { MemberState } from "@lentilspur/state/view";
import type { ControlTiming } from "../settings.ts";
import { isInContact, isWhollyAccepted, type LogAccess } from "./log_access.ts";
import { waitAtMost } from "./time_limit.ts";

export interface SuccessionOptions {
  readonly self: string;
  readonly guardian: Guardian;
  readonly lease: Lease;
  readonly clock: Clock;
  readonly peers: PeerPort;
  readonly log: LogAccess;
  readonly timing: ControlTiming;
  readonly decisions: DecisionSink;
}

const WATCH_EVERY_MS = 100;

/**
 * Silence beyond the lapse before consents are gathered: a holder that was
 * only slow for a moment must not lose a guardian for good.
 */
const GRACE_MS = 100;

export class Succession {
  readonly #options: SuccessionOptions;
  readonly #watchedSince = new Map<string, number>();
  readonly #removedSince = new Map<string, number>();
  /** Whom this instance would succeed, with its rank among the successors. */
  #wards: ReadonlyMap<string, number> = new Map();
  #observedOffset = -1;

  constructor(options: SuccessionOptions) {
    this.#options = options;
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, lease, log } = this.#options;
    while (!signal.aborted) {
      this.#observeMembers();
      const nowMs = clock.readMs();
      // Its own lease does not matter: the consents are the evidence. Were it
      // asked, a survivor whose guardians are all lost would wait for them.
      if (!lease.isStopped() && isInContact(log, nowMs)) {
        await Promise.all(
          this.#listOverdue().map((holder) => this.#takeOver(holder, signal)),
        );
      }
      await clock.sleep(WATCH_EVERY_MS, signal);
    }
  }

  /**
   * Notes since when each ward is watched and each removed guardian is gone.
   * It looks through all members, so it does that only when the fold has moved
   * on; with thousands of members ten looks a second would take half a core.
   */
  #observeMembers(): void {
    const { clock, log, self, guardian } = this.#options;
    const nowMs = clock.readMs();
    const view = log.getView();
    if (view.nextOffset === this.#observedOffset) {
      return;
    }
    this.#observedOffset = view.nextOffset;
    const wards = new Map<string, number>();
    const gone = new Set<string>();
    for (const member of view.listMembers()) {
      const rank = computeSuccessorRank(member, self, view);
      if (rank !== undefined && member.instance.id !== self) {
        wards.set(member.instance.id, rank);
      }
      member.guardians.filter((id) => !view.getMember(id))
        .forEach((id) => gone.add(id));
    }
    this.#wards = wards;
    updateTimes(this.#watchedSince, new Set(wards.keys()), nowMs);
    updateTimes(this.#removedSince, gone, nowMs);
    for (const holder of guardian.listHolders()) {
      if (view.getRemovalPosition(holder) !== undefined) {
        guardian.removeHolder(holder);
      }
    }
  }

  #listOverdue(): readonly MemberState[] {
    const view = this.#options.log.getView();
    return [...this.#wards].flatMap(([id, rank]) => {
      const waitMs = GRACE_MS + rank * SUCCESSOR_STAGGER_MS;
      const holder = view.getMember(id);
      return holder !== undefined && this.#computeSilenceMs(id) > waitMs
        ? [holder]
        : [];
    });
  }

  /** Time since a pledge to this holder lapsed, or could have. */
  #computeSilenceMs(holder: string): number {
    const { clock, guardian, timing } = this.#options;
    const nowMs = clock.readMs();
    if (guardian.hasConsented(holder)) {
      return Number.POSITIVE_INFINITY;
    }
    const since = this.#watchedSince.get(holder) ?? nowMs;
    return guardian.hasPledged(holder)
      ? guardian.computeSilenceMs(holder, nowMs) ?? 0
      : nowMs - since - timing.leaseMs;
  }

  async #takeOver(holder: MemberState, signal: AbortSignal): Promise<void> {
    const { log, decisions } = this.#options;
    const consents = await this.#collectConsents(holder);
    if (!hasTakeOverQuorum(holder, consents) || signal.aborted) {
      return;
    }
    const lost = holder.instance.id;
    const stewardships = planSuccession(lost, log.getView());
    const result = await log.submit([{
      kind: "instance-lost",
      instance: lost,
      evidence: {
        kind: "guardians",
        guardianToken: holder.guardianToken,
        ...consents,
      },
      stewardships,
    }], signal);
    if (isWhollyAccepted(result)) {
      decisions.log({
        decision: "instance-taken-over",
        lost,
        ...consents,
        targets: stewardships.map((each) => each.target),
      });
    }
  }

  /**
   * Asks the others first: an instance that is cut off must not give its wards
   * up for good when its own consent alone is not enough.
   */
  async #collectConsents(holder: MemberState): Promise<Consents> {
    const { self, clock, log, guardian } = this.#options;
    const view = log.getView();
    const waitedOut = holder.guardians.filter((id) => this.#isWaitedOut(id));
    const asked = holder.guardians
      .filter((id) => id !== self && view.getMember(id));
    const answers = await Promise.all(
      asked.map((id) => this.#fetchConsent(id, holder.instance.id)),
    );
    const consented = asked.filter((_, index) => answers[index]);
    const withOwn = { consented: [...consented, self], waitedOut };
    const isNeeded = holder.guardians.includes(self) &&
      hasTakeOverQuorum(holder, withOwn);
    const own = isNeeded
      ? guardian.answerConsent(holder.instance.id, clock.readMs())
      : undefined;
    return own?.kind === "consented" ? withOwn : { consented, waitedOut };
  }

  /**
   * A removed guardian had lost its own lease before its removal, and the log
   * cannot have confirmed its membership since; it pledges for `standingMs`
   * after either, and a pledge stands for one lease. Once both have passed
   * since the removal was folded here, no pledge of it can stand.
   */
  #isWaitedOut(guardian: string): boolean {
    const { clock, timing } = this.#options;
    const since = this.#removedSince.get(guardian);
    const waitMs = timing.leaseMarginMs +
      (timing.standingMs + timing.leaseMs) * (1 + timing.clockDriftRatio);
    return since !== undefined && clock.readMs() - since >= waitMs;
  }

  async #fetchConsent(guardian: string, holder: string): Promise<boolean> {
    const { self, clock, peers, log, timing } = this.#options;
    const member = log.getView().getMember(guardian);
    if (member === undefined) {
      return false;
    }
    const call = peers.consent(
      { id: guardian, address: member.instance.peerAddress },
      { holder, successor: self },
    );
    const reply = await waitAtMost(clock, timing.renewEveryMs, call);
    return reply !== undefined && reply.ok && reply.val.kind === "consented";
  }
}

/** Keeps the first time of each present name and forgets the absent. */
function updateTimes(
  times: Map<string, number>,
  present: ReadonlySet<string>,
  nowMs: number,
): void {
  for (const name of times.keys()) {
    if (!present.has(name)) {
      times.delete(name);
    }
  }
  for (const name of present) {
    if (!times.has(name)) {
      times.set(name, nowMs);
    }
  }
}
