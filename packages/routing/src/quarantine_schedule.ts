/**
 * Decides when a quarantined request may be sent as a trial.
 *
 * Each trial of a fatal request ends a target, so later ones are far apart. An
 * early trial comes where other requests were running on the same targets: most
 * of them are innocent, and one more crash tells which one is not.
 */
import { countIncarnations, type Crash, findLastCrashMs } from "./crash.ts";

/** Crashes that put a request into quarantine; fewer may be a coincidence. */
export const CRASHES_TO_QUARANTINE = 3;
/** A request without a crash for this long is forgotten. */
export const CRASH_RETENTION_MS = 24 * 3_600_000;
/**
 * Duration of the quarantine after the third crash and after the fourth. After
 * the fifth crash it lasts until the crashes are forgotten.
 */
const QUARANTINE_DURATIONS_MS = [30_000, 600_000] as const;
/**
 * Minimum time between two trials of a request. A crash caused by the first one
 * has been reported by then.
 */
const MIN_TRIAL_INTERVAL_MS = 6_000;
/** The same for early trials. */
const MIN_EARLY_TRIAL_INTERVAL_MS = 3_000;
/**
 * Time from the last crash to an early trial, by slot. Requests have different
 * slots, so that few of them are at work on a target that the trial of the
 * fatal one ends.
 */
const EARLY_TRIAL_DELAYS_MS = [800, 1_300, 1_800, 2_300] as const;
/** A further one, since the response to the first may be lost. */
const MAX_EARLY_TRIALS = 2;

/** What the time of a request's next trial depends on. */
export interface QuarantinedRequest {
  readonly fingerprint: string;
  readonly crashes: readonly Crash[];
  /** When its last trial started; minus infinity if there was none. */
  readonly trialAtMs: number;
  readonly trials: number;
  /** Whether other requests may have caused all of the crashes. */
  readonly isAmbiguous: boolean;
}

/** Returns when the request may be sent as a trial. */
export function computeTrialTime(request: QuarantinedRequest): number {
  const { fingerprint, crashes, trialAtMs, trials, isAmbiguous } = request;
  const lastCrashMs = findLastCrashMs(crashes);
  if (isAmbiguous && trials < MAX_EARLY_TRIALS) {
    const slot = fingerprint.charCodeAt(0) % EARLY_TRIAL_DELAYS_MS.length;
    return Math.max(
      lastCrashMs + EARLY_TRIAL_DELAYS_MS[slot]!,
      trialAtMs + MIN_EARLY_TRIAL_INTERVAL_MS,
    );
  }
  const index = countIncarnations(crashes) - CRASHES_TO_QUARANTINE;
  const durationMs = QUARANTINE_DURATIONS_MS[index] ?? CRASH_RETENTION_MS;
  return Math.max(
    lastCrashMs + durationMs,
    trialAtMs + MIN_TRIAL_INTERVAL_MS,
  );
}
