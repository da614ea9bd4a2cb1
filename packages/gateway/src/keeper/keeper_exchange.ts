/**
 * What instances tell each other of the keepers of keys, besides what stands in
 * the store: whether a keeper without the store may go on, and whether one that
 * was replaced has stopped.
 *
 * Load pattern: the store serves some instances and turns the keeper away, for
 * 9 s. Without word between them, its successor would have to wait for as long
 * as the keeper might act on its own, and each key that moves meanwhile would
 * be unserved for a hold: a quarter of all requests were refused for 23 s.
 *
 * Everything is sent again until it is answered; a datagram may be lost.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type {
  KeeperClaim,
  UnresolvedKeeper,
} from "@lentilspur/ownership/keeper_records";

export type KeeperMessage =
  | {
    /** A keeper without the store asks to be let act on. */
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
  }
  | {
    /** A newer claim stands in the store. */
    readonly kind: "keeper-replaced";
    readonly from: string;
    readonly part: number;
    readonly term: number;
  }
  | {
    /** The sender keeps the partition no more. */
    readonly kind: "keeper-stopped";
    readonly from: string;
    readonly incarnation: string;
    readonly part: number;
    /** Of the claim that it has heard of. */
    readonly term: number;
    /** None of its orders may be carried out any more. */
    readonly isClean: boolean;
  };

/** What changes what this instance believes of keepers. */
export type KeeperExchangeEvent =
  | {
    /** A keeper here is without the store and asks to be let act on. */
    readonly kind: "pledges-asked";
    readonly part: number;
    readonly term: number;
    readonly witnesses: number;
  }
  | {
    /** Another's keeper asked; told when the answer is another than before. */
    readonly kind: "pledge-answered";
    readonly part: number;
    readonly keeper: string;
    readonly term: number;
    readonly isGiven: boolean;
  }
  | {
    /** A keeper before has said that it acts no more. */
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
  /** Whether the store has answered this instance just now. */
  readonly isStoreReachable: () => boolean;
  /** Offset of the newest claim that is known here. */
  readonly getNewestTerm: (part: number) => number;
  readonly getKeeper: (part: number) => OwnKeeper | undefined;
  readonly send: (instance: string, message: KeeperMessage) => void;
  readonly observe: (event: KeeperExchangeEvent) => void;
}

interface StopNotice {
  /** It acts on no claim before this offset any more. */
  readonly term: number;
  readonly isClean: boolean;
  readonly atMs: number;
}

interface Request {
  readonly number: number;
  readonly sentAtMs: number;
}

/** A pledge counts for a little less than it was given for: clocks differ in rate. */
const PLEDGE_SHARE = 0.9;
/** Keepers of one partition whose statements are of use. */
const MAX_STATEMENTS = 8;
/** After a pause of this length a keeper asks anew, which is told of. */
const NEW_REQUEST_MS = 2_000;
/** Requests that may still be answered. */
const MAX_REQUESTS = 20;

export class KeeperExchange {
  readonly #options: KeeperExchangeOptions;
  /** As a keeper: until when each witness lets it act, by partition. */
  readonly #granted = new Map<number, Map<string, number>>();
  readonly #requests: Request[] = [];
  #number = 0;
  /** As a witness: until when it lets the keeper of a partition act. */
  readonly #pledgedUntilMs = new Map<number, number>();
  readonly #askedAtMs = new Map<number, number>();
  /** The last answer, so that only another one is told of. */
  readonly #answered = new Map<number, string>();
  /** As a successor: what keepers before have said. */
  readonly #statements = new Map<number, Map<string, StopNotice>>();
  /** Offset of the newest claim that others have told of, by partition. */
  readonly #replacedBy = new Map<number, number>();

  constructor(options: KeeperExchangeOptions) {
    this.#options = options;
  }

  /** Asks witnesses, for a keeper that the store has not answered for a while. */
  sendPledgeRequests(
    part: number,
    term: number,
    witnesses: readonly string[],
  ): void {
    const { clock, claim, send } = this.#options;
    this.#number++;
    const number = this.#number;
    const sentAtMs = clock.readMs();
    const lastAtMs = this.#requests.at(-1)?.sentAtMs ?? -Infinity;
    if (sentAtMs - lastAtMs > NEW_REQUEST_MS) {
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

  hasPledges(part: number, witnesses: readonly string[]): boolean {
    const nowMs = this.#options.clock.readMs();
    const granted = this.#granted.get(part);
    return witnesses
      .every((witness) => nowMs < (granted?.get(witness) ?? -Infinity));
  }

  /** Until when this instance has let the partition's keeper act; own clock. */
  getPledgedUntilMs(part: number): number {
    return this.#pledgedUntilMs.get(part) ?? -Infinity;
  }

  /** When a keeper last said that it is without the store; own clock. */
  getPledgeRequestedAtMs(part: number): number {
    return this.#askedAtMs.get(part) ?? -Infinity;
  }

  /** Tells a keeper that it has been replaced; it answers how it stands. */
  sendReplaced(instance: string, part: number, term: number): void {
    const { claim: { instance: from }, send } = this.#options;
    send(instance, { kind: "keeper-replaced", from, part, term });
  }

  /** Says of a keeper here that it acts no more, unasked. */
  sendStopped(
    part: number,
    keeper: OwnKeeper,
    instances: readonly string[],
  ): void {
    const { claim: { instance: from, incarnation }, send } = this.#options;
    const { isClean } = keeper;
    const term = keeper.term + 1;
    for (const instance of instances) {
      const kind = "keeper-stopped";
      send(instance, { kind, from, incarnation, part, term, isClean });
    }
  }

  /**
   * What an earlier keeper has said of itself, if it has. What it said of an
   * earlier claim of its own says nothing of this one: taken for that, a keeper
   * that had been replaced, had claimed again and was cut off then passed for
   * stopped, and its keys went to others while it renewed them (1.2 s).
   */
  findStopNotice(
    part: number,
    keeper: UnresolvedKeeper,
  ): StopNotice | undefined {
    const statement = this.#statements.get(part)?.get(keeper.incarnation);
    return statement !== undefined && statement.term > keeper.term
      ? statement
      : undefined;
  }

  /** Whether this instance has said that it acts on no claim before a later one. */
  hasAcceptedReplacement(part: number, term: number): boolean {
    return term < (this.#replacedBy.get(part) ?? -Infinity);
  }

  handle(message: KeeperMessage): void {
    switch (message.kind) {
      case "pledge-request":
        this.#answerRequest(message);
        return;
      case "pledge":
        this.#recordPledge(message);
        return;
      case "keeper-replaced":
        this.#answerReplaced(message);
        return;
      case "keeper-stopped":
        this.#recordStatement(message);
        return;
    }
  }

  /** The first statement of its kind tells when it had stopped at the latest. */
  #recordStatement(message: KeeperMessage & { kind: "keeper-stopped" }): void {
    const { incarnation, isClean, part, term, from: keeper } = message;
    const statements = this.#statements.get(part) ??
      new Map<string, StopNotice>();
    this.#statements.set(part, statements);
    const before = statements.get(incarnation);
    if (before !== undefined && before.term > term) {
      return;
    }
    const nowMs = this.#options.clock.readMs();
    const atMs = before?.term === term ? before.atMs : nowMs;
    if (before?.term !== term || before.isClean !== isClean) {
      const kind = "predecessor-stopped";
      this.#options.observe({ kind, part, keeper, term, isClean });
    }
    statements.set(incarnation, { term, isClean, atMs });
    if (statements.size > MAX_STATEMENTS) {
      statements.delete(statements.keys().next().value!);
    }
  }

  /**
   * Refused by whoever can reach the store: it may claim, and a keeper that the
   * store answers needs no pledge.
   */
  #answerRequest(message: KeeperMessage & { kind: "pledge-request" }): void {
    const {
      clock,
      claim,
      pledgeMs,
      isStoreReachable: hasStore,
      getNewestTerm,
      send,
    } = this.#options;
    const { part, term, number, from } = message;
    const nowMs = clock.readMs();
    this.#askedAtMs.set(part, nowMs);
    const isGiven = !hasStore() && getNewestTerm(part) <= term;
    if (isGiven) {
      this.#pledgedUntilMs.set(part, nowMs + pledgeMs);
    }
    const answer = `${from} ${term} ${isGiven}`;
    if (this.#answered.get(part) !== answer) {
      this.#answered.set(part, answer);
      const kind = "pledge-answered";
      this.#options.observe({ kind, part, keeper: from, term, isGiven });
    }
    const { instance } = claim;
    send(from, { kind: "pledge", from: instance, part, number, isGiven });
  }

  /** Counts from the request's sending, which was before the pledge was made. */
  #recordPledge(message: KeeperMessage & { kind: "pledge" }): void {
    const { part, number, from, isGiven } = message;
    const request = this.#requests.find((one) => one.number === number);
    if (request === undefined || !isGiven) {
      return;
    }
    const granted = this.#granted.get(part) ?? new Map<string, number>();
    this.#granted.set(part, granted);
    const untilMs = request.sentAtMs + PLEDGE_SHARE * this.#options.pledgeMs;
    granted.set(from, Math.max(untilMs, granted.get(from) ?? -Infinity));
  }

  #answerReplaced(message: KeeperMessage & { kind: "keeper-replaced" }): void {
    const { claim, getKeeper, send } = this.#options;
    const { part, term, from } = message;
    const keeper = getKeeper(part);
    if (keeper !== undefined && keeper.term >= term) {
      return;
    }
    keeper?.stop("replaced");
    // An own claim may have been accepted whose answer is still on its way.
    this.#replacedBy.set(
      part,
      Math.max(term, this.#replacedBy.get(part) ?? -Infinity),
    );
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
