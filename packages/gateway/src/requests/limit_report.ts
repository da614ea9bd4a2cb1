/** Defines how instances report to each other the limit that a target names. */

/** The rate limit of one target. */
export interface LimitReport {
  /** Result of `formatTargetIncarnation`. */
  readonly life: string;
  /** Requests per second; null if the target no longer names a limit. */
  readonly perSecond: number | null;
  /** Milliseconds since the target's response. */
  readonly ageMs: number;
}
