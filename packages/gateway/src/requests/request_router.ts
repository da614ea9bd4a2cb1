/**
 * The whole path of a request: find its route and service, wait for a place at
 * a target that may run it, send, and decide from what comes back whether to
 * answer, to send elsewhere, or to give up.
 *
 * A request that is not idempotent is sent a second time only on proof that the
 * first send did not run. The route is looked up anew before each send, so a
 * request that waited is never sent by a configuration that is no longer in
 * force.
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
import type { RequestQuarantine } from "./request_quarantine.ts";
import type { ServiceRegistry } from "./service_registry.ts";
import type { TargetLimits } from "./target_limits.ts";
import type { TargetRateLimiter } from "./target_rate_limiter.ts";

export interface RequestRouterOptions {
  readonly clock: Clock;
  readonly catalogue: Catalogue;
  readonly directory: KeyDirectory;
  readonly services: ServiceRegistry;
  readonly accounts: AccountAdmission;
  readonly quarantine: RequestQuarantine;
  readonly limits: TargetLimits;
  readonly rateLimiter: TargetRateLimiter;
  /** What is known of a service's owners does not fit what targets say. */
  readonly refreshOwners: (service: string) => void;
  /** A request for a key has come in. */
  readonly observeKey: (route: Route, key: number) => void;
  readonly sender: RequestSender;
  /** An owner is sent nothing later than this after it was withdrawn. */
  readonly getWithdrawalGraceMs: (reason: WithdrawalReason) => number;
  /** Whether this instance is about to end: it breaks nothing off any more. */
  readonly isStopping: () => boolean;
  readonly observe: (event: RequestEvent) => void;
}

/** The caller's clock runs from its sending: some 3 ms before the arrival here. */
const ARRIVAL_MS = 5;
/** Without a deadline from the caller, the route's own time is the limit. */
const NO_DEADLINE_MS = 60_000;
/**
 * A key without a usable owner is waited for this long. A target that was lost
 * leaves its keys without one for seconds.
 */
const OWNER_WAIT_MS = 300;
/** A key that is passing to another target is looked up again after this. */
const OWNER_POLL_MS = 20;
/** A move that takes longer may be over, and word of it lost on its way. */
const USUAL_MOVE_MS = 200;
/**
 * An answer that takes this many times what was expected is taken for lost,
 * where the request may be sent again. Works have long tails.
 */
const LOST_FACTOR = 4;
/** Below this an answer's way and a busy processor count for too much. */
const MIN_ANSWER_MS = 200;

export class RequestRouter {
  readonly #options: RequestRouterOptions;
  readonly #owners: OwnerFinder;
  readonly #reporter: RequestReporter;
  readonly #outcomes: OutcomeHandler;

  constructor(options: RequestRouterOptions) {
    this.#options = options;
    this.#owners = new OwnerFinder(options);
    this.#reporter = new RequestReporter(options.clock, options.observe);
    this.#outcomes = new OutcomeHandler(options);
  }

  async handle(request: CallerRequest): Promise<FinalResponse> {
    const passage = this.#start(request);
    if ("kind" in passage) {
      this.#reporter.reportFinal(request, undefined, passage);
      return passage;
    }
    const answer = await this.#run(passage);
    this.#options.accounts.release(passage.admission);
    this.#reporter.reportFinal(request, passage, answer);
    return answer;
  }

  #start(request: CallerRequest): RequestContext | FinalResponse {
    const { catalogue } = this.#options;
    const { table } = catalogue;
    if (table === undefined) {
      return createFailure(
        "not-ready",
        "No configuration has been read yet",
        200,
      );
    }
    const hit = catalogue.match(request);
    if (hit === undefined) {
      return createFailure("no-such-route", `No route for "${request.path}"`);
    }
    const maxBytes = hit.route.maxBodyBytes ?? Infinity;
    if (request.body.byteLength > maxBytes) {
      const message = `The body is larger than ${maxBytes} bytes`;
      return createFailure("body-too-large", message);
    }
    return this.#admit(request, hit, table.version);
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
      NO_DEADLINE_MS;
    const allowedMs = Math.min(deadlineMs - ARRIVAL_MS, route.timeoutMs);
    return {
      request,
      key,
      admission,
      deadlineAtMs: request.arrivedAtMs + allowedMs,
      excludedTargets: new Set(),
      sends: 0,
      ownerMissingSinceMs: null,
      mayHaveRun: false,
      isTrial: false,
      route,
      service,
      version,
      lastRefusal: {
        failure: "overloaded",
        message: "No target had room in time",
        retryAfterMs: REFUSED_RETRY_MS,
      },
    };
  }

  async #run(passage: RequestContext): Promise<FinalResponse> {
    const { clock } = this.#options;
    for (;;) {
      const stop = this.#updateRoute(passage) ?? this.#findEnd(passage) ??
        this.#checkQuarantine(passage);
      if (stop !== undefined) {
        return stop;
      }
      const step = await this.#runAttempt(passage);
      if (step.kind === "done") {
        return step.answer;
      }
      await clock.sleep(step.pauseMs, passage.request.signal);
    }
  }

  /** A change of the configuration may have sent the route elsewhere. */
  #updateRoute(passage: RequestContext): FinalResponse | undefined {
    const { catalogue, services } = this.#options;
    const version = catalogue.table?.version ?? passage.version;
    if (version === passage.version) {
      return undefined;
    }
    const route = catalogue.match(passage.request)?.route;
    if (route === undefined) {
      return passage.mayHaveRun
        ? createFailure("answer-lost", "The route was removed after a send")
        : createFailure(
          "no-such-route",
          `No route for "${passage.request.path}"`,
        );
    }
    const keeps = route.parts.some((part) => part.service === passage.service);
    passage.service = keeps ? passage.service : services.chooseService(route);
    passage.route = route;
    passage.version = version;
    return undefined;
  }

  #findEnd(passage: RequestContext): FinalResponse | undefined {
    if (passage.request.signal.aborted) {
      return createFailure("caller-left", "The caller closed the connection");
    }
    const nowMs = this.#options.clock.readMs();
    return nowMs >= passage.deadlineAtMs
      ? this.#outcomes.createUnservedResponse(passage)
      : undefined;
  }

  #checkQuarantine(passage: RequestContext): FinalResponse | undefined {
    if (passage.isTrial && passage.sends > 0) {
      return this.#outcomes.createTrialResponse(passage);
    }
    const decision = this.#options.quarantine.admit(passage);
    switch (decision.kind) {
      case "admitted":
        return undefined;
      case "trial":
        passage.isTrial = true;
        return undefined;
      case "quarantined":
        return this.#outcomes.createQuarantineResponse(passage, decision);
    }
  }

  async #runAttempt(passage: RequestContext): Promise<AttemptResult> {
    const owner = this.#owners.find(passage);
    if (owner.kind === "wait") {
      return this.#waitForOwner(passage, owner.isLongWait);
    }
    passage.ownerMissingSinceMs = null;
    const decision = await this.#waitForPlace(passage, owner.targetId);
    if (decision === undefined) {
      return { kind: "again", pauseMs: 0 };
    }
    if (decision.kind === "refused") {
      return {
        kind: "done",
        answer: this.#outcomes.createNoPlaceResponse(passage, decision),
      };
    }
    const turn = await this.#waitForPermit(passage, decision.target);
    if (
      turn.kind === "granted" &&
      !this.#isOutdated(passage, decision.target, owner.targetId)
    ) {
      return await this.#send(passage, decision, owner);
    }
    this.#options.services.releasePlace(
      passage.service,
      decision.target.id,
      passage.request.requestId,
    );
    return turn.kind === "granted"
      ? { kind: "again", pauseMs: 0 }
      : this.#outcomes.handleOverLimit(passage, {
        target: decision.target,
        retryAfterMs: turn.retryAfterMs,
        isOwner: owner.targetId !== undefined,
      });
  }

  /** Where the target takes only so many requests, all instances share its turns. */
  async #waitForPermit(
    passage: RequestContext,
    target: RoutingTarget,
  ): Promise<PermitDecision> {
    const { clock, rateLimiter: turns, services } = this.#options;
    if (turns.getLimitPerSecond(target) === undefined) {
      return { kind: "granted", waitMs: 0 };
    }
    const workMs = services.getUsualServiceMs(passage.service) ?? 0;
    const lastMs = computeLatestStart(passage, workMs);
    const maxWaitMs = Math.max(0, lastMs - clock.readMs());
    const turn = await turns.claim(target, maxWaitMs);
    if (turn.kind === "granted" && turn.waitMs > 0) {
      await clock.sleep(turn.waitMs, passage.request.signal);
    }
    return turn;
  }

  #waitForOwner(passage: RequestContext, isLong: boolean): AttemptResult {
    const nowMs = this.#options.clock.readMs();
    passage.ownerMissingSinceMs ??= nowMs;
    if (nowMs - passage.ownerMissingSinceMs > USUAL_MOVE_MS) {
      this.#options.refreshOwners(passage.service);
    }
    return !isLong && nowMs - passage.ownerMissingSinceMs < OWNER_WAIT_MS
      ? { kind: "again", pauseMs: OWNER_POLL_MS }
      : {
        kind: "done",
        answer: this.#outcomes.createUnservedResponse(passage),
      };
  }

  /** What decided before it waited for a place may have changed meanwhile. */
  #isOutdated(
    passage: RequestContext,
    target: RoutingTarget,
    owner: string | undefined,
  ): boolean {
    const { catalogue, quarantine } = this.#options;
    const now = this.#owners.find(passage);
    return passage.request.signal.aborted ||
      (owner === undefined && catalogue.findWithdrawal(target.id) !== null) ||
      quarantine.isQuarantined(passage) ||
      catalogue.table?.version !== passage.version ||
      now.kind === "wait" || now.targetId !== owner;
  }

  #waitForPlace(
    passage: RequestContext,
    owner: string | undefined,
  ): Promise<PlaceDecision | undefined> {
    const { request, route, admission, service } = passage;
    const { services } = this.#options;
    const workMs = services.getUsualServiceMs(service) ?? 0;
    return services.waitForPlace(service, {
      requestId: request.requestId,
      priority: route.priority,
      arrivedAtMs: request.arrivedAtMs,
      latestStartMs: computeLatestStart(passage, workMs),
      ...(owner === undefined ? {} : { owner }),
      excluded: passage.excludedTargets,
      ...(admission.kind === "admitted" ? { share: admission.share } : {}),
    }, request.signal);
  }

  async #send(
    passage: RequestContext,
    placed: PlaceDecision & { readonly kind: "placed" },
    owner: OwnerLookup & { readonly kind: "found" },
  ): Promise<AttemptResult> {
    const { clock, sender, services, catalogue, quarantine, limits } =
      this.#options;
    const { request, route, service } = passage;
    const sentAtMs = clock.readMs();
    const remainingMs = passage.deadlineAtMs - sentAtMs;
    passage.sends++;
    services.recordSend(service, passage.sends > 1);
    const late = this.#watchAnswer(passage, placed);
    const outcome = await sender.send({
      targetId: placed.target.id,
      address: placed.target.address,
      maxConnections: catalogue.table?.services.get(service)?.maxConnections ??
        1,
      requestId: request.requestId,
      ...(passage.key === undefined ? {} : { key: passage.key }),
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
      signal: late.signal,
    });
    late.stop();
    services.recordOutcome(
      service,
      placed,
      request.requestId,
      outcome,
      { sentAtMs, isOverdue: late.isOverdue() },
    );
    limits.recordOutcome(placed.target, outcome, sentAtMs);
    quarantine.recordOutcome(passage, {
      target: placed.target,
      outcome,
      sentAtMs,
      isOverdue: late.isOverdue(),
    });
    if (outcome.kind === "not-run" && outcome.cause === "not-owner") {
      this.#options.refreshOwners(service);
    }
    this.#reporter.reportSend(passage, {
      placed,
      owner,
      outcome,
      sentAtMs,
      remainingMs,
    });
    if (late.isOverdue() && outcome.kind === "unknown") {
      // The second send has been claimed already, when this one was given up.
      passage.mayHaveRun = true;
      return { kind: "again", pauseMs: 0 };
    }
    return this.#outcomes.handle(passage, placed.target, outcome);
  }

  /**
   * Gives a send up whose answer is overdue, if the request may be sent again
   * and a second send is allowed just now; otherwise it is waited for on. Load
   * pattern: targets lose 3 to 40 % of their answers, and a lookup whose answer
   * is lost would keep its caller until the deadline.
   */
  #watchAnswer(
    passage: RequestContext,
    placed: PlaceDecision & { readonly kind: "placed" },
  ): SendAbortController {
    const { clock, services } = this.#options;
    const { request, route, sends, service } = passage;
    const watch = new SendAbortController(request.signal);
    if (
      !route.idempotent || sends >= route.maxAttempts || passage.isTrial
    ) {
      return watch;
    }
    const expectedMs = services.estimateAnswerMs(service, placed.target.id);
    const overdueMs = Math.max(MIN_ANSWER_MS, LOST_FACTOR * expectedMs);
    void clock.sleep(overdueMs, watch.signal).then(() => {
      if (
        !watch.signal.aborted && !this.#options.isStopping() &&
        this.#outcomes.claimRetry(passage)
      ) {
        watch.cancelOverdue();
      }
    });
    return watch;
  }
}
