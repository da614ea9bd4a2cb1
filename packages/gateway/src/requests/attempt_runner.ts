/**
 * Carries out one attempt of a request from this instance: waits for a place
 * and a permit at a target that may run the request, sends it once, and records
 * what the outcome says about the target.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type {
  RequestSender,
  SendOutcome,
} from "@lentilspur/ports/request_sender";
import type { StreamEnd } from "@lentilspur/ports/response_stream";
import type { RoutingTarget } from "@lentilspur/ports/routing_table";
import type { PermitDecision } from "@lentilspur/routing/request_pacer";
import type {
  PlaceDecision,
  PlaceRequest,
} from "@lentilspur/routing/service_places";
import type { Catalogue } from "../views/catalogue.ts";
import type { PathMonitor } from "../paths/path_monitor.ts";
import { computeLatestStart } from "./latest_start.ts";
import type { LeavingTargets } from "./leaving_targets.ts";
import type { OwnerFinder, OwnerLookup } from "./owner_finder.ts";
import { OverdueResponses } from "./overdue_responses.ts";
import { settleSentRetry, takeHeldRetry } from "./held_retry.ts";
import type { RequestContext } from "./request_context.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import type { RequestReporter } from "./request_reporter.ts";
import { SendAbortController } from "./send_abort_controller.ts";
import type { ServiceRegistry } from "./service_registry.ts";
import type { StopAdmission } from "./stop_admission.ts";
import type { TargetLimits } from "./target_limits.ts";
import type { TargetRateLimiter } from "./target_rate_limiter.ts";

export interface AttemptRunnerOptions {
  readonly clock: Clock;
  readonly catalogue: Catalogue;
  readonly services: ServiceRegistry;
  readonly quarantine: RequestQuarantine;
  readonly limits: TargetLimits;
  readonly leaving: LeavingTargets;
  readonly rateLimiter: TargetRateLimiter;
  readonly paths: PathMonitor;
  /** Called when the known key owners of a service seem to be outdated. */
  readonly handleOwnerMiss: (service: string) => void;
  readonly sender: RequestSender;
  /** During a stop, it aborts no overdue sends. */
  readonly stopAdmission: StopAdmission;
}

/** The components of a router that its attempts use. */
export interface AttemptTools {
  readonly ownerFinder: OwnerFinder;
  readonly reporter: RequestReporter;
  /** Takes a retry from the budget, if the route and the budget allow it. */
  readonly claimRetry: (context: RequestContext) => boolean;
}

export type Attempt =
  | {
    readonly kind: "sent";
    readonly target: RoutingTarget;
    readonly outcome: SendOutcome;
    /**
     * Whether the send was aborted because its response was overdue; a retry
     * has been taken from the budget for this.
     */
    readonly isOverdue: boolean;
  }
  | {
    readonly kind: "no-place";
    readonly decision: PlaceDecision & { readonly kind: "refused" };
  }
  | {
    readonly kind: "over-limit";
    readonly target: RoutingTarget;
    readonly retryAfterMs: number;
  }
  /** Nothing was sent; the target has to be chosen anew. */
  | { readonly kind: "outdated" };

export interface AttemptOptions {
  /**
   * Whether the request waits for no target whose path from this instance is
   * lost, since another instance may send it.
   */
  readonly refusesLostPaths: boolean;
}

type Placed = PlaceDecision & { readonly kind: "placed" };
type FoundOwner = OwnerLookup & { readonly kind: "found" };

export class AttemptRunner {
  readonly #options: AttemptRunnerOptions;
  readonly #tools: AttemptTools;
  readonly #overdue: OverdueResponses;

  constructor(options: AttemptRunnerOptions, tools: AttemptTools) {
    this.#options = options;
    this.#tools = tools;
    this.#overdue = new OverdueResponses(options, tools.claimRetry);
  }

  async run(
    context: RequestContext,
    owner: FoundOwner,
    options: AttemptOptions,
  ): Promise<Attempt> {
    context.stage = "waiting-for-place";
    const decision = await this.#waitForPlace(context, owner, options);
    if (decision === undefined) {
      return { kind: "outdated" };
    }
    if (decision.kind === "refused") {
      return { kind: "no-place", decision };
    }
    context.stage = "waiting-for-permit";
    const permit = await this.#waitForPermit(context, decision.target);
    if (
      permit.kind === "granted" &&
      !this.#isOutdated(context, decision.target, owner.targetId)
    ) {
      return await this.#send(context, decision, owner);
    }
    this.#options.services.releasePlace(
      context.service,
      decision,
      context.request.requestId,
    );
    return permit.kind === "granted" ? { kind: "outdated" } : {
      kind: "over-limit",
      target: decision.target,
      retryAfterMs: permit.retryAfterMs,
    };
  }

  async #waitForPlace(
    context: RequestContext,
    { targetId: owner }: FoundOwner,
    { refusesLostPaths }: AttemptOptions,
  ): Promise<PlaceDecision | undefined> {
    const { request, route, admission, service } = context;
    const { services } = this.#options;
    context.placeRefusal = undefined;
    const serviceMs = services.getTypicalServiceMs(service) ?? 0;
    const placeRequest: PlaceRequest = {
      requestId: request.requestId,
      priority: route.priority,
      arrivedAtMs: request.arrivedAtMs,
      latestStartMs: computeLatestStart(context, serviceMs),
      ...(owner === undefined ? {} : { owner }),
      excluded: context.excludedTargets,
      refusesLostPaths,
      ...(admission.kind === "admitted" ? { share: admission.share } : {}),
    };
    const decision = await services
      .waitForPlace(service, placeRequest, request.signal);
    if (decision?.kind === "refused") {
      context.placeRefusal = {
        reason: decision.reason,
        ...services.describeEstimate(service, placeRequest),
      };
    }
    return decision;
  }

  /**
   * Waits for a permit if the target has a rate limit, which all instances
   * share.
   */
  async #waitForPermit(
    context: RequestContext,
    target: RoutingTarget,
  ): Promise<PermitDecision> {
    const { clock, rateLimiter, services } = this.#options;
    if (rateLimiter.getLimitPerSecond(target) === undefined) {
      return { kind: "granted", waitMs: 0 };
    }
    const serviceMs = services.getTypicalServiceMs(context.service) ?? 0;
    const latestStartMs = computeLatestStart(context, serviceMs);
    const maxWaitMs = Math.max(0, latestStartMs - clock.readMs());
    const { signal } = context.request;
    return await rateLimiter.waitForPermit(target, maxWaitMs, signal);
  }

  /**
   * Whether the choice of the target became invalid while the request waited.
   */
  #isOutdated(
    context: RequestContext,
    target: RoutingTarget,
    owner: string | undefined,
  ): boolean {
    const { catalogue, quarantine, services, stopAdmission } = this.#options;
    const currentOwner = this.#tools.ownerFinder.find(context);
    return context.request.signal.aborted || context.hasEnded ||
      !stopAdmission.maySend(context) ||
      (owner === undefined && catalogue.isWithdrawn(target.id)) ||
      services.isBackedOff(context.service, target.id) ||
      quarantine.isQuarantined(context) ||
      catalogue.routingTable?.version !== context.version ||
      currentOwner.kind === "wait" || currentOwner.targetId !== owner;
  }

  async #send(
    context: RequestContext,
    placed: Placed,
    owner: FoundOwner,
  ): Promise<Attempt & { readonly kind: "sent" }> {
    const { clock, sender, catalogue } = this.#options;
    const { request, route, service, retryClaim } = context;
    const { target } = placed;
    const sentAtMs = clock.readMs();
    const remainingMs = context.deadlineAtMs - sentAtMs;
    const retry = takeHeldRetry(context);
    context.sends++;
    context.stage = "sent";
    const abortController = new SendAbortController(request.signal);
    const expectedMs = this.#overdue.watch(context, {
      target,
      owner: owner.targetId,
      abortController,
    });
    const outcome = await sender.send({
      targetId: target.id,
      address: target.address,
      maxConnections:
        catalogue.routingTable?.services.get(service)?.maxConnections ??
          1,
      requestId: request.requestId,
      ...(context.key === undefined ? {} : { key: context.key }),
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      ...(route.maxAnswerBytes === undefined
        ? {}
        : { maxAnswerBytes: route.maxAnswerBytes }),
      remainingMs,
      timeoutMs: remainingMs,
      idempotent: route.idempotent,
      // A peer passes on whole responses only.
      mayStream: context.origin === null,
      signal: abortController.signal,
    });
    abortController.stop();
    const isOverdue = abortController.isOverdue();
    settleSentRetry(context, { retry, outcome }, this.#options);
    // A send is given up only before its first byte, so this time counts.
    this.#overdue.recordOutcome(context, outcome, {
      elapsedMs: clock.readMs() - sentAtMs,
      expectedMs,
      isOverdue,
    });
    const recordEnd = (outcome: SendOutcome, end?: StreamEnd): void => {
      const { stopAdmission } = this.#options;
      if (isOverdue) {
        // It may have taken until the deadline.
        stopAdmission.recordDuration(route.name, remainingMs);
      } else if (outcome.kind === "answered" || outcome.cause === "silent") {
        stopAdmission.recordDuration(route.name, clock.readMs() - sentAtMs);
      }
      this.#recordOutcome(context, placed, {
        outcome,
        sentAtMs,
        isOverdue,
        hasResponded: end !== undefined,
      });
      this.#tools.reporter.reportSend(context, {
        placed,
        owner,
        outcome,
        sentAtMs,
        remainingMs,
        overdueExpectedMs: isOverdue ? expectedMs : undefined,
        retryClaim,
        end,
      });
    };
    if (outcome.kind === "answered" && outcome.stream !== undefined) {
      // The place is taken until the target has sent the last byte.
      void outcome.stream.ended.then((end) =>
        recordEnd(toStreamedOutcome(outcome, end), end)
      );
    } else {
      recordEnd(outcome);
    }
    return {
      kind: "sent",
      target,
      outcome,
      isOverdue: isOverdue && outcome.kind === "unknown",
    };
  }

  #recordOutcome(context: RequestContext, placed: Placed, sent: {
    readonly outcome: SendOutcome;
    readonly sentAtMs: number;
    readonly isOverdue: boolean;
    /** Whether the target had begun to respond. */
    readonly hasResponded: boolean;
  }): void {
    const { services, catalogue, quarantine, limits, leaving, paths } =
      this.#options;
    const { service, request } = context;
    const { target } = placed;
    const { outcome, sentAtMs } = sent;
    paths.recordOutcome(target, outcome, sent);
    services.recordOutcome(service, placed, request.requestId, outcome, sent);
    limits.recordOutcome(target, outcome, sentAtMs);
    leaving.recordOutcome(target, outcome);
    if (outcome.kind === "not-run" && outcome.cause === "replaced") {
      catalogue.recordReplaced(target);
    }
    quarantine.recordOutcome(context, { target, ...sent });
    if (outcome.kind === "not-run" && outcome.cause === "not-owner") {
      this.#options.handleOwnerMiss(service);
    }
  }
}

/** What the end of a streamed response says about its target. */
function toStreamedOutcome(
  outcome: SendOutcome & { readonly kind: "answered" },
  end: StreamEnd,
): SendOutcome {
  if (end.kind === "complete") {
    return outcome;
  }
  const { cause, message } = end;
  switch (cause) {
    case "cut":
    case "silent":
      return { kind: "unknown", cause, message };
    case "too-large":
      return { kind: "unknown", cause: "garbled", message };
    case "cancelled":
    case "unread":
      // Says nothing about the target: its caller was too slow or has left.
      return { kind: "unknown", cause: "cancelled", message };
  }
}
