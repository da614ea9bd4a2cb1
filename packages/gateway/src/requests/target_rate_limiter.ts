/**
 * Limits the rate at which all instances together send requests to a target: to
 * the limit that the target names, and to the limit of its service while the
 * target is cold.
 *
 * Failure case: an overloaded target accepts two requests per second, or a
 * target that has just started accepts five, and a dozen or a thousand
 * instances have requests for it. If each instance had a part of the limit, all
 * of them could send at the same moment, or some could not send at all.
 *
 * So one instance, the coordinator, grants the permits of a target, and the
 * others request a permit for each send. The coordinator is chosen by a hash of
 * the target's name; if it does not answer, the next instance in the order of
 * hashes takes over.
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

/** Requests a permit from a coordinator. */
type QuotaRequest = PeerMessage & { readonly kind: "quota-request" };
/** Answers a permit request. */
type QuotaResponse = PeerMessage & { readonly kind: "quota" };

export interface TargetRateLimiterOptions extends PeerOptions {
  readonly limits: TargetLimits;
  readonly findMember: (instance: string) => Member | undefined;
  /**
   * Requests per second that a target accepts while it is cold; else undefined.
   */
  readonly getColdPerSecond: (target: TargetIncarnation) => number | undefined;
  /** Called when a permit came too late to be used. */
  readonly onLatePermit: () => void;
}

interface PermitRequest {
  readonly life: string;
  readonly coldPerSecond: number | null;
  readonly maxWaitMs: number;
  /** Share of the target's limit that the coordinator may grant. */
  readonly share: number;
}

/**
 * Share of the limit that the second coordinator grants. The first one may
 * still serve the instances that reach it, and targets tolerate half as much
 * again as their limit for some seconds.
 */
const FALLBACK_SHARE = 0.5;
/**
 * Timeout of a permit request. A round trip takes 3 to 6 ms, or some 40 ms if a
 * process is busy.
 */
const RESPONSE_TIMEOUT_MS = 80;
/** The pace allows a burst of permits that are due within this time. */
const MAX_PERMIT_DELAY_MS = 500;
/** Delay after which a caller may retry if no coordinator answers. */
const NO_COORDINATOR_RETRY_MS = 300;
/**
 * A pacer that has been unused for this long has the same state as a new one,
 * so it can be removed.
 */
const UNUSED_PACER_TTL_MS = 10_000;
const UNLIMITED: PermitDecision = { kind: "granted", waitMs: 0 };

export class TargetRateLimiter {
  readonly #options: TargetRateLimiterOptions;
  /** Pacers of the targets for which this instance grants permits. */
  readonly #pacers = new Map<string, RequestPacer>();
  /** Until when no permit is available, as far as this instance knows. */
  readonly #unavailableUntilMs = new Map<string, number>();
  readonly #pendingRequests = new Map<
    number,
    (decision: PermitDecision) => void
  >();
  #lastRequestNumber = 0;

  constructor(options: TargetRateLimiterOptions) {
    this.#options = options;
  }

  /**
   * Requests per second that a target accepts; undefined if it has no limit.
   */
  getLimitPerSecond(target: TargetIncarnation): number | undefined {
    const { limits, getColdPerSecond } = this.#options;
    return findLowest(
      limits.getLimitPerSecond(target),
      getColdPerSecond(target),
    );
  }

  /** Estimates the wait for a permit from what this instance knows. */
  estimateWaitMs(target: TargetIncarnation): number {
    if (this.#unavailableUntilMs.size === 0) {
      return 0;
    }
    const untilMs =
      this.#unavailableUntilMs.get(formatTargetIncarnation(target)) ??
        -Infinity;
    return Math.max(0, untilMs - this.#options.clock.readMs());
  }

  /**
   * Requests a permit to send to the target and waits until it is due, for
   * `maxWaitMs` at most. A permit that is late, because this process stood still,
   * is not used: the permits of a whole pause would be used at once.
   */
  async waitForPermit(
    target: TargetIncarnation,
    maxWaitMs: number,
    signal: AbortSignal,
  ): Promise<PermitDecision> {
    const { clock } = this.#options;
    const latestMs = clock.readMs() + maxWaitMs;
    for (;;) {
      const requestedAtMs = clock.readMs();
      const leftMs = Math.max(0, latestMs - requestedAtMs);
      const decision = await this.#claim(target, leftMs);
      if (decision.kind === "refused") {
        return decision;
      }
      if (decision.waitMs > 0) {
        await clock.sleep(decision.waitMs, signal);
      }
      const nowMs = clock.readMs();
      if (nowMs - requestedAtMs - decision.waitMs < MAX_PERMIT_DELAY_MS) {
        return decision;
      }
      this.#options.onLatePermit();
      if (nowMs >= latestMs || signal.aborted) {
        return { kind: "refused", retryAfterMs: this.estimateWaitMs(target) };
      }
    }
  }

  async #claim(
    target: TargetIncarnation,
    maxWaitMs: number,
  ): Promise<PermitDecision> {
    if (this.getLimitPerSecond(target) === undefined) {
      return UNLIMITED;
    }
    const waitMs = this.estimateWaitMs(target);
    if (waitMs > maxWaitMs) {
      return { kind: "refused", retryAfterMs: waitMs };
    }
    const { duties, getColdPerSecond } = this.#options;
    const incarnation = formatTargetIncarnation(target);
    const coldPerSecond = getColdPerSecond(target) ?? null;
    for (
      const [rank, coordinator] of duties.chooseCoordinators(incarnation)
        .entries()
    ) {
      const share = rank === 0 ? 1 : FALLBACK_SHARE;
      const request = { life: incarnation, coldPerSecond, maxWaitMs, share };
      const decision = await this.#fetchPermit(coordinator, request);
      if (decision !== undefined) {
        this.#recordDecision(incarnation, decision);
        return decision;
      }
    }
    return { kind: "refused", retryAfterMs: NO_COORDINATOR_RETRY_MS };
  }

  /** Answers another instance's request for a permit. */
  handleRequest({ from, number, limit, ...request }: QuotaRequest): void {
    const { instance, limits, findMember, send } = this.#options;
    const sender = findMember(from);
    if (sender === undefined) {
      return;
    }
    if (limit !== null) {
      limits.merge(limit);
    }
    const decision = this.#decide(request);
    send([sender], { kind: "quota", from: instance, number, decision });
  }

  handleResponse({ number, decision }: QuotaResponse): void {
    this.#pendingRequests.get(number)?.(decision);
  }

  /** Removes waits that are over and pacers that are unused. */
  expire(): void {
    const nowMs = this.#options.clock.readMs();
    for (const [incarnation, untilMs] of this.#unavailableUntilMs) {
      if (untilMs < nowMs) {
        this.#unavailableUntilMs.delete(incarnation);
      }
    }
    for (const [incarnation, pacer] of this.#pacers) {
      if (pacer.dueMs < nowMs - UNUSED_PACER_TTL_MS) {
        this.#pacers.delete(incarnation);
      }
    }
  }

  /** Resolves to undefined if no response arrives in time. */
  #fetchPermit(
    coordinator: string,
    request: PermitRequest,
  ): Promise<PermitDecision | undefined> {
    const { instance: from, clock, limits, findMember, send } = this.#options;
    if (coordinator === from) {
      return Promise.resolve(this.#decide(request));
    }
    const member = findMember(coordinator);
    if (member === undefined) {
      return Promise.resolve(undefined);
    }
    const number = ++this.#lastRequestNumber;
    const message: QuotaRequest = {
      kind: "quota-request",
      from,
      number,
      limit: limits.createReport(request.life) ?? null,
      ...request,
    };
    const timeout = new AbortController();
    return new Promise((resolve) => {
      const complete = (decision: PermitDecision | undefined): void => {
        this.#pendingRequests.delete(number);
        timeout.abort();
        resolve(decision);
      };
      this.#pendingRequests.set(number, complete);
      send([member], message);
      void clock.sleep(RESPONSE_TIMEOUT_MS, timeout.signal)
        .then(() => clock.waitForArrivals())
        .then(() => complete(undefined));
    });
  }

  /** Grants or refuses a permit as the coordinator. */
  #decide(
    { life: incarnation, coldPerSecond, maxWaitMs, share }: PermitRequest,
  ): PermitDecision {
    const { clock, limits } = this.#options;
    const perSecond = findLowest(
      limits.findLimitPerSecond(incarnation),
      coldPerSecond ?? undefined,
    );
    if (perSecond === undefined) {
      return UNLIMITED;
    }
    const pacer = this.#pacers.get(incarnation) ?? new RequestPacer();
    this.#pacers.set(incarnation, pacer);
    return pacer.reserve(share * perSecond, maxWaitMs, clock.readMs());
  }

  #recordDecision(incarnation: string, decision: PermitDecision): void {
    const nowMs = this.#options.clock.readMs();
    switch (decision.kind) {
      case "granted":
        if (decision.waitMs > 0) {
          this.#unavailableUntilMs.set(incarnation, nowMs + decision.waitMs);
        }
        return;
      case "refused":
        this.#unavailableUntilMs.set(
          incarnation,
          nowMs + decision.retryAfterMs,
        );
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
