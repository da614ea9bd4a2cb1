/**
 * Holds what all instances together send to a target to what it takes: to the
 * limit that it names, and while it is cold to what its service allows.
 *
 * Load pattern: a target in need takes two requests a second, one that has just
 * started five, and a dozen instances, or a thousand, have requests for it. A
 * part for each would let all of them send at once, or keep some from sending at
 * all. So one instance, drawn from the target's name, gives out the turns, and
 * the others ask it for each send. Where it does not answer, the next one drawn
 * does.
 */
import {
  type PermitDecision,
  RequestPacer,
} from "@lentilspur/routing/request_pacer";
import {
  formatTargetIncarnation,
  type TargetIncarnation,
} from "@lentilspur/routing/target_incarnation";
import type { Member } from "../members/members.ts";
import type { PeerMessage } from "../peers/peer_message.ts";
import type { PeerOptions } from "../peers/peer_options.ts";
import type { TargetLimits } from "./target_limits.ts";

type QuotaRequest = PeerMessage & { readonly kind: "quota-request" };
type QuotaAnswer = PeerMessage & { readonly kind: "quota" };

export interface TargetRateLimiterOptions extends PeerOptions {
  readonly limits: TargetLimits;
  readonly findMember: (instance: string) => Member | undefined;
  /** Requests a second that a target takes while it is cold; else undefined. */
  readonly getColdPerSecond: (target: TargetIncarnation) => number | undefined;
}

interface PermitRequest {
  readonly life: string;
  readonly coldPerSecond: number | null;
  readonly maxWaitMs: number;
  /** Of what the target takes, what the one that decides may give out. */
  readonly share: number;
}

/**
 * What the second one drawn gives out: the first may go on for those that reach
 * it, and targets bear half as much again for some seconds.
 */
const STAND_IN_SHARE = 0.5;
/** The way there and back takes 3 to 6 ms; a busy process some 40 ms. */
const ANSWER_MS = 80;
/** What a caller is told where nobody gives out turns. */
const NO_DECIDER_RETRY_MS = 300;
/** A quota that nobody has used for this long is as good as a new one. */
const UNUSED_MS = 10_000;
const FREE: PermitDecision = { kind: "granted", waitMs: 0 };

export class TargetRateLimiter {
  readonly #options: TargetRateLimiterOptions;
  /** Of the targets whose turns this instance gives out. */
  readonly #quotas = new Map<string, RequestPacer>();
  /** Until when no turn is to be had, as far as is known here. */
  readonly #closedUntilMs = new Map<string, number>();
  readonly #pendingRequests = new Map<
    number,
    (decision: PermitDecision) => void
  >();
  #lastNumber = 0;

  constructor(options: TargetRateLimiterOptions) {
    this.#options = options;
  }

  /** Requests a second that a target takes; undefined where it takes any number. */
  getLimitPerSecond(target: TargetIncarnation): number | undefined {
    const { limits, getColdPerSecond } = this.#options;
    return findLowest(
      limits.getLimitPerSecond(target),
      getColdPerSecond(target),
    );
  }

  /** How long a turn will have to be waited for, as far as is known here. */
  estimateWaitMs(target: TargetIncarnation): number {
    if (this.#closedUntilMs.size === 0) {
      return 0;
    }
    const untilMs = this.#closedUntilMs.get(formatTargetIncarnation(target)) ??
      -Infinity;
    return Math.max(0, untilMs - this.#options.clock.readMs());
  }

  /** A turn to send to the target, if there is one within `maxWaitMs`. */
  async claim(
    target: TargetIncarnation,
    maxWaitMs: number,
  ): Promise<PermitDecision> {
    if (this.getLimitPerSecond(target) === undefined) {
      return FREE;
    }
    const closedMs = this.estimateWaitMs(target);
    if (closedMs > maxWaitMs) {
      return { kind: "refused", retryAfterMs: closedMs };
    }
    const { duties, getColdPerSecond } = this.#options;
    const life = formatTargetIncarnation(target);
    const coldPerSecond = getColdPerSecond(target) ?? null;
    for (const [place, name] of duties.chooseCoordinators(life).entries()) {
      const share = place === 0 ? 1 : STAND_IN_SHARE;
      const wanted = { life, coldPerSecond, maxWaitMs, share };
      const decision = await this.#fetchPermit(name, wanted);
      if (decision !== undefined) {
        this.#recordDecision(life, decision);
        return decision;
      }
    }
    return { kind: "refused", retryAfterMs: NO_DECIDER_RETRY_MS };
  }

  /** Another instance asks for a turn. */
  handleRequest({ from, number, limit, ...wanted }: QuotaRequest): void {
    const { instance, limits, findMember, send } = this.#options;
    const asker = findMember(from);
    if (asker === undefined) {
      return;
    }
    if (limit !== null) {
      limits.merge(limit);
    }
    const decision = this.#decide(wanted);
    send([asker], { kind: "quota", from: instance, number, decision });
  }

  handleResponse({ number, decision }: QuotaAnswer): void {
    this.#pendingRequests.get(number)?.(decision);
  }

  /** Forgets what is of no use any more. */
  expire(): void {
    const nowMs = this.#options.clock.readMs();
    for (const [life, untilMs] of this.#closedUntilMs) {
      if (untilMs < nowMs) {
        this.#closedUntilMs.delete(life);
      }
    }
    for (const [life, quota] of this.#quotas) {
      if (quota.dueMs < nowMs - UNUSED_MS) {
        this.#quotas.delete(life);
      }
    }
  }

  /** Undefined where no answer comes. */
  #fetchPermit(
    name: string,
    wanted: PermitRequest,
  ): Promise<PermitDecision | undefined> {
    const { instance: from, clock, limits, findMember, send } = this.#options;
    if (name === from) {
      return Promise.resolve(this.#decide(wanted));
    }
    const member = findMember(name);
    if (member === undefined) {
      return Promise.resolve(undefined);
    }
    const number = ++this.#lastNumber;
    const message: QuotaRequest = {
      kind: "quota-request",
      from,
      number,
      limit: limits.describe(wanted.life) ?? null,
      ...wanted,
    };
    const over = new AbortController();
    return new Promise((resolve) => {
      const settle = (decision: PermitDecision | undefined): void => {
        this.#pendingRequests.delete(number);
        over.abort();
        resolve(decision);
      };
      this.#pendingRequests.set(number, settle);
      send([member], message);
      void clock.sleep(ANSWER_MS, over.signal).then(() => settle(undefined));
    });
  }

  /** Gives out a turn as the one that decides. */
  #decide(
    { life, coldPerSecond, maxWaitMs, share }: PermitRequest,
  ): PermitDecision {
    const { clock, limits } = this.#options;
    const perSecond = findLowest(
      limits.findLimitPerSecond(life),
      coldPerSecond ?? undefined,
    );
    if (perSecond === undefined) {
      return FREE;
    }
    const quota = this.#quotas.get(life) ?? new RequestPacer();
    this.#quotas.set(life, quota);
    return quota.reserve(share * perSecond, maxWaitMs, clock.readMs());
  }

  #recordDecision(life: string, decision: PermitDecision): void {
    const nowMs = this.#options.clock.readMs();
    switch (decision.kind) {
      case "granted":
        if (decision.waitMs > 0) {
          this.#closedUntilMs.set(life, nowMs + decision.waitMs);
        }
        return;
      case "refused":
        this.#closedUntilMs.set(life, nowMs + decision.retryAfterMs);
        return;
    }
  }
}

function findLowest(
  left: number | undefined,
  right: number | undefined,
): number | undefined {
  return left === undefined || right === undefined
    ? left ?? right
    : Math.min(left, right);
}
