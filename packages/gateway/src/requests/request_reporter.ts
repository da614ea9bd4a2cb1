/** Reports each send of a request and its final response. */
import type { Clock } from "@lentilspur/ports/clock";
import type { ConnectionTrace } from "@lentilspur/ports/connection_trace";
import type {
  NotRunProof,
  SendOutcome,
} from "@lentilspur/ports/request_sender";
import type { StreamBreak, StreamEnd } from "@lentilspur/ports/response_stream";
import type { RetryClaim } from "@lentilspur/routing/retry_budget";
import type { PlaceDecision } from "@lentilspur/routing/service_places";
import type { CallerRequest, FinalResponse } from "../entry/caller_request.ts";
import type { OwnerLookup } from "./owner_finder.ts";
import type { HopResult } from "../forwarding/forwarding_client.ts";
import type { Member } from "../members/members.ts";
import {
  getFingerprint,
  type PlaceRefusal,
  type RequestContext,
  type RequestStage,
} from "./request_context.ts";

export type RequestEvent =
  | {
    readonly kind: "send";
    readonly requestId: string;
    /** Number of this send among the sends of the request, from 1. */
    readonly attempt: number;
    readonly route: string;
    readonly service: string;
    readonly targetId: string;
    readonly idempotent: boolean;
    readonly configurationVersion: number;
    readonly key?: number;
    /** Fencing token of the owner's grant. */
    readonly token?: number;
    /** Offset of the ownership record that names the owner. */
    readonly ownersOffset?: number;
    readonly occupancy: number;
    readonly waitedMs: number;
    /** Set if it was sent to correct an outdated estimate. */
    readonly isRecheck?: true;
    readonly remainingMs: number;
    readonly outcome: string;
    readonly cause?: string;
    /** What proves that the request has not run. */
    readonly proof?: NotRunProof;
    /** The connection that carried the request, if one did. */
    readonly trace?: ConnectionTrace;
    /** What is wrong with a response that is not a valid one. */
    readonly message?: string;
    readonly status?: number;
    readonly tookMs: number;
    /** The usual time; set if the send was given up as overdue. */
    readonly expectedMs?: number;
    /** Bytes that arrived of a response that was passed on in parts. */
    readonly streamedBytes?: number;
    /** Why such a response broke off. */
    readonly brokenOff?: StreamBreak;
    /**
     * Requests per second that the target accepts from all instances together.
     */
    readonly limitPerSecond?: number;
    /** Set if the target reports that it is leaving. */
    readonly isLeaving?: true;
    /** How long the target asks this instance to send it no more requests. */
    readonly backoffMs?: number;
    /** How the retry budget allowed this send, if it is a retry. */
    readonly retryClaim?: RetryClaim;
    /** Same for all retries by the caller; given if the outcome is unknown. */
    readonly fingerprint?: string;
    /** The instance that has forwarded the request to this one. */
    readonly origin?: string;
  }
  | {
    /** A request was forwarded to another instance. */
    readonly kind: "forward";
    readonly requestId: string;
    readonly peer: string;
    readonly route: string;
    readonly service: string;
    readonly idempotent: boolean;
    readonly key?: number;
    /** The owner of the key, as far as this instance knows. */
    readonly owner?: string;
    readonly remainingMs: number;
    /**
     * What the peer did: it sent the request (`sent`), refused it (`refused`),
     * could not try (`unable`), was not reached (`unreached`), or did not tell
     * (`lost`).
     */
    readonly outcome: string;
    readonly cause?: string;
    /** The target that the peer sent the request to, and how that ended. */
    readonly targetId?: string;
    readonly sendOutcome?: string;
    /**
     * What proves that the request has not run: at the target if the peer sent
     * it, and otherwise on the way to the peer.
     */
    readonly proof?: NotRunProof;
    /** The connection to the peer, if the peer did not tell what it did. */
    readonly trace?: ConnectionTrace;
    readonly tookMs: number;
  }
  | {
    readonly kind: "final";
    readonly requestId: string;
    readonly route: string;
    readonly service: string;
    /** Undefined if no route matched. */
    readonly idempotent?: boolean;
    readonly clientAccount?: string;
    readonly outcome: string;
    readonly status?: number;
    readonly message?: string;
    readonly retryAfterMs?: number;
    /** The last decision of the retry budget, if the request has failed. */
    readonly retryClaim?: RetryClaim;
    readonly sends: number;
    /** Until the target had sent the whole response, if it was streamed. */
    readonly tookMs: number;
    readonly streamedBytes?: number;
    readonly brokenOff?: StreamBreak;
    /** Set if only the end of the target's connection ended the response. */
    readonly isCloseDelimited?: true;
    /** How far a request that failed had got. */
    readonly stage?: RequestStage;
    /** How long it could take at its admission. */
    readonly allowedMs?: number;
    /** Why it got no place, and from what that was decided. */
    readonly refusal?: PlaceRefusal;
  };

export class RequestReporter {
  readonly #clock: Clock;
  readonly #observe: (event: RequestEvent) => void;

  constructor(clock: Clock, observe: (event: RequestEvent) => void) {
    this.#clock = clock;
    this.#observe = observe;
  }

  reportSend(context: RequestContext, sent: {
    readonly placed: PlaceDecision & { readonly kind: "placed" };
    readonly owner: OwnerLookup & { readonly kind: "found" };
    readonly outcome: SendOutcome;
    readonly sentAtMs: number;
    readonly remainingMs: number;
    /** The expected response time, if the send was given up as overdue. */
    readonly overdueExpectedMs: number | undefined;
    readonly retryClaim: RetryClaim | undefined;
    readonly end: StreamEnd | undefined;
  }): void {
    const { placed, owner, outcome, sentAtMs, remainingMs, retryClaim } = sent;
    const { overdueExpectedMs, end } = sent;
    const { request } = context;
    this.#observe({
      kind: "send",
      requestId: request.requestId,
      attempt: context.sends,
      route: context.route.name,
      service: context.service,
      targetId: placed.target.id,
      idempotent: context.route.idempotent,
      configurationVersion: context.version,
      ...(context.key === undefined ? {} : { key: context.key }),
      ...(owner.token === undefined ? {} : { token: owner.token }),
      ...(owner.ownersOffset === undefined
        ? {}
        : { ownersOffset: owner.ownersOffset }),
      occupancy: placed.occupancy,
      waitedMs: Math.round(placed.waitedMs),
      ...(placed.isRecheck === undefined
        ? {}
        : { isRecheck: placed.isRecheck }),
      remainingMs: Math.round(remainingMs),
      outcome: outcome.kind,
      ...(outcome.kind === "answered"
        ? { status: outcome.status }
        : { cause: outcome.cause }),
      ...(outcome.kind === "not-run" ? { proof: outcome.proof } : {}),
      ...(outcome.trace === undefined ? {} : { trace: outcome.trace }),
      ...(outcome.kind === "unknown" && outcome.cause === "garbled"
        ? { message: outcome.message }
        : {}),
      tookMs: Math.round(this.#clock.readMs() - sentAtMs),
      ...(overdueExpectedMs === undefined
        ? {}
        : { expectedMs: Math.round(overdueExpectedMs) }),
      ...describeEnd(end),
      ...(outcome.kind === "unknown" || outcome.limitPerSecond === undefined
        ? {}
        : { limitPerSecond: outcome.limitPerSecond }),
      ...(outcome.kind !== "unknown" && outcome.isLeaving === true
        ? { isLeaving: true as const }
        : {}),
      ...(outcome.kind === "unknown" || outcome.backoffMs === undefined
        ? {}
        : { backoffMs: outcome.backoffMs }),
      ...(retryClaim === undefined ? {} : { retryClaim }),
      ...(context.origin === null ? {} : { origin: context.origin }),
      ...(outcome.kind === "unknown"
        ? { fingerprint: getFingerprint(context) }
        : {}),
    });
  }

  reportForward(context: RequestContext, forwarded: {
    readonly peer: Pick<Member, "instance">;
    readonly owner: OwnerLookup & { readonly kind: "found" };
    readonly result: HopResult;
    readonly sentAtMs: number;
  }): void {
    const { peer, owner, result, sentAtMs } = forwarded;
    const { request, key } = context;
    this.#observe({
      kind: "forward",
      requestId: request.requestId,
      peer: peer.instance,
      route: context.route.name,
      service: context.service,
      idempotent: context.route.idempotent,
      ...(key === undefined ? {} : { key }),
      ...(owner.targetId === undefined ? {} : { owner: owner.targetId }),
      remainingMs: Math.round(context.deadlineAtMs - sentAtMs),
      outcome: result.kind,
      ...describeHop(result),
      tookMs: Math.round(this.#clock.readMs() - sentAtMs),
    });
  }

  reportFinal(
    request: CallerRequest,
    context: RequestContext | undefined,
    answer: FinalResponse,
    end?: StreamEnd,
  ): void {
    this.#observe({
      kind: "final",
      requestId: request.requestId,
      route: context?.route.name ?? "",
      service: context?.service ?? "",
      ...(context === undefined
        ? {}
        : { idempotent: context.route.idempotent }),
      ...(context?.admission.kind === "admitted"
        ? { clientAccount: context.admission.share.clientAccount }
        : {}),
      sends: context?.sends ?? 0,
      tookMs: Math.round(this.#clock.readMs() - request.arrivedAtMs),
      ...describeEnd(end),
      ...(answer.kind === "answered"
        ? {
          outcome: end?.kind === "broken" ? "broken-off" : "answered",
          status: answer.status,
          ...(answer.isSelfDelimited
            ? {}
            : { isCloseDelimited: true as const }),
        }
        : {
          outcome: answer.failure,
          message: answer.message,
          ...(answer.retryAfterMs === undefined
            ? {}
            : { retryAfterMs: Math.round(answer.retryAfterMs) }),
          ...(context?.retryClaim === undefined
            ? {}
            : { retryClaim: context.retryClaim }),
          ...(context === undefined ? {} : {
            stage: context.stage,
            allowedMs: Math.round(context.deadlineAtMs - request.arrivedAtMs),
            ...(context.placeRefusal === undefined
              ? {}
              : { refusal: context.placeRefusal }),
          }),
        }),
    });
  }
}

function describeHop(
  result: HopResult,
): Pick<
  RequestEvent & { readonly kind: "forward" },
  "cause" | "targetId" | "sendOutcome" | "proof" | "trace"
> {
  switch (result.kind) {
    case "sent": {
      const { targetId, outcome } = result;
      return {
        targetId,
        sendOutcome: outcome.kind,
        ...(outcome.kind === "answered" ? {} : { cause: outcome.cause }),
        ...(outcome.kind === "not-run" ? { proof: outcome.proof } : {}),
      };
    }
    case "refused":
      return { cause: result.failure };
    case "unable":
      return { cause: result.reason };
    case "lost":
      return {
        cause: result.cause,
        ...(result.trace === undefined ? {} : { trace: result.trace }),
      };
    case "unreached":
      return { cause: result.message, proof: result.proof };
  }
}

function describeEnd(
  end: StreamEnd | undefined,
): { readonly streamedBytes?: number; readonly brokenOff?: StreamBreak } {
  if (end === undefined) {
    return {};
  }
  return {
    streamedBytes: end.bytes,
    ...(end.kind === "broken" ? { brokenOff: end.cause } : {}),
  };
}
