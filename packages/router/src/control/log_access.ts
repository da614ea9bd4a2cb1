/** What the control side needs of the log: the folded state, and appends. */
import type { Result } from "@lentilspur/outcomes/result";
import type { Entry, Verdict } from "@lentilspur/state/entries";
import type { StateSource } from "../state_source.ts";

export interface SubmitFailed {
  readonly kind: string;
  readonly message: string;
}

export interface LogAccess extends StateSource {
  /** Appends as this instance and returns the fold's verdicts. */
  submit(
    entries: readonly Entry[],
    signal?: AbortSignal,
  ): Promise<Result<readonly Verdict[], SubmitFailed>>;
  /** When the log last answered anything, on this instance's clock. */
  getLastContactMs(): number;
  /**
   * A moment at which the log held nothing that is not folded here, as its
   * answer to a read sent then has shown. Never while behind.
   */
  getConfirmedAtMs(): number;
}

/** Twice what an idle long poll may take to come back. */
const LOG_CONTACT_MS = 2_000;

/**
 * Whether an entry appended now is likely to be taken. Steps that can only be
 * finished by an append are not begun without it, so that a log outage finds
 * as few of them as possible halfway.
 */
export function isInContact(log: LogAccess, nowMs: number): boolean {
  return nowMs - log.getLastContactMs() < LOG_CONTACT_MS;
}

/** Whether every entry was accepted. */
export function isWhollyAccepted(
  result: Result<readonly Verdict[], SubmitFailed>,
): boolean {
  return result.ok &&
    result.val.every((verdict) => verdict.kind === "accepted");
}
