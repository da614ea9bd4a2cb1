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
import type { Random } from "@lentilspur/ports/clock";
import type { StreamEnd } from "@lentilspur/ports/response_stream";
import type { Route } from "@lentilspur/ports/routing_table";
import { CallerReturns } from "@lentilspur/routing/retry_priority";
import type { MatchedRoute } from "@lentilspur/routing/route_index";
import type { AccountAdmission } from "../entry/account_admission.ts";
import type { CallerRequest, FinalResponse } from "../entry/caller_request.ts";
import type { WithdrawalReason } from "../views/catalogue_event.ts";
import type { KeyDirectory } from "../views/key_directory.ts";
import {
  type Attempt,
  AttemptRunner,
  type AttemptRunnerOptions,
} from "./attempt_runner.ts";
import {
  createStopFailure,
  OpenRequests,
  type StageCounts,
} from "./open_requests.ts";
import {
  OutcomeHandler,
  REFUSED_RETRY_MS,
  type SendResult,
} from "./outcome_handler.ts";
import type {
  ForwardedRequest,
  ForwardReply,
} from "../forwarding/forwarded_request.ts";
import { ForwardedRequests } from "../forwarding/forwarded_requests.ts";
import type { RequestForwarder } from "../forwarding/request_forwarder.ts";
import type { Member } from "../members/members.ts";
import { hashPathKey } from "./path_key.ts";
import { OwnerFinder, type OwnerLookup } from "./owner_finder.ts";
import {
  type AttemptResult,
  countArrivals,
  createFailure,
  type RequestContext,
} from "./request_context.ts";
import { type RequestEvent, RequestReporter } from "./request_reporter.ts";

export interface RequestRouterOptions extends AttemptRunnerOptions {
  readonly random: Random;
  readonly directory: KeyDirectory;
  readonly accounts: AccountAdmission;
  readonly forwarder: RequestForwarder;
  readonly findMember: (name: string) => Member | undefined;
  /** Called for each admitted request that has a key. */
  readonly observeKey: (route: Route, key: number) => void;
  /** How long after its withdrawal an owner may still be sent requests. */
  readonly getWithdrawalGraceMs: (reason: WithdrawalReason) => number;
  readonly observe: (event: RequestEvent) => void;
  /** Whether the memory for large responses is used up. */
  readonly isReadAheadUsedUp: () => boolean;
}

/** How a request gets to a target. */
type Way =
  | { readonly kind: "direct"; readonly refusesLostPaths: boolean }
  | { readonly kind: "forward" }
  /** No instance reaches a target that may run the request. */
  | { readonly kind: "none" };

type FoundOwner = OwnerLookup & { readonly kind: "found" };

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
/** Slow callers take a moment; another instance may have memory left. */
const USED_UP_RETRY_MS = 250;

export class RequestRouter {
  readonly #options: RequestRouterOptions;
  readonly #ownerFinder: OwnerFinder;
  readonly #reporter: RequestReporter;
  readonly #outcomes: OutcomeHandler;
  readonly #runner: AttemptRunner;
  readonly #forwarded: ForwardedRequests;
  readonly #callerReturns = new CallerReturns();
  readonly #openRequests = new OpenRequests(createStopFailure);

  constructor(options: RequestRouterOptions) {
    this.#options = options;
    this.#ownerFinder = new OwnerFinder(options);
    this.#reporter = new RequestReporter(options.clock, options.observe);
    this.#outcomes = new OutcomeHandler(options);
    this.#runner = new AttemptRunner(options, {
      ownerFinder: this.#ownerFinder,
      reporter: this.#reporter,
      claimRetry: (context) => this.#outcomes.claimRetry(context),
    });
    this.#forwarded = new ForwardedRequests(options, {
      ownerFinder: this.#ownerFinder,
      outcomes: this.#outcomes,
      runner: this.#runner,
      waitForOwner: (context, isLongWait) =>
        this.#waitForForwardedOwner(context, isLongWait),
    });
  }

  async handle(request: CallerRequest): Promise<FinalResponse> {
    const context = this.#createContext(request);
    if ("kind" in context) {
      this.#reporter.reportFinal(request, undefined, context);
      return context;
    }
    const response = await this.#openRequests
      .run(context, () => this.#run(context));
    if (context.heldRetry !== null) {
      this.#options.services.releaseRetry(context.heldRetry);
    }
    if (response.kind === "answered" && response.stream !== undefined) {
      void response.stream.ended.then((end) =>
        this.#recordEnd(context, response, end)
      );
    } else {
      this.#recordEnd(context, response);
    }
    return response;
  }

  /** Counts the callers' requests that have no response yet. */
  countOpenByStage(): StageCounts {
    return this.#openRequests.countByStage();
  }

  /** Refuses waiting requests that could outlast the instance. */
  refuseLate(): void {
    const { stopAdmission } = this.#options;
    this.#forwarded.refuseLate();
    this.#openRequests
      .refuseWaiting((context) => stopAdmission.maySend(context));
  }

  /** Answers all callers, since the process ends. */
  stopAll(): void {
    this.#openRequests.stopAll();
    this.#forwarded.stopAll();
  }

  /** Records the end of a request, and of its stream if it has one. */
  #recordEnd(
    context: RequestContext,
    response: FinalResponse,
    end?: StreamEnd,
  ): void {
    this.#options.accounts.release(context.admission);
    this.#reporter.reportFinal(context.request, context, response, end);
  }

  /** Carries out one attempt of a request that another instance forwards. */
  handleForwarded(
    request: ForwardedRequest,
    options: { readonly receivedAtMs: number; readonly signal: AbortSignal },
  ): Promise<ForwardReply> {
    return this.#forwarded.handle(request, options);
  }

  async #waitForForwardedOwner(
    context: RequestContext,
    isLongWait: boolean,
  ): Promise<FinalResponse | undefined> {
    const result = this.#waitForOwner(context, isLongWait);
    if (result.kind === "done") {
      return result.response;
    }
    const { clock } = this.#options;
    await clock.sleep(result.pauseMs, context.request.signal);
    return undefined;
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
    const { maxBodyBytes: maxBytes } = matched.route;
    if (maxBytes !== undefined && request.body.byteLength > maxBytes) {
      const message = `The body is larger than ${maxBytes} bytes`;
      return createFailure("body-too-large", message);
    }
    if (
      matched.route.isDownload === true && this.#options.isReadAheadUsedUp()
    ) {
      const message = "Slow callers use up the memory for large responses";
      return createFailure("overloaded", message, USED_UP_RETRY_MS);
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
    services.recordRequest(service, request.arrivedAtMs);
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
      hasReturned: this.#callerReturns.recordRequest(
        route.name,
        request.deadlineMs,
        request.arrivedAtMs,
      ),
      excludedPeers: new Set(),
      sends: 0,
      unreachableSends: 0,
      refusedSends: 0,
      latestArrivalMs: -Infinity,
      heldRetry: null,
      ownerMissingSinceMs: null,
      refusingOwner: null,
      mayHaveRun: false,
      isTrial: false,
      origin: null,
      isForwardDue: false,
      stage: "admitted",
      hasEnded: false,
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
        this.#checkStop(context) ??
        this.#checkQuarantine(context);
      if (response !== undefined) {
        return response;
      }
      const result = await this.#runAttempt(context);
      if (result.kind === "done") {
        return result.response;
      }
      context.stage = context.ownerMissingSinceMs === null
        ? "pausing"
        : "waiting-for-owner";
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

  #checkStop(context: RequestContext): FinalResponse | undefined {
    return context.hasEnded || !this.#options.stopAdmission.maySend(context)
      ? createStopFailure(context)
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
    context.refusingOwner = null;
    if (countArrivals(context) > 0 && !this.#outcomes.claimRetry(context)) {
      const response = this.#outcomes.createFinalFailure(context);
      return { kind: "done", response };
    }
    const way = this.#chooseWay(context, owner.targetId);
    switch (way.kind) {
      case "direct": {
        const attempt = await this.#runner.run(context, owner, way);
        return this.#handleAttempt(context, owner, attempt);
      }
      case "forward":
        return await this.#forward(context, owner);
      case "none":
        return {
          kind: "done",
          response: this.#outcomes.createNoPathResponse(context),
        };
    }
  }

  /**
   * Chooses whether this instance sends the request itself, or another one,
   * because the paths to all targets that may run it are lost here.
   */
  #chooseWay(context: RequestContext, owner: string | undefined): Way {
    const { clock, catalogue, forwarder } = this.#options;
    const { paths } = this.#options.paths;
    if (!paths.hasLosses) {
      return { kind: "direct", refusesLostPaths: true };
    }
    const hasPeer = forwarder.hasPeer(context);
    if (context.isForwardDue && hasPeer) {
      context.isForwardDue = false;
      return { kind: "forward" };
    }
    const target = owner === undefined ? undefined : catalogue.getTarget(owner);
    const isLost = target === undefined
      ? paths.isDoubtful
      : paths.isLost(target);
    const isDown = target !== undefined &&
      paths.isDown(target, clock.readMs());
    if (isLost && hasPeer && !isDown) {
      return { kind: "forward" };
    }
    return isLost && paths.isIsolated && !hasPeer
      ? { kind: "none" }
      : { kind: "direct", refusesLostPaths: hasPeer && !isDown };
  }

  /** Lets another instance send the request. */
  async #forward(
    context: RequestContext,
    owner: FoundOwner,
  ): Promise<AttemptResult> {
    context.stage = "forwarded";
    context.placeRefusal = undefined;
    const result = await this.#options.forwarder.forward(context, owner, {
      reporter: this.#reporter,
      claimRetry: () => this.#outcomes.claimRetry(context),
    });
    switch (result.kind) {
      case "no-peer":
        return { kind: "again", pauseMs: 0 };
      case "refused":
        return {
          kind: "done",
          response: this.#outcomes.createRefusedResponse(context, result),
        };
      case "lost":
      case "sent": {
        const isSent = result.kind === "sent";
        if (isSent && result.isOverdue) {
          // The peer took the next retry from its budget when it gave up.
          const { service } = context;
          context.heldRetry ??= { service, ticket: null };
        }
        return this.#handleSent(context, {
          target: isSent ? { id: result.targetId } : undefined,
          token: isSent ? result.token : undefined,
          outcome: result.outcome,
          // The peer may have a configuration by which it may be repeated.
          isOverdue: result.isOverdue && context.route.idempotent,
        });
      }
    }
  }

  #handleAttempt(
    context: RequestContext,
    owner: FoundOwner,
    attempt: Attempt,
  ): AttemptResult {
    switch (attempt.kind) {
      case "outdated":
        return { kind: "again", pauseMs: 0 };
      case "no-place":
        if (attempt.decision.reason === "path-lost") {
          context.isForwardDue = true;
          return { kind: "again", pauseMs: 0 };
        }
        return {
          kind: "done",
          response: this.#outcomes
            .createNoPlaceResponse(context, attempt.decision),
        };
      case "over-limit":
        return this.#outcomes.handleOverLimit(context, {
          target: attempt.target,
          retryAfterMs: attempt.retryAfterMs,
          isOwner: owner.targetId !== undefined,
        });
      case "sent":
        return this.#handleSent(context, { ...attempt, token: owner.token });
    }
  }

  #handleSent(
    context: RequestContext,
    { isOverdue, ...sent }: SendResult & { readonly isOverdue: boolean },
  ): AttemptResult {
    if (isOverdue) {
      // The retry was taken from the budget when this send was aborted.
      context.mayHaveRun = true;
      return { kind: "again", pauseMs: 0 };
    }
    return this.#outcomes.handle(context, sent);
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
}
