/**
 * Holds what all instances together send to a target to the limit that it names
 * in its answers.
 *
 * Load pattern: a target in need takes two requests a second, and a dozen
 * instances, or a thousand, have requests for it. A part of two a second for
 * each would let all of them send at once, or keep some from sending at all. So
 * one instance, drawn from the target's name, gives out the turns, and the others
 * ask it for each send. Where it does not answer, the next one drawn does.
 *
 * That a target has a limit is told to all at once, and by the instance that
 * gives out its turns again and again.
 */
import { isServed, type SendOutcome } from "@lentilspur/ports/request_sender";
import { sleepUntilTick } from "@lentilspur/ports/tick";
import {
  PacedQuota,
  type QuotaDecision,
} from "@lentilspur/routing/paced_quota";
import { formatLife, type TargetLife } from "@lentilspur/routing/target_life";
import type { Member } from "./members.ts";
import type { PeerMessage } from "./peer_message.ts";
import type { PeerOptions } from "./peer_options.ts";
import { splitReports } from "./report_batches.ts";

type LimitsMessage = PeerMessage & { readonly kind: "limits" };
type QuotaRequest = PeerMessage & { readonly kind: "quota-request" };
type QuotaAnswer = PeerMessage & { readonly kind: "quota" };

/** What instances tell each other of one target's limit. */
export interface LimitReport {
  /** Of `formatLife`. */
  readonly life: string;
  /** Requests a second; null where it names none any more. */
  readonly perSecond: number | null;
  /** Since it said so, in milliseconds. */
  readonly ageMs: number;
}

export interface LimitEvent {
  readonly kind: "target-limit";
  readonly targetId: string;
  readonly perSecond: number | null;
}

export interface TargetLimitsOptions extends PeerOptions {
  readonly findMember: (instance: string) => Member | undefined;

  readonly observe: (event: LimitEvent) => void;
}

interface KnownLimit {
  readonly perSecond: number | null;
  /** When it was named last; own clock. */
  readonly atMs: number;
}

interface WantedTurn {
  readonly life: string;
  readonly maxWaitMs: number;
  /** Of the limit, what the one that decides may give out. */
  readonly share: number;
}

const TICK_MS = 1_000;
/**
 * What the second one drawn gives out: the first may go on for those that reach
 * it, and targets bear half as much again for some seconds.
 */
const STAND_IN_SHARE = 0.5;
/** A target that nobody has heard of for this long is asked without a limit. */
const VALID_MS = 60_000;
/** Two instances' words of the same answer differ by less. */
const SAME_WORD_MS = 50;
/** An answer without a limit lifts it if none has named it for this long. */
const LIFTED_MS = 1_500;
/** A limit that differs by less than this share is not worth telling at once. */
const MIN_CHANGE = 0.1;
/** The way there and back takes 3 to 6 ms; a busy process some 40 ms. */
const ANSWER_MS = 80;
/** What a caller is told where nobody gives out turns. */
const NO_DECIDER_RETRY_MS = 300;
/** What fits into one datagram. */
const REPORTS_PER_MESSAGE = 8;
const FREE: QuotaDecision = { kind: "granted", waitMs: 0 };

export class TargetLimits {
  readonly #options: TargetLimitsOptions;
  readonly #limits = new Map<string, KnownLimit>();
  /** Of the targets whose turns this instance gives out. */
  readonly #quotas = new Map<string, PacedQuota>();
  /** Until when no turn is to be had, as far as is known here. */
  readonly #closedUntilMs = new Map<string, number>();
  readonly #asked = new Map<number, (decision: QuotaDecision) => void>();
  #lastNumber = 0;

  constructor(options: TargetLimitsOptions) {
    this.#options = options;
  }

  /** Targets that name a limit now. */
  get count(): number {
    return [...this.#limits.values()]
      .filter(({ perSecond }) => perSecond !== null).length;
  }

  /** Requests a second that a target takes; undefined where it names no limit. */
  getPerSecond(target: TargetLife): number | undefined {
    return this.#limits.size === 0
      ? undefined
      : this.#findPerSecond(formatLife(target));
  }

  /** A turn to send to the target, if there is one within `maxWaitMs`. */
  async claim(target: TargetLife, maxWaitMs: number): Promise<QuotaDecision> {
    const { clock, duties } = this.#options;
    const life = formatLife(target);
    if (this.#findPerSecond(life) === undefined) {
      return FREE;
    }
    const closedMs = (this.#closedUntilMs.get(life) ?? 0) - clock.readMs();
    if (closedMs > maxWaitMs) {
      return { kind: "refused", retryAfterMs: closedMs };
    }
    for (const [place, name] of duties.chooseDeciders(life).entries()) {
      const share = place === 0 ? 1 : STAND_IN_SHARE;
      const decision = await this.#fetchTurn(name, { life, maxWaitMs, share });
      if (decision !== undefined) {
        this.#recordDecision(life, decision);
        return decision;
      }
    }
    return { kind: "refused", retryAfterMs: NO_DECIDER_RETRY_MS };
  }

  recordEnd(target: TargetLife, outcome: SendOutcome, sentAtMs: number): void {
    if (outcome.kind === "unknown") {
      return;
    }
    const { limitPerSecond } = outcome;
    if (limitPerSecond !== undefined) {
      this.#recordNamed(target, limitPerSecond);
    } else if (isServed(outcome)) {
      this.#recordUnnamed(target, sentAtMs);
    }
  }

  apply(message: LimitsMessage): void {
    const { duties, send } = this.#options;
    const news = message.limits.filter((report) => this.#merge(report));
    if (news.length > 0) {
      const to = duties.listToForward(message.dataCentre);
      send(to, { ...message, limits: news });
    }
  }

  /** Another instance asks for a turn. */
  answer({ from, number, limit, maxWaitMs, share }: QuotaRequest): void {
    const { instance, findMember, send } = this.#options;
    const asker = findMember(from);
    if (asker === undefined) {
      return;
    }
    this.#merge(limit);
    const decision = this.#decide({ life: limit.life, maxWaitMs, share });
    send([asker], { kind: "quota", from: instance, number, decision });
  }

  applyAnswer({ number, decision }: QuotaAnswer): void {
    this.#asked.get(number)?.(decision);
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.#limits.size > 0) {
        this.#expire();
        this.#sendDecided();
      }
      await sleepUntilTick(this.#options.clock, TICK_MS, signal);
    }
  }

  /** Undefined where no answer comes. */
  #fetchTurn(
    name: string,
    wanted: WantedTurn,
  ): Promise<QuotaDecision | undefined> {
    const { instance: from, clock, findMember, send } = this.#options;
    if (name === from) {
      return Promise.resolve(this.#decide(wanted));
    }
    const member = findMember(name);
    const { life, ...terms } = wanted;
    const limit = this.#describe(life);
    if (member === undefined || limit === undefined) {
      return Promise.resolve(undefined);
    }
    const number = ++this.#lastNumber;
    const message: QuotaRequest = {
      kind: "quota-request",
      from,
      number,
      limit,
      ...terms,
    };
    const over = new AbortController();
    return new Promise((resolve) => {
      const settle = (decision: QuotaDecision | undefined): void => {
        this.#asked.delete(number);
        over.abort();
        resolve(decision);
      };
      this.#asked.set(number, settle);
      send([member], message);
      void clock.sleep(ANSWER_MS, over.signal).then(() => settle(undefined));
    });
  }

  /** Gives out a turn as the one that decides. */
  #decide({ life, maxWaitMs, share }: WantedTurn): QuotaDecision {
    const perSecond = this.#findPerSecond(life);
    if (perSecond === undefined) {
      return FREE;
    }
    const quota = this.#quotas.get(life) ?? new PacedQuota();
    this.#quotas.set(life, quota);
    const { clock } = this.#options;
    return quota.claim(share * perSecond, maxWaitMs, clock.readMs());
  }

  #recordDecision(life: string, decision: QuotaDecision): void {
    if (decision.kind === "refused") {
      const { clock } = this.#options;
      const untilMs = clock.readMs() + decision.retryAfterMs;
      this.#closedUntilMs.set(life, untilMs);
    }
  }

  #recordNamed(target: TargetLife, perSecond: number): void {
    const { clock, instance, duties, findMember } = this.#options;
    const life = formatLife(target);
    const before = this.#findPerSecond(life) ?? null;
    if (isChange(before, perSecond)) {
      this.#setLimit(target, perSecond);
      return;
    }
    this.#limits.set(life, { perSecond, atMs: clock.readMs() });
    // Whoever gives out the turns tells the others that it holds.
    const [decider = instance] = duties.chooseDeciders(life);
    const member = decider === instance ? undefined : findMember(decider);
    this.#send(member === undefined ? [] : [member], [life]);
  }

  #recordUnnamed(target: TargetLife, sentAtMs: number): void {
    if (this.#limits.size === 0) {
      return;
    }
    const known = this.#limits.get(formatLife(target));
    if (
      known !== undefined && known.perSecond !== null &&
      sentAtMs > known.atMs + LIFTED_MS
    ) {
      this.#setLimit(target, null);
    }
  }

  /** This instance is the first to see a change; all are told. */
  #setLimit(target: TargetLife, perSecond: number | null): void {
    const { clock, duties, observe } = this.#options;
    const life = formatLife(target);
    this.#limits.set(life, { perSecond, atMs: clock.readMs() });
    observe({ kind: "target-limit", targetId: target.id, perSecond });
    this.#send(duties.listRelays(), [life]);
  }

  #findPerSecond(life: string): number | undefined {
    return this.#limits.get(life)?.perSecond ?? undefined;
  }

  /** True where it was news. */
  #merge({ life, perSecond, ageMs }: LimitReport): boolean {
    const atMs = this.#options.clock.readMs() - ageMs;
    const known = this.#limits.get(life);
    if (known !== undefined && atMs <= known.atMs + SAME_WORD_MS) {
      return false;
    }
    this.#limits.set(life, { perSecond, atMs });
    return isChange(known?.perSecond ?? null, perSecond);
  }

  #expire(): void {
    const oldestMs = this.#options.clock.readMs() - VALID_MS;
    for (const [life, { atMs }] of this.#limits) {
      if (atMs < oldestMs) {
        this.#limits.delete(life);
        this.#quotas.delete(life);
        this.#closedUntilMs.delete(life);
      }
    }
  }

  #sendDecided(): void {
    const { instance, duties } = this.#options;
    const decided = [...this.#limits.keys()]
      .filter((life) => duties.chooseDeciders(life)[0] === instance);
    this.#send(duties.listRelays(), decided);
  }

  #send(to: readonly Member[], lives: readonly string[]): void {
    const { instance: from, dataCentre, send } = this.#options;
    const reports = lives.map((life) => this.#describe(life))
      .filter((report) => report !== undefined);
    for (const limits of splitReports(reports, REPORTS_PER_MESSAGE)) {
      send(to, { kind: "limits", from, dataCentre, limits });
    }
  }

  #describe(life: string): LimitReport | undefined {
    const known = this.#limits.get(life);
    if (known === undefined) {
      return undefined;
    }
    const { perSecond, atMs } = known;
    const ageMs = Math.round(this.#options.clock.readMs() - atMs);
    return { life, perSecond, ageMs };
  }
}

function isChange(before: number | null, after: number | null): boolean {
  return before === null || after === null
    ? before !== after
    : Math.abs(after - before) > MIN_CHANGE * before;
}
