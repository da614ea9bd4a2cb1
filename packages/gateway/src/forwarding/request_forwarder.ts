/**
 * Forwards requests to other instances while this instance's own paths to the
 * targets are lost. A peer carries out one attempt; the retry budget,
 * `maxAttempts` and the deadline stay with this instance.
 */
import type { Clock } from "@lentilspur/ports/clock";
import { isUnsent, type SendOutcome } from "@lentilspur/ports/request_sender";
import { findPathEvidence } from "@lentilspur/routing/target_paths";
import type { Member } from "../members/members.ts";
import type { PathMonitor } from "../paths/path_monitor.ts";
import type { OwnerLookup } from "../requests/owner_finder.ts";
import {
  restoreHeldRetry,
  settleRetryBy,
  settleSentRetry,
  takeHeldRetry,
} from "../requests/held_retry.ts";
import {
  countRuns,
  getFingerprint,
  type RequestContext,
} from "../requests/request_context.ts";
import type { RequestReporter } from "../requests/request_reporter.ts";
import { SendAbortController } from "../requests/send_abort_controller.ts";
import type { StopAdmission } from "../requests/stop_admission.ts";
import type {
  HeldRetry,
  ServiceRegistry,
} from "../requests/service_registry.ts";
import type { TargetIncarnation } from "@lentilspur/routing/target_incarnation";
import type {
  ForwardedRequest,
  ForwardReply,
  UnableReason,
} from "./forwarded_request.ts";
import type { ForwardingClient, HopResult } from "./forwarding_client.ts";
import type { ForwardingPeers } from "./forwarding_peers.ts";

export interface RequestForwarderOptions {
  readonly clock: Clock;
  /** Name and incarnation of this instance. */
  readonly instance: string;
  readonly incarnation: string;
  readonly client: ForwardingClient;
  readonly peers: ForwardingPeers;
  readonly paths: PathMonitor;
  readonly services: ServiceRegistry;
  readonly findTarget: (id: string) => TargetIncarnation | undefined;
  /** During a stop, no silent peer is given up. */
  readonly stopAdmission: Pick<StopAdmission, "isStopping">;
}

export interface ForwardTools {
  readonly reporter: RequestReporter;
  readonly claimRetry: (context: RequestContext) => boolean;
}

export type ForwardResult =
  | (ForwardReply & { readonly kind: "sent" | "refused" })
  /** The peer may have sent the request; it is not known to which target. */
  | {
    readonly kind: "lost";
    readonly outcome: SendOutcome & { readonly kind: "unknown" };
    readonly isOverdue: boolean;
  }
  /** No peer could try it. */
  | { readonly kind: "no-peer" };

type FoundOwner = OwnerLookup & { readonly kind: "found" };

/**
 * Deducted from the time that is left, so that the caller gets an answer at its
 * deadline although the reply takes a moment.
 */
const HOP_MS = 5;
/** Peers asked for one request, of which most refuse at once. */
const MAX_PEERS = 8;
/** Peers that do not reach the owner of a key either, before it is given up. */
const MAX_UNREACHED = 2;
/** A peer that takes longer than this for a request has failed. */
const MIN_OVERDUE_MS = 600;
/** The same as a multiple of the usual time of a request. */
const OVERDUE_FACTOR = 6;

export class RequestForwarder {
  readonly #options: RequestForwarderOptions;

  constructor(options: RequestForwarderOptions) {
    this.#options = options;
  }

  /** Whether there is an instance that has not been asked for this request. */
  hasPeer({ excludedPeers }: RequestContext): boolean {
    return excludedPeers.size < MAX_PEERS &&
      this.#options.peers.hasPeer(excludedPeers);
  }

  /** Asks one peer after the other until one has sent or refused the request. */
  async forward(
    context: RequestContext,
    owner: FoundOwner,
    tools: ForwardTools,
  ): Promise<ForwardResult> {
    const { excludedPeers } = context;
    let unreached = 0;
    while (
      this.hasPeer(context) && !context.hasEnded &&
      !context.request.signal.aborted
    ) {
      const peer = this.#options.peers.choose(excludedPeers)!;
      excludedPeers.add(peer.instance);
      const result = await this.#forwardTo(peer, context, { owner, tools });
      switch (result.kind) {
        case "unreached":
          this.#options.peers.markUnusable(peer);
          continue;
        case "unable":
          if (isUnableInGeneral(result.reason, owner)) {
            this.#options.peers.markUnusable(peer);
          }
          continue;
        case "lost":
          this.#options.peers.markUnusable(peer);
          return result;
        case "refused":
          excludedPeers.delete(peer.instance);
          return result;
        case "sent":
          if (!isUnsent(result.outcome)) {
            excludedPeers.delete(peer.instance);
            return result;
          }
          if (++unreached >= MAX_UNREACHED) {
            context.sends++;
            this.#recordUnreached(result.targetId, result.outcome);
            return result;
          }
      }
    }
    return { kind: "no-peer" };
  }

  async #forwardTo(
    peer: Member,
    context: RequestContext,
    { owner, tools }: {
      readonly owner: FoundOwner;
      readonly tools: ForwardTools;
    },
  ): Promise<
    | Exclude<HopResult, { readonly kind: "lost" }>
    | (ForwardResult & { readonly kind: "lost" })
  > {
    const { clock, client, peers } = this.#options;
    const sentAtMs = clock.readMs();
    const retry = takeHeldRetry(context);
    const abortController = this.#watchReply(context, tools);
    peers.recordOpened(peer);
    const message = this.#createMessage(context);
    const result = await client.forward(peer, message, abortController.signal);
    peers.recordClosed(peer);
    abortController.stop();
    this.#settleRetry(context, retry, result);
    this.#recordResult(context, peer, result);
    tools.reporter.reportForward(context, { peer, owner, result, sentAtMs });
    if (result.kind !== "lost") {
      return result;
    }
    const { cause, message: description } = result;
    const outcome = { kind: "unknown", cause, message: description } as const;
    return {
      kind: "lost",
      outcome,
      isOverdue: abortController.isOverdue(),
    };
  }

  #createMessage(context: RequestContext): ForwardedRequest {
    const { clock, instance: from, incarnation } = this.#options;
    const { request, key, admission, service, deadlineAtMs } = context;
    const nowMs = clock.readMs();
    return {
      from,
      incarnation,
      requestId: request.requestId,
      method: request.method,
      host: request.host,
      path: request.path,
      headers: request.headers,
      ...(key === undefined ? {} : { key }),
      service,
      ...(admission.kind === "admitted" ? { share: admission.share } : {}),
      remainingMs: deadlineAtMs - nowMs - HOP_MS,
      elapsedMs: nowMs - request.arrivedAtMs,
      sends: countRuns(context),
      excludedTargets: [...context.excludedTargets],
      refusingOwner: context.refusingOwner,
      isTrial: context.isTrial,
      fingerprint: getFingerprint(context),
      body: request.body,
    };
  }

  #settleRetry(
    context: RequestContext,
    retry: HeldRetry | null,
    result: HopResult,
  ): void {
    switch (result.kind) {
      case "sent":
        settleSentRetry(
          context,
          { retry, outcome: result.outcome },
          this.#options,
        );
        break;
      case "lost":
        // The peer may go on until the deadline of the request.
        settleRetryBy(
          context,
          { retry, latestArrivalMs: context.deadlineAtMs },
          this.#options,
        );
        break;
      case "refused":
      case "unable":
      case "unreached":
        restoreHeldRetry(context, retry, this.#options);
        break;
    }
  }

  /** Counts a send, and records what the result proves about a target. */
  #recordResult(
    context: RequestContext,
    peer: Member,
    result: HopResult,
  ): void {
    const { findTarget, paths } = this.#options;
    const isSent = result.kind === "lost" ||
      (result.kind === "sent" && !isUnsent(result.outcome));
    if (isSent) {
      context.sends++;
    }
    if (result.kind !== "sent") {
      return;
    }
    const target = findTarget(result.targetId);
    const evidence = findPathEvidence(result.outcome, result.isOverdue);
    if (target !== undefined && evidence?.kind === "response") {
      paths.paths.recordReachedElsewhere(target, peer.instance);
    }
  }

  #recordUnreached(targetId: string, outcome: SendOutcome): void {
    const { clock, paths, findTarget } = this.#options;
    const target = findTarget(targetId);
    const isUnreachable = outcome.kind === "not-run" &&
      outcome.cause === "unreachable";
    if (target !== undefined && isUnreachable) {
      paths.paths.recordUnreachedElsewhere(target, clock.readMs());
    }
  }

  /**
   * Aborts a forwarded request whose peer has fallen silent, if the request may
   * be sent again and the retry budget allows it at that moment.
   */
  #watchReply(
    context: RequestContext,
    { claimRetry }: ForwardTools,
  ): SendAbortController {
    const { clock, services, stopAdmission } = this.#options;
    const { request, route, service } = context;
    const abortController = new SendAbortController(request.signal);
    const runs = countRuns(context) + 1;
    if (
      !route.idempotent || runs >= route.maxAttempts || context.isTrial
    ) {
      return abortController;
    }
    const expectedMs = services.getAverageServiceMs(service) ?? 0;
    const overdueMs = Math.max(MIN_OVERDUE_MS, OVERDUE_FACTOR * expectedMs);
    const whenOverdue = clock.sleep(overdueMs, abortController.signal)
      .then(() => clock.waitForArrivals());
    void whenOverdue.then(() => {
      if (
        !abortController.signal.aborted && !stopAdmission.isStopping &&
        claimRetry(context)
      ) {
        abortController.cancelOverdue();
      }
    });
    return abortController;
  }
}

/** Whether a peer that could not try one request cannot try others either. */
function isUnableInGeneral(
  reason: UnableReason,
  { targetId: owner }: FoundOwner,
): boolean {
  switch (reason) {
    case "unknown-sender":
    case "malformed":
    case "stopping":
    case "isolated":
      return true;
    case "path-lost":
      // Without an owner, it has lost the paths to many targets.
      return owner === undefined;
    case "configuration":
    case "memory":
      return false;
  }
}
