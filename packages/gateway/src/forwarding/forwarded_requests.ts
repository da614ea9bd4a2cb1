/**
 * Carries out one attempt of a request that another instance has forwarded, as
 * if this instance had received the request itself. It is never forwarded
 * again.
 */
import type { Clock } from "@lentilspur/ports/clock";
import { isUnsent } from "@lentilspur/ports/request_sender";
import type { Member } from "../members/members.ts";
import type { PathMonitor } from "../paths/path_monitor.ts";
import type { Attempt, AttemptRunner } from "../requests/attempt_runner.ts";
import { isBeingSent, OpenRequests } from "../requests/open_requests.ts";
import type { OutcomeHandler } from "../requests/outcome_handler.ts";
import type { OwnerFinder, OwnerLookup } from "../requests/owner_finder.ts";
import type { RequestContext } from "../requests/request_context.ts";
import type { RequestQuarantine } from "../requests/request_quarantine.ts";
import type { StopAdmission } from "../requests/stop_admission.ts";
import type { FinalResponse } from "../entry/caller_request.ts";
import type { Catalogue } from "../views/catalogue.ts";
import type { ForwardedRequest, ForwardReply } from "./forwarded_request.ts";

export interface ForwardedRequestsOptions {
  readonly clock: Clock;
  readonly catalogue: Catalogue;
  readonly paths: PathMonitor;
  readonly quarantine: RequestQuarantine;
  readonly findMember: (name: string) => Member | undefined;
  readonly stopAdmission: StopAdmission;
}

/** The components of the router that forwarded requests use. */
export interface ForwardedRequestTools {
  readonly ownerFinder: OwnerFinder;
  readonly outcomes: OutcomeHandler;
  readonly runner: AttemptRunner;
  /** Waits a moment for the owner of a key; undefined means look again. */
  readonly waitForOwner: (
    context: RequestContext,
    isLongWait: boolean,
  ) => Promise<FinalResponse | undefined>;
}

const STOPPING: ForwardReply = { kind: "unable", reason: "stopping" };

type FoundOwner = OwnerLookup & { readonly kind: "found" };

export class ForwardedRequests {
  readonly #options: ForwardedRequestsOptions;
  readonly #tools: ForwardedRequestTools;
  readonly #open = new OpenRequests<ForwardReply>((context) =>
    isBeingSent(context) ? undefined : STOPPING
  );

  constructor(
    options: ForwardedRequestsOptions,
    tools: ForwardedRequestTools,
  ) {
    this.#options = options;
    this.#tools = tools;
  }

  /**
   * `receivedAtMs` is when the request arrived here, by the local clock. The
   * signal aborts when the instance that forwarded it has given up.
   */
  async handle(
    forwarded: ForwardedRequest,
    { receivedAtMs, signal }: {
      readonly receivedAtMs: number;
      readonly signal: AbortSignal;
    },
  ): Promise<ForwardReply> {
    const { stopAdmission, paths, findMember } = this.#options;
    if (findMember(forwarded.from)?.incarnation !== forwarded.incarnation) {
      return { kind: "unable", reason: "unknown-sender" };
    }
    if (stopAdmission.isStopping) {
      return STOPPING;
    }
    if (paths.paths.isDoubtful) {
      return { kind: "unable", reason: "isolated" };
    }
    const context = this.#createContext(forwarded, { receivedAtMs, signal });
    return context === undefined
      ? { kind: "unable", reason: "configuration" }
      : await this.#open.run(context, () => this.#run(context));
  }

  /** Returns waiting requests that could outlast this instance. */
  refuseLate(): void {
    const { stopAdmission } = this.#options;
    this.#open.refuseWaiting((context) => stopAdmission.maySend(context));
  }

  /** Returns all requests that no target may have, since the process ends. */
  stopAll(): void {
    this.#open.stopAll();
  }

  #createContext(
    forwarded: ForwardedRequest,
    { receivedAtMs, signal }: {
      readonly receivedAtMs: number;
      readonly signal: AbortSignal;
    },
  ): RequestContext | undefined {
    const { catalogue } = this.#options;
    const { service, share, remainingMs, fingerprint } = forwarded;
    const request = {
      requestId: forwarded.requestId,
      deadlineMs: remainingMs,
      key: forwarded.key,
      credential: undefined,
      method: forwarded.method,
      host: forwarded.host,
      path: forwarded.path,
      headers: forwarded.headers,
      body: forwarded.body,
      arrivedAtMs: receivedAtMs - forwarded.elapsedMs,
      signal,
    };
    const route = catalogue.match(request)?.route;
    if (route?.parts.some((part) => part.service === service) !== true) {
      return undefined;
    }
    return {
      request,
      key: forwarded.key,
      admission: share === undefined
        ? { kind: "open" }
        : { kind: "admitted", service, share },
      deadlineAtMs: receivedAtMs + remainingMs,
      excludedTargets: new Set(forwarded.excludedTargets),
      // Only the instance that the caller has reached can tell.
      hasReturned: false,
      excludedPeers: new Set(),
      sends: forwarded.sends,
      unreachableSends: 0,
      refusedSends: 0,
      latestArrivalMs: -Infinity,
      heldRetry: null,
      ownerMissingSinceMs: null,
      refusingOwner: forwarded.refusingOwner,
      mayHaveRun: false,
      isTrial: forwarded.isTrial,
      isForwardDue: false,
      ...(fingerprint === undefined ? {} : { fingerprint }),
      origin: forwarded.from,
      stage: "admitted",
      hasEnded: false,
      route,
      service,
      version: catalogue.routingTable!.version,
      lastRefusal: {
        failure: "target-unreachable",
        message: "No target was reached",
        retryAfterMs: 0,
      },
    };
  }

  async #run(context: RequestContext): Promise<ForwardReply> {
    const { clock, quarantine, catalogue, stopAdmission } = this.#options;
    const { ownerFinder, outcomes, runner, waitForOwner } = this.#tools;
    for (;;) {
      if (context.request.signal.aborted) {
        return refuse({ kind: "failed", failure: "caller-left", message: "" });
      }
      if (clock.readMs() >= context.deadlineAtMs) {
        return refuse(outcomes.createFinalFailure(context));
      }
      if (
        catalogue.routingTable?.version !== context.version ||
        quarantine.isQuarantined(context)
      ) {
        return { kind: "unable", reason: "configuration" };
      }
      if (context.hasEnded || !stopAdmission.maySend(context)) {
        return STOPPING;
      }
      const owner = ownerFinder.find(context);
      if (owner.kind === "wait") {
        context.stage = "waiting-for-owner";
        const failure = await waitForOwner(context, owner.isLongWait);
        if (failure !== undefined) {
          return refuse(failure);
        }
        continue;
      }
      context.ownerMissingSinceMs = null;
      context.refusingOwner = null;
      const attempt = await runner.run(context, owner, {
        refusesLostPaths: true,
      });
      const reply = this.#toReply(context, owner, attempt);
      if (reply !== undefined) {
        return reply;
      }
    }
  }

  /** Undefined if another target or another choice may be tried. */
  #toReply(
    context: RequestContext,
    owner: FoundOwner,
    attempt: Attempt,
  ): ForwardReply | undefined {
    const { outcomes } = this.#tools;
    switch (attempt.kind) {
      case "outdated":
        return undefined;
      case "no-place":
        return attempt.decision.reason === "path-lost"
          ? { kind: "unable", reason: "path-lost" }
          : refuse(outcomes.createNoPlaceResponse(context, attempt.decision));
      case "over-limit": {
        const result = outcomes.handleOverLimit(context, {
          target: attempt.target,
          retryAfterMs: attempt.retryAfterMs,
          isOwner: owner.targetId !== undefined,
        });
        return result.kind === "done" ? refuse(result.response) : undefined;
      }
      case "sent": {
        const { target, outcome, isOverdue } = attempt;
        if (
          owner.targetId === undefined && isUnsent(outcome)
        ) {
          context.excludedTargets.add(target.id);
          return undefined;
        }
        return {
          kind: "sent",
          targetId: target.id,
          ...(owner.token === undefined ? {} : { token: owner.token }),
          outcome,
          isOverdue,
        };
      }
    }
  }
}

function refuse(response: FinalResponse): ForwardReply {
  if (response.kind === "answered") {
    return { kind: "unable", reason: "malformed" };
  }
  const { failure, message, retryAfterMs } = response;
  return {
    kind: "refused",
    failure,
    message,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
}
