/** One request on its way through an instance, and how its way can end. */
import type { Route } from "@lentilspur/ports/routing_table";
import type { ErrorKind } from "@lentilspur/outcomes/error_kinds";
import type { Admission } from "../entry/account_admission.ts";
import type { CallerRequest, FinalResponse } from "../entry/caller_request.ts";
import { computeFingerprint } from "./request_fingerprint.ts";

/** Of what a caller has left, it waits at most a third before it comes back. */
const RETURN_SHARE = 0.3;
/** One request on its way through. */
export interface RequestContext {
  readonly request: CallerRequest;
  /** What it is about, where its service is keyed. */
  readonly key: number | undefined;
  readonly admission: Admission;
  readonly deadlineAtMs: number;
  readonly excludedTargets: Set<string>;
  /** Targets it was put on the way to. */
  sends: number;
  /** Since when no usable owner of its key has been found. */
  ownerMissingSinceMs: number | null;
  /** A send of it may have run. */
  mayHaveRun: boolean;
  /** It is tried in spite of the targets that have crashed under it. */
  isTrial: boolean;
  /** Worked out when it is first asked for. */
  fingerprint?: string;
  route: Route;
  service: string;
  /** Version by which the service was chosen. */
  version: number;
  lastRefusal: { failure: ErrorKind; message: string; retryAfterMs: number };
}

export type AttemptResult =
  | { readonly kind: "done"; readonly answer: FinalResponse }
  | { readonly kind: "again"; readonly pauseMs: number };

export function getFingerprint(passage: RequestContext): string {
  passage.fingerprint ??= computeFingerprint(passage.request, passage.route);
  return passage.fingerprint;
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

/** What the caller is told if nothing better comes of it. */
export function setRefusal(
  passage: RequestContext,
  failure: ErrorKind,
  options: { readonly message: string; readonly retryAfterMs: number },
): void {
  passage.lastRefusal = { failure, ...options };
}

/** Told a later time, a caller would give up instead of coming back. */
export function computeRetryAfterMs(
  passage: RequestContext,
  wantedMs: number,
  nowMs: number,
): number {
  const leftMs = passage.deadlineAtMs - nowMs;
  return Math.max(0, Math.min(wantedMs, RETURN_SHARE * leftMs));
}
