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
  computeReturnMs,
  createFailure,
  type Passage,
  setRefusal,
  type Step,
} from "./passage.ts";
import type { ServiceRegistry } from "./service_registry.ts";

/** A refused request is asked to come back at the earliest after this. */
export const REFUSED_RETRY_MS = 100;
/** A target that refused is followed by another; a target that holds no such key is asked again after this. */
const NOT_OWNER_PAUSE_MS = 60;

export interface OutcomeSettlerOptions {
  readonly clock: Clock;
  readonly services: ServiceRegistry;
  readonly catalogue: Catalogue;
}

export class OutcomeSettler {
  readonly #clock: Clock;
  readonly #services: ServiceRegistry;
  readonly #catalogue: Catalogue;

  constructor({ clock, services, catalogue }: OutcomeSettlerOptions) {
    this.#clock = clock;
    this.#services = services;
    this.#catalogue = catalogue;
  }

  settle(
    passage: Passage,
    target: RoutingTarget,
    outcome: SendOutcome,
  ): Step {
    switch (outcome.kind) {
      case "answered":
        return { kind: "done", answer: outcome };
      case "not-run":
        return this.#settleNotRun(passage, target, outcome);
      case "unknown":
        return this.#settleUnknown(passage, target, outcome);
    }
  }

  #settleNotRun(
    passage: Passage,
    target: RoutingTarget,
    outcome: SendOutcome & { readonly kind: "not-run" },
  ): Step {
    const isUnreachable = outcome.cause === "unreachable";
    setRefusal(
      passage,
      isUnreachable ? "target-unreachable" : "target-refused",
      { message: outcome.message, retryAfterMs: REFUSED_RETRY_MS },
    );
    if (outcome.cause !== "not-owner") {
      passage.excluded.add(target.id);
    }
    // What was never sent is no second arrival at the service.
    if (!isUnreachable && !this.claimRetry(passage)) {
      return { kind: "done", answer: this.settleUnserved(passage) };
    }
    const pauseMs = outcome.cause === "not-owner" ? NOT_OWNER_PAUSE_MS : 0;
    return { kind: "again", pauseMs };
  }

  #settleUnknown(
    passage: Passage,
    target: RoutingTarget,
    outcome: SendOutcome & { readonly kind: "unknown" },
  ): Step {
    passage.mayHaveRun = true;
    if (outcome.cause !== "silent") {
      passage.excluded.add(target.id);
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
  settleRefusal(
    passage: Passage,
    decision: PlaceDecision & { readonly kind: "refused" },
  ): FinalResponse {
    if (passage.mayHaveRun) {
      return createFailure(
        "answer-lost",
        "Its answer was lost, and no other target has room",
      );
    }
    const retryAfterMs = computeReturnMs(
      passage,
      decision.retryAfterMs,
      this.#clock.readMs(),
    );
    switch (decision.reason) {
      case "no-target":
        return passage.excluded.size > 0
          ? this.settleUnserved(passage)
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
  settleQuarantined(
    passage: Passage,
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
  settleTrial(passage: Passage): FinalResponse {
    return passage.mayHaveRun
      ? createFailure("answer-lost", "Its answer was lost again")
      : this.settleUnserved(passage);
  }

  /** The target takes no more just now; another may, unless it owns the key. */
  settleOverLimit(passage: Passage, refused: {
    readonly target: RoutingTarget;
    readonly retryAfterMs: number;
    readonly isOwner: boolean;
  }): Step {
    const { target, retryAfterMs, isOwner } = refused;
    setRefusal(passage, "overloaded", {
      message: `Target "${target.id}" takes no more requests a second`,
      retryAfterMs,
    });
    if (isOwner) {
      return { kind: "done", answer: this.settleUnserved(passage) };
    }
    passage.excluded.add(target.id);
    return { kind: "again", pauseMs: 0 };
  }

  /** The final answer of a request that no further send can help. */
  settleUnserved(passage: Passage): FinalResponse {
    if (passage.mayHaveRun) {
      return createFailure("answer-late", "No answer came in time");
    }
    const { failure, message, retryAfterMs } = passage.lastRefusal;
    return createFailure(
      failure,
      message,
      computeReturnMs(passage, retryAfterMs, this.#clock.readMs()),
    );
  }

  /** Takes a second send, if the route and the budget allow one. */
  claimRetry(passage: Passage): boolean {
    return passage.sends < passage.route.maxAttempts &&
      this.#services.claimRetry(passage.service);
  }
}
