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
}

/** Whether every entry was accepted. */
export function isWhollyAccepted(
  result: Result<readonly Verdict[], SubmitFailed>,
): boolean {
  return result.ok &&
    result.val.every((verdict) => verdict.kind === "accepted");
}
