/** What the control side needs of the log: the folded state, and appends. */
import type { Result } from "@lentilspur/outcomes/result";
import type { Clock } from "@lentilspur/ports/clock";
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

const CONTACT_POLL_MS = 100;

/** Resolves once the log has answered lately, or `signal` aborts. */
export async function waitForContact(
  options: { readonly clock: Clock; readonly log: LogAccess },
  signal: AbortSignal,
): Promise<void> {
  const { clock, log } = options;
  while (!signal.aborted && !isInContact(log, clock.readMs())) {
    await clock.sleep(CONTACT_POLL_MS, signal);
  }
}

/** Whether every entry was accepted. */
export function isWhollyAccepted(
  result: Result<readonly Verdict[], SubmitFailed>,
): boolean {
  return result.ok &&
    result.val.every((verdict) => verdict.kind === "accepted");
}
