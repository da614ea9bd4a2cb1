/**
 * Routes a request from its arrival to its final response: matches its route
 * and service, waits for a place at a target that may run it, sends it, and
 * decides from the outcome whether to answer, to retry or to fail.
 *
 * A request that is not idempotent is sent a second time only on proof that the
 * first send did not run. The route is matched again before each send if the
 * configuration has changed, so that a request that waited is never sent by an
 * outdated configuration.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type { RequestSender } from "@lentilspur/ports/request_sender";
import type { Route, RoutingTarget } from "@lentilspur/ports/routing_table";
import type { MatchedRoute } from "@lentilspur/routing/route_index";
import type { PlaceDecision } from "@lentilspur/routing/service_places";
import type { AccountAdmission } from "../entry/account_admission.ts";
import type { CallerRequest, FinalResponse } from "../entry/caller_request.ts";
import type { Catalogue } from "../views/catalogue.ts";
import type { WithdrawalReason } from "../views/catalogue_event.ts";
import type { KeyDirectory } from "../views/key_directory.ts";
import { SendAbortController } from "./send_abort_controller.ts";
import { OutcomeHandler, REFUSED_RETRY_MS } from "./outcome_handler.ts";
import type { PermitDecision } from "@lentilspur/routing/request_pacer";
import { computeLatestStart } from "./latest_start.ts";
import { hashPathKey } from "./path_key.ts";
import { OwnerFinder, type OwnerLookup } from "./owner_finder.ts";
import {
  type AttemptResult,
  createFailure,
  type RequestContext,
} from "./request_context.ts";
import { type RequestEvent, RequestReporter } from "./request_reporter.ts";
import type { LeavingTargets } from "./leaving_targets.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import type { ServiceRegistry } from "./service_registry.ts";
import type { TargetLimits } from "./target_limits.ts";
import type { PathMonitor } from "../paths/path_monitor.ts";
import type { TargetRateLimiter } from "./target_rate_limiter.ts";

export interface RequestRouterOptions {
  readonly clock: Clock;
  readonly catalogue: Catalogue;
  readonly directory: KeyDirectory;
  readonly services: ServiceRegistry;
  readonly accounts: AccountAdmission;
  readonly quarantine: RequestQuarantine;
  readonly limits: TargetLimits;
  readonly leaving: LeavingTargets;
  readonly rateLimiter: TargetRateLimiter;
  readonly paths: PathMonitor;
  /** Called when the known key owners of a service seem to be outdated. */
  readonly handleOwnerMiss: (service: string) => void;
  /** Called for each admitted request that has a key. */
  readonly observeKey: (route: Route, key: number) => void;
  readonly sender: RequestSender;
  /** How long after its withdrawal an owner may still be sent requests. */
  readonly getWithdrawalGraceMs: (reason: WithdrawalReason) => number;
  /**
   * Whether this instance is shutting down; it then aborts no overdue sends.
   */
  readonly isStopping: () => boolean;
  readonly observe: (event: RequestEvent) => void;
}

/**
 * Deducted from the caller's deadline, which counts from the moment that the
 * caller sends, some 3 ms before the request arrives here.
 */
const ARRIVAL_DELAY_MS = 5;
/** Replaces a missing deadline, so that only the route's timeout applies. */
const DEFAULT_DEADLINE_MS = 60_000;
/**
 * Longest wait for a usable owner of a key. After a target fails, its keys have
 * no owner for seconds.
 */
const MAX_OWNER_WAIT_MS = 300;
/** Interval at which a key's owner is looked up again while none is usable. */
const OWNER_POLL_INTERVAL_MS = 20;
/**
 * Usual duration of a key's move. After this, the owners are read again, since
 * the move may be over and its notice lost.
 */
const TYPICAL_MOVE_MS = 200;
/**
 * A response that takes this many times the expected time counts as lost if the
 * request may be sent again. Processing times have long tails.
 */
const OVERDUE_FACTOR = 4;
/**
 * No response is overdue earlier, since latency and a busy CPU delay it too.
 */
const MIN_OVERDUE_MS = 200;

export class RequestRouter {
  readonly #options: RequestRouterOptions;
  readonly #ownerFinder: OwnerFinder;
  readonly #reporter: RequestReporter;
  readonly #outcomes: OutcomeHandler;

  constructor(options: RequestRouterOptions) {
    this.#options = options;
    this.#ownerFinder = new OwnerFinder(options);
    this.#reporter = new RequestReporter(options.clock, options.observe);
    this.#outcomes = new OutcomeHandler(options);
  }

  async handle(request: CallerRequest): Promise<FinalResponse> {
    const context = this.#createContext(request);
    if ("kind" in context) {
      this.#reporter.reportFinal(request, undefined, context);
      return context;
    }
    const response = await this.#run(context);
    this.#options.accounts.release(context.admission);
    this.#reporter.reportFinal(request, context, response);
    return response;
  }

  #createContext(request: CallerRequest): RequestContext | FinalResponse {
    const { catalogue } = this.#options;
    const { routingTable: table } = catalogue;
    if (table === undefined) {
      return createFailure(
        "not-ready",
        "No configuration has been read yet",
        200,
      );
    }
    const matched = catalogue.match(request);
    if (matched === undefined) {
      return createFailure("no-such-route", `No route for "${request.path}"`);
    }
    const maxBytes = matched.route.maxBodyBytes ?? Infinity;
    if (request.body.byteLength > maxBytes) {
      const message = `The body is larger than ${maxBytes} bytes`;
      return createFailure("body-too-large", message);
    }
    return this.#admit(request, matched, table.version);
  }

  #admit(
    request: CallerRequest,
    { route, keyText }: MatchedRoute,
    version: number,
  ): RequestContext | FinalResponse {
    const { accounts, services, observeKey } = this.#options;
    const service = services.chooseService(route);
    const admission = accounts.admit(request.credential, service);
    if (admission.kind === "refused") {
      const { failure, message, retryAfterMs } = admission;
      return createFailure(failure, message, retryAfterMs);
    }
    const key = keyText === undefined ? request.key : hashPathKey(keyText);
    if (key !== undefined) {
      observeKey(route, key);
    }
    const deadlineMs = request.deadlineMs ?? route.defaultDeadlineMs ??
      DEFAULT_DEADLINE_MS;
    const allowedMs = Math.min(deadlineMs - ARRIVAL_DELAY_MS, route.timeoutMs);
    return {
      request,
      key,
      admission,
      deadlineAtMs: request.arrivedAtMs + allowedMs,
      excludedTargets: new Set(),
      sends: 0,
      ownerMissingSinceMs: null,
      refusingOwner: null,
      mayHaveRun: false,
      isTrial: false,
      route,
      service,
      version,
      lastRefusal: {
        failure: "overloaded",
        message: "No target had a free place in time",
        retryAfterMs: REFUSED_RETRY_MS,
      },
    };
  }

  async #run(context: RequestContext): Promise<FinalResponse> {
    const { clock } = this.#options;
    for (;;) {
      const response = this.#updateRoute(context) ??
        this.#checkDeadline(context) ??
        this.#checkQuarantine(context);
      if (response !== undefined) {
        return response;
      }
      const result = await this.#runAttempt(context);
      if (result.kind === "done") {
        return result.response;
      }
      await clock.sleep(result.pauseMs, context.request.signal);
    }
  }

  /** Matches the request again if the configuration has changed. */
  #updateRoute(context: RequestContext): FinalResponse | undefined {
    const { catalogue, services } = this.#options;
    const version = catalogue.routingTable?.version ?? context.version;
    if (version === context.version) {
      return undefined;
    }
    const route = catalogue.match(context.request)?.route;
    if (route === undefined) {
      return context.mayHaveRun
        ? createFailure(
          "answer-lost",
          "The route was removed after the request was sent",
        )
        : createFailure(
          "no-such-route",
          `No route for "${context.request.path}"`,
        );
    }
    const keepsService = route.parts.some((part) =>
      part.service === context.service
    );
    context.service = keepsService
      ? context.service
      : services.chooseService(route);
    context.route = route;
    context.version = version;
    return undefined;
  }

  #checkDeadline(context: RequestContext): FinalResponse | undefined {
    if (context.request.signal.aborted) {
      return createFailure("caller-left", "The caller closed the connection");
    }
    const nowMs = this.#options.clock.readMs();
    return nowMs >= context.deadlineAtMs
      ? this.#outcomes.createFinalFailure(context)
      : undefined;
  }

  #checkQuarantine(context: RequestContext): FinalResponse | undefined {
    if (context.isTrial && context.sends > 0) {
      return this.#outcomes.createTrialResponse(context);
    }
    const decision = this.#options.quarantine.admit(context);
    switch (decision.kind) {
      case "admitted":
        return undefined;
      case "trial":
        context.isTrial = true;
        return undefined;
      case "quarantined":
        return this.#outcomes.createQuarantineResponse(context, decision);
    }
  }

  async #runAttempt(context: RequestContext): Promise<AttemptResult> {
    const owner = this.#ownerFinder.find(context);
    if (owner.kind === "wait") {
      return this.#waitForOwner(context, owner.isLongWait);
    }
    context.ownerMissingSinceMs = null;
    if (context.refusingOwner !== null) {
      context.refusingOwner = null;
      if (!this.#outcomes.claimRetry(context)) {
        const response = this.#outcomes.createFinalFailure(context);
        return { kind: "done", response };
      }
    }
    const decision = await this.#waitForPlace(context, owner.targetId);
    if (decision === undefined) {
      return { kind: "again", pauseMs: 0 };
    }
    if (decision.kind === "refused") {
      return {
        kind: "done",
        response: this.#outcomes.createNoPlaceResponse(context, decision),
      };
    }
    const permit = await this.#waitForPermit(context, decision.target);
    if (
      permit.kind === "granted" &&
      !this.#isOutdated(context, decision.target, owner.targetId)
    ) {
      return await this.#send(context, decision, owner);
    }
    this.#options.services.releasePlace(
      context.service,
      decision.target.id,
      context.request.requestId,
    );
    return permit.kind === "granted"
      ? { kind: "again", pauseMs: 0 }
      : this.#outcomes.handleOverLimit(context, {
        target: decision.target,
        retryAfterMs: permit.retryAfterMs,
        isOwner: owner.targetId !== undefined,
      });
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
    const serviceMs = services.getAverageServiceMs(context.service) ?? 0;
    const latestStartMs = computeLatestStart(context, serviceMs);
    const maxWaitMs = Math.max(0, latestStartMs - clock.readMs());
    const permit = await rateLimiter.claim(target, maxWaitMs);
    if (permit.kind === "granted" && permit.waitMs > 0) {
      await clock.sleep(permit.waitMs, context.request.signal);
    }
    return permit;
  }

  #waitForOwner(context: RequestContext, isLongWait: boolean): AttemptResult {
    const nowMs = this.#options.clock.readMs();
    context.ownerMissingSinceMs ??= nowMs;
    if (nowMs - context.ownerMissingSinceMs > TYPICAL_MOVE_MS) {
      this.#options.handleOwnerMiss(context.service);
    }
    const serviceMs =
      this.#options.services.getAverageServiceMs(context.service) ?? 0;
    return !isLongWait && nowMs < context.deadlineAtMs - serviceMs &&
        nowMs - context.ownerMissingSinceMs < MAX_OWNER_WAIT_MS
      ? { kind: "again", pauseMs: OWNER_POLL_INTERVAL_MS }
      : {
        kind: "done",
        response: this.#outcomes.createFinalFailure(context),
      };
  }

  /**
   * Whether the choice of the target became invalid while the request waited.
   */
  #isOutdated(
    context: RequestContext,
    target: RoutingTarget,
    owner: string | undefined,
  ): boolean {
    const { catalogue, quarantine, services } = this.#options;
    const currentOwner = this.#ownerFinder.find(context);
    return context.request.signal.aborted ||
      (owner === undefined && catalogue.isWithdrawn(target.id)) ||
      services.isBackedOff(context.service, target.id) ||
      quarantine.isQuarantined(context) ||
      catalogue.routingTable?.version !== context.version ||
      currentOwner.kind === "wait" || currentOwner.targetId !== owner;
  }

  #waitForPlace(
    context: RequestContext,
    owner: string | undefined,
  ): Promise<PlaceDecision | undefined> {
    const { request, route, admission, service } = context;
    const { services } = this.#options;
    const serviceMs = services.getAverageServiceMs(service) ?? 0;
    return services.waitForPlace(service, {
      requestId: request.requestId,
      priority: route.priority,
      arrivedAtMs: request.arrivedAtMs,
      latestStartMs: computeLatestStart(context, serviceMs),
      ...(owner === undefined ? {} : { owner }),
      excluded: context.excludedTargets,
      ...(admission.kind === "admitted" ? { share: admission.share } : {}),
    }, request.signal);
  }

  async #send(
    context: RequestContext,
    placed: PlaceDecision & { readonly kind: "placed" },
    owner: OwnerLookup & { readonly kind: "found" },
  ): Promise<AttemptResult> {
    const { clock, sender, services, catalogue, quarantine } = this.#options;
    const { limits, leaving } = this.#options;
    const { request, route, service, retryClaim } = context;
    const sentAtMs = clock.readMs();
    const remainingMs = context.deadlineAtMs - sentAtMs;
    context.sends++;
    services.recordSend(service, context.sends > 1);
    const abortController = this.#watchResponse(context, placed);
    const outcome = await sender.send({
      targetId: placed.target.id,
      address: placed.target.address,
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
      signal: abortController.signal,
    });
    abortController.stop();
    this.#options.paths.recordOutcome(placed.target, outcome, {
      sentAtMs,
      isOverdue: abortController.isOverdue(),
    });
    services.recordOutcome(
      service,
      placed,
      request.requestId,
      outcome,
      { sentAtMs, isOverdue: abortController.isOverdue() },
    );
    limits.recordOutcome(placed.target, outcome, sentAtMs);
    leaving.recordOutcome(placed.target, outcome);
    if (outcome.kind === "not-run" && outcome.cause === "replaced") {
      catalogue.recordReplaced(placed.target);
    }
    quarantine.recordOutcome(context, {
      target: placed.target,
      outcome,
      sentAtMs,
      isOverdue: abortController.isOverdue(),
    });
    if (outcome.kind === "not-run" && outcome.cause === "not-owner") {
      this.#options.handleOwnerMiss(service);
    }
    this.#reporter.reportSend(context, {
      placed,
      owner,
      outcome,
      sentAtMs,
      remainingMs,
      retryClaim,
    });
    if (abortController.isOverdue() && outcome.kind === "unknown") {
      // The retry was taken from the budget when this send was aborted.
      context.mayHaveRun = true;
      return { kind: "again", pauseMs: 0 };
    }
    return this.#outcomes.handle(context, {
      target: placed.target,
      token: owner.token,
      outcome,
    });
  }

  /**
   * Aborts a send whose response is overdue, if the request may be sent again
   * and the retry budget allows it at that moment; otherwise the send goes on.
   * Failure case: targets lose 3% to 40% of their responses, and the caller of
   * an idempotent request whose response is lost would wait until the deadline.
   */
  #watchResponse(
    context: RequestContext,
    placed: PlaceDecision & { readonly kind: "placed" },
  ): SendAbortController {
    const { clock, services } = this.#options;
    const { request, route, sends, service } = context;
    const abortController = new SendAbortController(request.signal);
    if (
      !route.idempotent || sends >= route.maxAttempts || context.isTrial
    ) {
      return abortController;
    }
    const expectedMs = services.estimateResponseMs(service, placed.target.id);
    const overdueMs = Math.max(MIN_OVERDUE_MS, OVERDUE_FACTOR * expectedMs);
    void clock.sleep(overdueMs, abortController.signal).then(() => {
      if (
        !abortController.signal.aborted && !this.#options.isStopping() &&
        this.#outcomes.claimRetry(context)
      ) {
        abortController.cancelOverdue();
      }
    });
    return abortController;
  }
}
