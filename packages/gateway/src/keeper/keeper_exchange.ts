/**
 * Exchanges messages between instances about the keepers of keys, in addition
 * to the records in the store: whether a keeper that cannot reach the store may
 * keep acting, and whether a replaced keeper has stopped.
 *
 * Failure case: the store answers some instances, but does not answer the
 * keeper for 9 s. Without these messages, the successor would have to wait for
 * as long as the keeper may act without the store. Each key that moved
 * meanwhile would have no holder for the duration of a hold. In such a run, a
 * quarter of all requests were refused for 23 s.
 *
 * Each message is sent again until it is answered, since a datagram may be
 * lost.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type { JointPledge } from "@lentilspur/ownership/key_keeper";
import type {
  KeeperClaim,
  UnresolvedKeeper,
} from "@lentilspur/ownership/keeper_records";
import { parseInstance } from "@lentilspur/ownership/keeper_records";

/** A `term` is the offset of a claim in the partition. */
export type KeeperMessage =
  | {
    /** A keeper that cannot reach the store asks a witness for a pledge. */
    readonly kind: "pledge-request";
    readonly from: string;
    readonly part: number;
    readonly term: number;
    readonly number: number;
  }
  | {
    readonly kind: "pledge";
    readonly from: string;
    readonly part: number;
    readonly number: number;
    readonly isGiven: boolean;
    /** How long the sender's process has run; earlier versions do not say. */
    readonly ranForMs?: number;
  }
  | {
    /** The store has a newer claim than the receiver's. */
    readonly kind: "keeper-replaced";
    readonly from: string;
    readonly part: number;
    readonly term: number;
  }
  | {
    /** The sender is not the keeper of the partition any more. */
    readonly kind: "keeper-stopped";
    readonly from: string;
    readonly incarnation: string;
    readonly part: number;
    /**
     * The sender no longer acts on claims with a term below this one. An
     * exclusive bound, not the term of a claim of the sender.
     */
    readonly term: number;
    /** Whether none of the sender's orders can take effect any more. */
    readonly isClean: boolean;
  }
  | {
    /**
     * The keeper that claimed with this term asks a witness of its predecessor
     * whether a pledge to an earlier keeper is in force.
     */
    readonly kind: "pledge-inquiry";
    readonly from: string;
    readonly part: number;
    readonly term: number;
  }
  | {
    /**
     * No pledge of the sender is in force, and it gives none to keepers with a
     * term below this one.
     */
    readonly kind: "pledges-over";
    readonly from: string;
    readonly part: number;
    readonly term: number;
  };

/** Changes in what this instance knows about keepers, for the log. */
export type KeeperExchangeEvent =
  | {
    /**
     * A keeper of this instance cannot reach the store and asks witnesses for
     * pledges.
     */
    readonly kind: "pledges-asked";
    readonly part: number;
    readonly term: number;
    readonly witnesses: number;
  }
  | {
    /**
     * This instance answered a keeper's pledge request. Reported only if the
     * answer differs from the previous one.
     */
    readonly kind: "pledge-answered";
    readonly part: number;
    readonly keeper: string;
    readonly term: number;
    readonly isGiven: boolean;
  }
  | {
    /** A predecessor reported that it has stopped. */
    readonly kind: "predecessor-stopped";
    readonly part: number;
    readonly keeper: string;
    readonly term: number;
    readonly isClean: boolean;
  };

/** A keeper of this instance, running or stopped. */
export interface OwnKeeper {
  readonly term: number;
  readonly hasStopped: boolean;
  readonly isClean: boolean;
  stop(why: "replaced"): void;
}

export interface KeeperExchangeOptions {
  readonly clock: Clock;
  readonly claim: KeeperClaim;
  readonly pledgeMs: number;
  /** Whether the store has answered this instance recently. */
  readonly isStoreReachable: () => boolean;
  /** Offset of the newest claim that this instance knows. */
  readonly getNewestTerm: (part: number) => number;
  readonly getKeeper: (part: number) => OwnKeeper | undefined;
  readonly send: (instance: string, message: KeeperMessage) => void;
  readonly observe: (event: KeeperExchangeEvent) => void;
}

interface StopNotice {
  /** The keeper no longer acts on claims with a term below this one. */
  readonly stoppedBelowTerm: number;
  readonly isClean: boolean;
  readonly atMs: number;
}

export interface RequestedPledge {
  /** Term of the keeper that asked. */
  readonly term: number;
  /** Own clock. */
  readonly atMs: number;
}

/** A witness's answer that its pledges are over. */
interface PledgeEnd {
  /** The witness gives no pledge to keepers with a term below this one. */
  readonly belowTerm: number;
  /** When the first such answer arrived; own clock. */
  readonly atMs: number;
}

interface PledgeRequest {
  readonly number: number;
  readonly sentAtMs: number;
}

/**
 * A keeper relies on a pledge for 90% of its duration: clocks differ in rate.
 */
const PLEDGE_SAFETY_FACTOR = 0.9;
/** Another instance's clock may run this much faster. */
const MIN_CLOCK_RATE = 0.98;
/** Stop notices kept per partition, one for each keeper. */
const MAX_STOP_NOTICES = 8;
/** An expired pledge is kept until the holds granted on it have expired too. */
const PLEDGE_KEPT_MS = 60_000;
/** The first pledge request after a pause of this length is logged. */
const NEW_REQUEST_PAUSE_MS = 2_000;
/** Most recent pledge requests, whose answers still count. */
const MAX_REQUESTS = 20;

const NO_PLEDGE: JointPledge = { untilMs: -Infinity, lastStartMs: Infinity };

export class KeeperExchange {
  readonly #options: KeeperExchangeOptions;
  /** The pledges to this instance's keeper, by partition and witness. */
  readonly #pledges = new Map<number, Map<string, JointPledge>>();
  readonly #requests: PledgeRequest[] = [];
  #lastNumber = 0;
  /**
   * As a witness: until when this instance lets a partition's keepers act, by
   * term.
   */
  readonly #pledgedUntilMs = new Map<number, ReadonlyMap<number, number>>();
  /** The last pledge request for each partition. */
  readonly #requestedPledges = new Map<number, RequestedPledge>();
  /** The last answer by partition, to log only answers that differ. */
  readonly #lastAnswers = new Map<number, string>();
  /** As a successor: stop notices by partition and incarnation. */
  readonly #stopNotices = new Map<number, Map<string, StopNotice>>();
  /** As a successor: pledges that are over, by partition and witness. */
  readonly #pledgeEnds = new Map<number, Map<string, PledgeEnd>>();
  /** An earlier process of this instance did nothing after this; own clock. */
  readonly startedAtMs: number;
  /** Offset of the newest claim that other instances reported, by partition. */
  readonly #replacementTerms = new Map<number, number>();

  constructor(options: KeeperExchangeOptions) {
    this.#options = options;
    this.startedAtMs = options.clock.readMs();
  }

  /**
   * Asks witnesses for pledges, for a keeper that the store does not answer.
   */
  sendPledgeRequests(
    part: number,
    term: number,
    witnesses: readonly string[],
  ): void {
    const { clock, claim, send } = this.#options;
    this.#lastNumber++;
    const number = this.#lastNumber;
    const sentAtMs = clock.readMs();
    const lastAtMs = this.#requests.at(-1)?.sentAtMs ?? -Infinity;
    if (sentAtMs - lastAtMs > NEW_REQUEST_PAUSE_MS) {
      const kind = "pledges-asked";
      this.#options.observe({ kind, part, term, witnesses: witnesses.length });
    }
    this.#requests.push({ number, sentAtMs });
    this.#requests.splice(0, this.#requests.length - MAX_REQUESTS);
    for (const witness of witnesses) {
      const from = claim.instance;
      send(witness, { kind: "pledge-request", from, part, term, number });
    }
  }

  /** What the pledges of all these witnesses let this instance's keeper do. */
  computePledge(part: number, witnesses: readonly string[]): JointPledge {
    const known = this.#pledges.get(part);
    const pledges = witnesses.map((name) => known?.get(name) ?? NO_PLEDGE);
    return {
      untilMs: Math.min(...pledges.map(({ untilMs }) => untilMs)),
      lastStartMs: Math.max(...pledges.map(({ lastStartMs }) => lastStartMs)),
    };
  }

  /**
   * Until when this instance lets the partition's keepers with a lower term act,
   * or an earlier process of this instance may have done so; own clock.
   */
  computePledgedUntilMs(part: number, belowTerm: number): number {
    const pledges = [...this.#pledgedUntilMs.get(part) ?? []]
      .filter(([term]) => term < belowTerm)
      .map(([, untilMs]) => untilMs);
    return Math.max(
      this.startedAtMs + this.#options.pledgeMs,
      ...pledges,
    );
  }

  /** Asks witnesses of an earlier keeper whether their pledges are over. */
  sendInquiries(
    part: number,
    term: number,
    witnesses: readonly string[],
  ): void {
    const { claim: { instance: from }, send } = this.#options;
    for (const witness of witnesses) {
      send(witness, { kind: "pledge-inquiry", from, part, term });
    }
  }

  /**
   * When the pledge of a witness was over that an earlier keeper needs to act
   * without the store; own clock, Infinity if no witness has said so.
   */
  computePledgesOverMs(part: number, keeper: UnresolvedKeeper): number {
    const ends = this.#pledgeEnds.get(part);
    const times = keeper.witnesses.map((witness) => {
      const end = ends?.get(parseInstance(witness));
      return end !== undefined && keeper.term < end.belowTerm
        ? end.atMs
        : Infinity;
    });
    return Math.min(Infinity, ...times);
  }

  /** The last request of a keeper without the store for a pledge. */
  findRequestedPledge(part: number): RequestedPledge | undefined {
    return this.#requestedPledges.get(part);
  }

  /**
   * Notifies a keeper that it has been replaced; it answers with a stop notice.
   */
  sendReplaced(instance: string, part: number, term: number): void {
    const { claim: { instance: from }, send } = this.#options;
    send(instance, { kind: "keeper-replaced", from, part, term });
  }

  /** Sends a stop notice for a keeper of this instance without being asked. */
  sendStopped(
    part: number,
    keeper: OwnKeeper,
    instances: readonly string[],
  ): void {
    const { claim: { instance: from, incarnation }, send } = this.#options;
    const { isClean } = keeper;
    // The bound is exclusive: the notice covers this keeper's own claim.
    const term = keeper.term + 1;
    for (const instance of instances) {
      const kind = "keeper-stopped";
      send(instance, { kind, from, incarnation, part, term, isClean });
    }
  }

  /**
   * The stop notice of a predecessor, if it covers the predecessor's claim. A
   * notice that covers only an earlier claim of the same incarnation does not
   * count. Otherwise a keeper that was replaced, claimed again and was then cut
   * off passes for stopped, and its keys go to other targets while it still
   * renews them (for 1.2 s).
   */
  findStopNotice(
    part: number,
    keeper: UnresolvedKeeper,
  ): StopNotice | undefined {
    const notice = this.#stopNotices.get(part)?.get(keeper.incarnation);
    return notice !== undefined && notice.stoppedBelowTerm > keeper.term
      ? notice
      : undefined;
  }

  /**
   * Whether this instance has confirmed that a newer claim replaces the claim
   * with this term.
   */
  hasAcceptedReplacement(part: number, term: number): boolean {
    return term < (this.#replacementTerms.get(part) ?? -Infinity);
  }

  handle(message: KeeperMessage): void {
    switch (message.kind) {
      case "pledge-request":
        this.#answerPledgeRequest(message);
        return;
      case "pledge":
        this.#recordPledge(message);
        return;
      case "keeper-replaced":
        this.#answerReplaced(message);
        return;
      case "keeper-stopped":
        this.#recordStopNotice(message);
        return;
      case "pledge-inquiry":
        this.#answerInquiry(message);
        return;
      case "pledges-over":
        this.#recordPledgesOver(message);
        return;
    }
  }

  /**
   * Answers once no pledge is in force; until then, the keeper that waits asks
   * again.
   */
  #answerInquiry(message: KeeperMessage & { kind: "pledge-inquiry" }): void {
    const { clock, claim: { instance }, send } = this.#options;
    const { part, term, from } = message;
    this.#recordReplacement(part, term);
    if (clock.readMs() >= this.computePledgedUntilMs(part, term)) {
      send(from, { kind: "pledges-over", from: instance, part, term });
    }
  }

  #recordPledgesOver(message: KeeperMessage & { kind: "pledges-over" }): void {
    const { part, term, from } = message;
    const ends = this.#pledgeEnds.get(part) ?? new Map<string, PledgeEnd>();
    this.#pledgeEnds.set(part, ends);
    if (term > (ends.get(from)?.belowTerm ?? -Infinity)) {
      const atMs = this.#options.clock.readMs();
      ends.set(from, { belowTerm: term, atMs });
    }
  }

  #recordGivenPledge(
    part: number,
    { term, untilMs }: { readonly term: number; readonly untilMs: number },
  ): void {
    const keptSinceMs = this.#options.clock.readMs() - PLEDGE_KEPT_MS;
    const kept = [...this.#pledgedUntilMs.get(part) ?? []]
      .filter(([, endMs]) => endMs > keptSinceMs);
    this.#pledgedUntilMs.set(part, new Map([...kept, [term, untilMs]]));
  }

  #recordReplacement(part: number, term: number): void {
    const known = this.#replacementTerms.get(part) ?? -Infinity;
    this.#replacementTerms.set(part, Math.max(term, known));
  }

  /**
   * The first of several equal notices gives the latest time at which the
   * keeper can have stopped.
   */
  #recordStopNotice(message: KeeperMessage & { kind: "keeper-stopped" }): void {
    const { incarnation, isClean, part, term, from: keeper } = message;
    const notices = this.#stopNotices.get(part) ??
      new Map<string, StopNotice>();
    this.#stopNotices.set(part, notices);
    const previous = notices.get(incarnation);
    if (previous !== undefined && previous.stoppedBelowTerm > term) {
      return;
    }
    const nowMs = this.#options.clock.readMs();
    const atMs = previous?.stoppedBelowTerm === term ? previous.atMs : nowMs;
    if (previous?.stoppedBelowTerm !== term || previous.isClean !== isClean) {
      const kind = "predecessor-stopped";
      this.#options.observe({ kind, part, keeper, term, isClean });
    }
    notices.set(incarnation, { stoppedBelowTerm: term, isClean, atMs });
    if (notices.size > MAX_STOP_NOTICES) {
      notices.delete(notices.keys().next().value!);
    }
  }

  /**
   * Refuses the pledge if this instance can reach the store: this instance may
   * claim the partition itself, and a keeper that the store answers needs no
   * pledge.
   */
  #answerPledgeRequest(
    message: KeeperMessage & { kind: "pledge-request" },
  ): void {
    const {
      clock,
      claim,
      pledgeMs,
      isStoreReachable,
      getNewestTerm,
      send,
    } = this.#options;
    const { part, term, number, from } = message;
    const nowMs = clock.readMs();
    this.#requestedPledges.set(part, { term, atMs: nowMs });
    const isGiven = !isStoreReachable() && getNewestTerm(part) <= term &&
      !this.hasAcceptedReplacement(part, term);
    if (isGiven) {
      this.#recordGivenPledge(part, { term, untilMs: nowMs + pledgeMs });
    }
    const summary = `${from} ${term} ${isGiven}`;
    if (this.#lastAnswers.get(part) !== summary) {
      this.#lastAnswers.set(part, summary);
      const kind = "pledge-answered";
      this.#options.observe({ kind, part, keeper: from, term, isGiven });
    }
    const ranForMs = Math.floor(nowMs - this.startedAtMs);
    const kind = "pledge";
    const answer = { kind, part, number, isGiven, ranForMs } as const;
    send(from, { ...answer, from: claim.instance });
  }

  /**
   * Counts the pledge from the sending of the request, which was before the
   * witness gave the pledge.
   */
  #recordPledge(message: KeeperMessage & { kind: "pledge" }): void {
    const { part, number, from, isGiven, ranForMs } = message;
    const request = this.#requests.find((sent) => sent.number === number);
    if (request === undefined || !isGiven) {
      return;
    }
    const pledges = this.#pledges.get(part) ?? new Map<string, JointPledge>();
    this.#pledges.set(part, pledges);
    const untilMs = request.sentAtMs +
      PLEDGE_SAFETY_FACTOR * this.#options.pledgeMs;
    if (untilMs > (pledges.get(from) ?? NO_PLEDGE).untilMs) {
      const nowMs = this.#options.clock.readMs();
      const lastStartMs = ranForMs === undefined
        ? Infinity
        : nowMs - ranForMs * MIN_CLOCK_RATE;
      pledges.set(from, { untilMs, lastStartMs });
    }
  }

  #answerReplaced(message: KeeperMessage & { kind: "keeper-replaced" }): void {
    const { claim, getKeeper, send } = this.#options;
    const { part, term, from } = message;
    const keeper = getKeeper(part);
    if (keeper !== undefined && keeper.term >= term) {
      return;
    }
    keeper?.stop("replaced");
    // The store may have accepted a claim of this instance whose answer is
    // still in flight.
    this.#recordReplacement(part, term);
    send(from, {
      kind: "keeper-stopped",
      from: claim.instance,
      incarnation: claim.incarnation,
      part,
      term,
      isClean: keeper?.isClean ?? true,
    });
  }
}
