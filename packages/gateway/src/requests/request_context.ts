/** Holds the state of a request while the router handles it. */
import type { Route } from "@lentilspur/ports/routing_table";
import type { RetryClaim } from "@lentilspur/routing/retry_budget";
import type {
  PlaceEstimate,
  RefusalReason,
} from "@lentilspur/routing/service_places";
import type { HeldRetry } from "./service_registry.ts";
import type { ErrorKind } from "@lentilspur/outcomes/error_kinds";
import type { Admission } from "../entry/account_admission.ts";
import type { CallerRequest, FinalResponse } from "../entry/caller_request.ts";
import { computeFingerprint } from "./request_fingerprint.ts";

/** Largest share of its remaining time that a caller is asked to wait. */
const MAX_RETRY_AFTER_SHARE = 0.3;

/** How far a request has got. */
export type RequestStage =
  | "admitted"
  | "waiting-for-owner"
  | "waiting-for-place"
  | "waiting-for-permit"
  | "pausing"
  /** A target may have it. */
  | "sent"
  /** Another instance, and through it a target, may have it. */
  | "forwarded";

/** Why a request got no place, and what that was decided from. */
export interface PlaceRefusal extends PlaceEstimate {
  readonly reason: RefusalReason;
}

/** The mutable state of one request. */
export interface RequestContext {
  readonly request: CallerRequest;
  /** The key that the request is for, if its service is keyed. */
  readonly key: number | undefined;
  readonly admission: Admission;
  /**
   * When the request must be answered: the caller's deadline or the route's
   * timeout, whichever is earlier.
   */
  readonly deadlineAtMs: number;
  readonly excludedTargets: Set<string>;
  /** Whether the caller has come back after an earlier refusal. */
  readonly hasReturned: boolean;
  /** Instances that could not send the request. */
  readonly excludedPeers: Set<string>;
  /** Number of sends, including those that could not connect. */
  sends: number;
  /** Number of sends of which nothing left this instance. */
  unreachableSends: number;
  /** Number of sends that reached a target which proved not to run them. */
  refusedSends: number;
  /** Since when the key has had no usable owner; null if it has one. */
  ownerMissingSinceMs: number | null;
  /** The owner that refused the last send because it does not hold the key. */
  refusingOwner: RefusingOwner | null;
  /** Whether a target may have run the request. */
  mayHaveRun: boolean;
  /**
   * The decision of the retry budget on the next send; undefined if that send
   * needs no budget.
   */
  retryClaim?: RetryClaim | undefined;
  /** Until when a send that has ended may still reach its target. */
  latestArrivalMs: number;
  /** A granted retry that is not being sent. */
  heldRetry: HeldRetry | null;
  /** Whether this is the trial of a quarantined request. */
  isTrial: boolean;
  /** Whether another instance may have room that this one cannot use. */
  isForwardDue: boolean;
  /** The instance that has forwarded the request to this one, if any. */
  readonly origin: string | null;
  /** Computed on first use. */
  fingerprint?: string;
  /** Why its last attempt got no place, if it got none. */
  placeRefusal?: PlaceRefusal | undefined;
  stage: RequestStage;
  /** Whether it has been answered early, so that it may not be sent any more. */
  hasEnded: boolean;
  route: Route;
  service: string;
  /** Version of the configuration by which the service was chosen. */
  version: number;
  lastRefusal: { failure: ErrorKind; message: string; retryAfterMs: number };
}

/** An owner of a key, by the table, that does not hold the key. */
export interface RefusingOwner {
  readonly targetId: string;
  /** Fencing token of the grant by which it was the owner. */
  readonly token: number;
}

export type AttemptResult =
  | { readonly kind: "done"; readonly response: FinalResponse }
  | { readonly kind: "again"; readonly pauseMs: number };

/** Counts the sends that may have reached a target. */
export function countArrivals(
  { sends, unreachableSends }: RequestContext,
): number {
  return sends - unreachableSends;
}

/** Counts the sends that a target may have run, and those under way. */
export function countRuns(context: RequestContext): number {
  return countArrivals(context) - context.refusedSends;
}

export function getFingerprint(context: RequestContext): string {
  context.fingerprint ??= computeFingerprint(context.request, context.route);
  return context.fingerprint;
}

export function createFailure(
  failure: ErrorKind,
  message: string,
  retryAfterMs?: number,
): FinalResponse {
  return {
    kind: "failed",
    failure,
    message,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
}

/** Sets the failure that the caller receives if no later attempt succeeds. */
export function setRefusal(
  context: RequestContext,
  failure: ErrorKind,
  options: { readonly message: string; readonly retryAfterMs: number },
): void {
  context.lastRefusal = { failure, ...options };
}

/** Limits the retry delay: a caller that has less time left would not retry. */
export function computeRetryAfterMs(
  context: RequestContext,
  retryAfterMs: number,
  nowMs: number,
): number {
  const leftMs = context.deadlineAtMs - nowMs;
  return Math.max(0, Math.min(retryAfterMs, MAX_RETRY_AFTER_SHARE * leftMs));
}
