/**
 * Decides from what came of a send whether the request is answered, sent again
 * or given up. Only proof that it has not run, or that it may run twice, lets
 * it be sent again.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type { SendOutcome } from "@lentilspur/ports/request_sender";
import type { RoutingTarget } from "@lentilspur/ports/routing_table";
import type { SuspectDecision } from "@lentilspur/routing/crash_suspects";
import type { PlaceDecision } from "@lentilspur/routing/service_places";
import type { FinalResponse } from "../entry/caller_request.ts";
import type { Catalogue } from "../views/catalogue.ts";
import {
  type AttemptResult,
  computeRetryAfterMs,
  createFailure,
  type RequestContext,
  setRefusal,
} from "./request_context.ts";
import type { ServiceRegistry } from "./service_registry.ts";

/** A refused request is asked to come back at the earliest after this. */
export const REFUSED_RETRY_MS = 100;
/** A target that refused is followed by another; a target that holds no such key is asked again after this. */
const NOT_OWNER_PAUSE_MS = 60;

export interface OutcomeHandlerOptions {
  readonly clock: Clock;
  readonly services: ServiceRegistry;
  readonly catalogue: Catalogue;
}

export class OutcomeHandler {
  readonly #clock: Clock;
  readonly #services: ServiceRegistry;
  readonly #catalogue: Catalogue;

  constructor({ clock, services, catalogue }: OutcomeHandlerOptions) {
    this.#clock = clock;
    this.#services = services;
    this.#catalogue = catalogue;
  }

  handle(
    passage: RequestContext,
    target: RoutingTarget,
    outcome: SendOutcome,
  ): AttemptResult {
    switch (outcome.kind) {
      case "answered":
        return { kind: "done", answer: outcome };
      case "not-run":
        return this.#handleNotRun(passage, target, outcome);
      case "unknown":
        return this.#handleUnknown(passage, target, outcome);
    }
  }

  #handleNotRun(
    passage: RequestContext,
    target: RoutingTarget,
    outcome: SendOutcome & { readonly kind: "not-run" },
  ): AttemptResult {
    const isUnreachable = outcome.cause === "unreachable";
    setRefusal(
      passage,
      isUnreachable ? "target-unreachable" : "target-refused",
      { message: outcome.message, retryAfterMs: REFUSED_RETRY_MS },
    );
    if (outcome.cause !== "not-owner") {
      passage.excludedTargets.add(target.id);
    }
    // What was never sent is no second arrival at the service.
    if (!isUnreachable && !this.claimRetry(passage)) {
      return { kind: "done", answer: this.createUnservedResponse(passage) };
    }
    const pauseMs = outcome.cause === "not-owner" ? NOT_OWNER_PAUSE_MS : 0;
    return { kind: "again", pauseMs };
  }

  #handleUnknown(
    passage: RequestContext,
    target: RoutingTarget,
    outcome: SendOutcome & { readonly kind: "unknown" },
  ): AttemptResult {
    passage.mayHaveRun = true;
    if (outcome.cause !== "silent") {
      passage.excludedTargets.add(target.id);
    }
    const mayRetry = passage.route.idempotent &&
      outcome.cause !== "cancelled" && this.claimRetry(passage);
    if (mayRetry) {
      return { kind: "again", pauseMs: 0 };
    }
    const failure = outcome.cause === "cancelled"
      ? "caller-left"
      : outcome.cause === "silent"
      ? "answer-late"
      : "answer-lost";
    return { kind: "done", answer: createFailure(failure, outcome.message) };
  }

  /** The final answer of a request that gets no place. */
  createNoPlaceResponse(
    passage: RequestContext,
    decision: PlaceDecision & { readonly kind: "refused" },
  ): FinalResponse {
    if (passage.mayHaveRun) {
      return createFailure(
        "answer-lost",
        "Its answer was lost, and no other target has room",
      );
    }
    const retryAfterMs = computeRetryAfterMs(
      passage,
      decision.retryAfterMs,
      this.#clock.readMs(),
    );
    switch (decision.reason) {
      case "no-target":
        return passage.excludedTargets.size > 0
          ? this.createUnservedResponse(passage)
          : createFailure(
            "no-target",
            this.#describeNoTarget(passage.service),
            retryAfterMs,
          );
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
    const why = evacuated.length === 0
      ? ""
      : `; evacuated data centres: ${evacuated.join(", ")}`;
    return `Service "${service}" has no target to send to${why}`;
  }

  /** The final answer of a request that has crashed its targets. */
  createQuarantineResponse(
    passage: RequestContext,
    { crashes, retryAfterMs }: SuspectDecision & {
      readonly kind: "quarantined";
    },
  ): FinalResponse {
    const message = `${crashes} targets have ended while they ran it`;
    return passage.mayHaveRun
      ? createFailure("answer-lost", message)
      : createFailure("quarantined", message, retryAfterMs);
  }

  /** The final answer of a request whose one trial has not answered it. */
  createTrialResponse(passage: RequestContext): FinalResponse {
    return passage.mayHaveRun
      ? createFailure("answer-lost", "Its answer was lost again")
      : this.createUnservedResponse(passage);
  }

  /** The target takes no more just now; another may, unless it owns the key. */
  handleOverLimit(passage: RequestContext, refused: {
    readonly target: RoutingTarget;
    readonly retryAfterMs: number;
    readonly isOwner: boolean;
  }): AttemptResult {
    const { target, retryAfterMs, isOwner } = refused;
    setRefusal(passage, "overloaded", {
      message: `Target "${target.id}" takes no more requests a second`,
      retryAfterMs,
    });
    if (isOwner) {
      return { kind: "done", answer: this.createUnservedResponse(passage) };
    }
    passage.excludedTargets.add(target.id);
    return { kind: "again", pauseMs: 0 };
  }

  /** The final answer of a request that no further send can help. */
  createUnservedResponse(passage: RequestContext): FinalResponse {
    if (passage.mayHaveRun) {
      return createFailure("answer-late", "No answer came in time");
    }
    const { failure, message, retryAfterMs } = passage.lastRefusal;
    return createFailure(
      failure,
      message,
      computeRetryAfterMs(passage, retryAfterMs, this.#clock.readMs()),
    );
  }

  /** Takes a second send, if the route and the budget allow one. */
  claimRetry(passage: RequestContext): boolean {
    return passage.sends < passage.route.maxAttempts &&
      this.#services.claimRetry(passage.service);
  }
}
