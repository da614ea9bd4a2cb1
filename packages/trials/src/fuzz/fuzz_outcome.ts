/** What one fuzz gives back: enough to make the same run again. */
import type fc from "fast-check";

export interface FuzzOutcome {
  readonly failed: boolean;
  readonly seed: number;
  readonly runs: number;
  readonly shrinks: number;
  /** The shrunk sequence; empty where nothing failed. */
  readonly sequence: string;
  readonly error: string;
}

export function createOutcome<T>(details: fc.RunDetails<T>): FuzzOutcome {
  return {
    failed: details.failed,
    seed: details.seed,
    runs: details.numRuns,
    shrinks: details.numShrinks,
    sequence: details.failed ? String(details.counterexample) : "",
    error: details.failed ? String(details.errorInstance) : "",
  };
}
