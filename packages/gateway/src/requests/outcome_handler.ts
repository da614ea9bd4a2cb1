/**
 * Decides from the outcome of a send whether the request is answered, sent
 * again or failed. A request is sent again only on proof that it has not run,
 * or if its route is idempotent.
 */
import type { Clock, Random } from "@lentilspur/ports/clock";
import { isUnsent, type SendOutcome } from "@lentilspur/ports/request_sender";
import type { ErrorKind } from "@lentilspur/outcomes/error_kinds";
import type { RoutingTarget } from "@lentilspur/ports/routing_table";
import { computeRepeatPauseMs } from "@lentilspur/routing/owner_repeat";
import { computeKeptShare } from "@lentilspur/routing/retry_priority";
import type { SuspectDecision } from "@lentilspur/routing/crash_suspects";
import type { PlaceDecision } from "@lentilspur/routing/service_places";
import type { FinalResponse } from "../entry/caller_request.ts";
import type { Catalogue } from "../views/catalogue.ts";
import {
  type AttemptResult,
  computeRetryAfterMs,
  countArrivals,
  countRuns,
  createFailure,
  type RequestContext,
  setRefusal,
} from "./request_context.ts";
import { computeLatestFirstStart, computeLatestStart } from "./latest_start.ts";
import type { ServiceRegistry } from "./service_registry.ts";

/** Delay after which the caller of a refused request may retry. */
export const REFUSED_RETRY_MS = 100;

/** The same if no path to a target works; lost paths are probed as often. */
const NO_PATH_RETRY_MS = 250;

/** Sends of one request that may reach targets, refused ones included. */
const MAX_SENDS = 5;

/** The end of one send. */
export interface SendResult {
  /** Undefined if another instance sent the request and was lost. */
  readonly target: Pick<RoutingTarget, "id"> | undefined;
  /** Fencing token under which the target owns the key, if there is one. */
  readonly token: number | undefined;
  readonly outcome: SendOutcome;
}

export interface OutcomeHandlerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly services: ServiceRegistry;
  readonly catalogue: Catalogue;
}

export class OutcomeHandler {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #services: ServiceRegistry;
  readonly #catalogue: Catalogue;

  constructor({ clock, random, services, catalogue }: OutcomeHandlerOptions) {
    this.#clock = clock;
    this.#random = random;
    this.#services = services;
    this.#catalogue = catalogue;
  }

  handle(
    context: RequestContext,
    { target, token, outcome }: SendResult,
  ): AttemptResult {
    switch (outcome.kind) {
      case "answered":
        return { kind: "done", response: outcome };
      case "not-run":
        return outcome.cause === "not-owner" && target !== undefined &&
            token !== undefined
          ? this.#handleNotOwner(context, { target, token })
          : this.#handleNotRun(context, { target, token, outcome });
      case "unknown":
        return this.#handleUnknown(context, target, outcome);
    }
  }

  #handleNotRun(
    context: RequestContext,
    { target, token, outcome }: SendResult & {
      readonly outcome: SendOutcome & { readonly kind: "not-run" };
    },
  ): AttemptResult {
    const backoffMs = token === undefined ? 0 : outcome.backoffMs ?? 0;
    const isUnreachable = isUnsent(outcome);
    context.unreachableSends += isUnreachable ? 1 : 0;
    context.refusedSends += isUnreachable ? 0 : 1;
    setRefusal(
      context,
      isUnreachable ? "target-unreachable" : "target-refused",
      {
        message: outcome.message,
        retryAfterMs: Math.max(REFUSED_RETRY_MS, backoffMs),
      },
    );
    if (this.#isTooLate(context, backoffMs)) {
      return { kind: "done", response: this.createFinalFailure(context) };
    }
    if (target !== undefined) {
      context.excludedTargets.add(target.id);
    }
    // A request that could not be sent adds no load, so it needs no retry
    // budget and does not count towards the route's `maxAttempts`.
    if (context.heldRetry === null) {
      context.retryClaim = undefined;
    }
    if (isUnreachable) {
      return { kind: "again", pauseMs: 0 };
    }
    const pauseMs = token === undefined
      ? this.#findOtherTargetPauseMs(context)
      : backoffMs > 0
      ? 0
      : this.#computeOwnerPauseMs(context, { target, outcome });
    return pauseMs !== undefined && this.claimRetry(context)
      ? { kind: "again", pauseMs }
      : { kind: "done", response: this.createFinalFailure(context) };
  }

  /** A request that any target may run is sent to another one, if there is one. */
  #findOtherTargetPauseMs(
    { service, excludedTargets }: RequestContext,
  ): number | undefined {
    return this.#services.hasOtherTarget(service, excludedTargets)
      ? 0
      : undefined;
  }

  /**
   * Computes the pause before a request is sent again to the owner of its key.
   * Undefined if that is no use, or the request could not end in time.
   */
  #computeOwnerPauseMs(
    context: RequestContext,
    { target, outcome }: {
      readonly target: Pick<RoutingTarget, "id"> | undefined;
      readonly outcome: SendOutcome & { readonly kind: "not-run" };
    },
  ): number | undefined {
    const places = target === undefined
      ? undefined
      : this.#catalogue.getTarget(target.id)?.places;
    const serviceMs = this.#services.getAverageServiceMs(context.service) ?? 0;
    const pauseMs = computeRepeatPauseMs({
      refusals: context.refusedSends,
      isFull: (outcome.load?.running ?? 0) >= (places ?? Infinity),
      serviceMs,
    }, this.#random);
    const startMs = this.#clock.readMs() + (pauseMs ?? 0);
    return startMs < computeLatestStart(context, serviceMs)
      ? pauseMs
      : undefined;
  }

  /**
   * Whether a request is better refused than sent after a pause: its caller can
   * reach another instance, which the target may not have asked for a pause.
   */
  #isTooLate(context: RequestContext, pauseMs: number): boolean {
    const serviceMs = this.#services.getAverageServiceMs(context.service) ?? 0;
    const latestStartMs = computeLatestFirstStart(context, serviceMs);
    return pauseMs > 0 && this.#clock.readMs() + pauseMs > latestStartMs;
  }

  /**
   * Lets the request wait for another owner or grant of its key. It is sent
   * again, within the retry budget, only if one becomes known.
   */
  #handleNotOwner(
    context: RequestContext,
    { target, token }: {
      readonly target: Pick<RoutingTarget, "id">;
      readonly token: number;
    },
  ): AttemptResult {
    setRefusal(context, "target-refused", {
      message: `Target "${target.id}" does not hold the key`,
      retryAfterMs: REFUSED_RETRY_MS,
    });
    context.refusedSends++;
    if (!maySendAgain(context)) {
      return { kind: "done", response: this.createFinalFailure(context) };
    }
    context.refusingOwner = { targetId: target.id, token };
    return { kind: "again", pauseMs: 0 };
  }

  #handleUnknown(
    context: RequestContext,
    target: Pick<RoutingTarget, "id"> | undefined,
    outcome: SendOutcome & { readonly kind: "unknown" },
  ): AttemptResult {
    context.mayHaveRun = true;
    if (outcome.cause !== "silent" && target !== undefined) {
      context.excludedTargets.add(target.id);
    }
    const mayRetry = context.route.idempotent &&
      outcome.cause !== "cancelled" && this.#isInTime(context) &&
      this.claimRetry(context);
    if (mayRetry) {
      return { kind: "again", pauseMs: 0 };
    }
    const failure = outcome.cause === "cancelled"
      ? "caller-left"
      : outcome.cause === "silent"
      ? "answer-late"
      : "answer-lost";
    return { kind: "done", response: createFailure(failure, outcome.message) };
  }

  /** Whether a further send can usually be answered before the deadline. */
  #isInTime({ service, deadlineAtMs, heldRetry }: RequestContext): boolean {
    if (heldRetry !== null) {
      // The last send was given up for the next one.
      return true;
    }
    const serviceMs = this.#services.getAverageServiceMs(service) ?? 0;
    return this.#clock.readMs() + serviceMs < deadlineAtMs;
  }

  /** Creates the final response of a request that another instance refused. */
  createRefusedResponse(context: RequestContext, refused: {
    readonly failure: ErrorKind;
    readonly message: string;
    readonly retryAfterMs?: number;
  }): FinalResponse {
    if (context.mayHaveRun) {
      return this.createFinalFailure(context);
    }
    const { failure, message, retryAfterMs } = refused;
    return createFailure(failure, message, retryAfterMs);
  }

  /** Creates the final response of a request that no instance could send. */
  createNoPathResponse(context: RequestContext): FinalResponse {
    setRefusal(context, "target-unreachable", {
      message: "No instance that was asked reaches a target for the request",
      retryAfterMs: NO_PATH_RETRY_MS,
    });
    return this.createFinalFailure(context);
  }

  /** Creates the final response of a request that gets no place. */
  createNoPlaceResponse(
    context: RequestContext,
    decision: PlaceDecision & { readonly kind: "refused" },
  ): FinalResponse {
    if (context.mayHaveRun) {
      return createFailure(
        "answer-lost",
        "The answer was lost, and no other target has a free place",
      );
    }
    const retryAfterMs = computeRetryAfterMs(
      context,
      decision.retryAfterMs,
      this.#clock.readMs(),
    );
    switch (decision.reason) {
      case "no-target":
        return context.excludedTargets.size > 0
          ? this.createFinalFailure(context)
          : createFailure(
            "no-target",
            this.#describeNoTarget(context.service),
            retryAfterMs,
          );
      case "backed-off":
        return createFailure(
          "target-refused",
          "Every target that may run the request has asked for a pause",
          retryAfterMs,
        );
      case "path-lost":
      case "owner-silent":
        return createFailure(
          "target-unreachable",
          "The owner of the key does not answer",
          retryAfterMs,
        );
      case "overloaded":
      case "waited-too-long":
        return createFailure(
          "overloaded",
          `No place was free in time: ${decision.reason}`,
          retryAfterMs,
        );
    }
  }

  #describeNoTarget(service: string): string {
    const evacuated = this.#catalogue.listEvacuated();
    const suffix = evacuated.length === 0
      ? ""
      : `; evacuated data centres: ${evacuated.join(", ")}`;
    return `Service "${service}" has no target to send to${suffix}`;
  }

  /** Creates the final response of a request that has crashed its targets. */
  createQuarantineResponse(
    context: RequestContext,
    { crashes, retryAfterMs }: SuspectDecision & {
      readonly kind: "quarantined";
    },
  ): FinalResponse {
    const message = `${crashes} targets crashed while they ran the request`;
    return context.mayHaveRun
      ? createFailure("answer-lost", message)
      : createFailure("quarantined", message, retryAfterMs);
  }

  /**
   * Creates the final response of a request whose only trial was refused or got
   * no response.
   */
  createTrialResponse(context: RequestContext): FinalResponse {
    return context.mayHaveRun
      ? createFailure("answer-lost", "The answer was lost again")
      : this.createFinalFailure(context);
  }

  /**
   * Excludes a target at its rate limit, or fails the request if it owns the
   * key.
   */
  handleOverLimit(context: RequestContext, refused: {
    readonly target: RoutingTarget;
    readonly retryAfterMs: number;
    readonly isOwner: boolean;
  }): AttemptResult {
    const { target, retryAfterMs, isOwner } = refused;
    setRefusal(context, "overloaded", {
      message:
        `Target "${target.id}" has reached its limit of requests per second`,
      retryAfterMs,
    });
    if (isOwner) {
      return { kind: "done", response: this.createFinalFailure(context) };
    }
    context.excludedTargets.add(target.id);
    return { kind: "again", pauseMs: 0 };
  }

  /**
   * Creates the failure of a request that is not sent again: its last refusal,
   * or `answer-late` if a target may have run it.
   */
  createFinalFailure(context: RequestContext): FinalResponse {
    if (context.mayHaveRun) {
      return createFailure("answer-late", "No answer came in time");
    }
    const { failure, message, retryAfterMs } = context.lastRefusal;
    return createFailure(
      failure,
      message,
      computeRetryAfterMs(context, retryAfterMs, this.#clock.readMs()),
    );
  }

  /** Takes a retry from the budget, if the route and the budget allow it. */
  claimRetry(context: RequestContext): boolean {
    const { service, heldRetry, deadlineAtMs } = context;
    if (!maySendAgain(context)) {
      return false;
    }
    if (heldRetry?.service === service) {
      return true;
    }
    const claim = this.#services.claimRetry(service, {
      latestArrivalMs: deadlineAtMs,
      keptShare: this.#computeKeptShare(context),
    });
    context.retryClaim = claim;
    if (claim.kind === "refused") {
      return false;
    }
    const held = { service, ticket: claim.ticket };
    if (context.origin !== null) {
      // The instance that forwarded the request sends the retry.
      this.#services.settleRetry(held, deadlineAtMs);
      return true;
    }
    if (heldRetry !== null) {
      this.#services.releaseRetry(heldRetry);
    }
    context.heldRetry = held;
    return true;
  }

  /** Computes the share of the budget that is kept from a request. */
  #computeKeptShare(context: RequestContext): number {
    const { hasReturned, route, service, lastRefusal } = context;
    const nowMs = this.#clock.readMs();
    return computeKeptShare({
      hasReturned,
      remainingMs: context.deadlineAtMs - nowMs,
      retryAfterMs: computeRetryAfterMs(
        context,
        lastRefusal.retryAfterMs,
        nowMs,
      ),
      serviceMs: this.#services.getAverageServiceMs(service) ?? 0,
      priority: route.priority,
    });
  }
}

/** Whether the route and the number of sends allow a further one. */
function maySendAgain(context: RequestContext): boolean {
  return countRuns(context) < context.route.maxAttempts &&
    countArrivals(context) < MAX_SENDS;
}
