/**
 * Settings of one instance, resolved once from flags and environment into a
 * frozen object. All times are milliseconds.
 */

export interface InstanceSettings {
  /** New for each start of the process. */
  readonly instanceId: string;
  readonly dataCentre: string;
  /** Where callers and operators reach this instance; port 0 picks one. */
  readonly httpHost: string;
  readonly httpPort: number;
  /** Where peers reach it; port 0 picks one. */
  readonly peerHost: string;
  readonly peerPort: number;
  readonly logUrl: string;
  readonly instanceListUrl: string;
  readonly logStream: string;
  readonly checkpointStream: string;
  readonly logLevel: "error" | "warn" | "info" | "debug";
  readonly timing: ControlTiming;
}

export interface ControlTiming {
  /** What a guardian pledges for, from receipt. */
  readonly leaseMs: number;
  readonly renewEveryMs: number;
  /** The holder stops this long before its lease could lapse. */
  readonly leaseMarginMs: number;
  /**
   * How long an instance goes on pledging to others after its own lease was
   * last held, or the log last confirmed its membership.
   */
  readonly standingMs: number;
  /** Bound on how far two monotonic clocks drift apart, as a share. */
  readonly clockDriftRatio: number;
  /** Life of a grant on a checking target, from receipt. */
  readonly grantMs: number;
  readonly grantEveryMs: number;
  /** Silence after which a target is suspected. */
  readonly targetSuspectMs: number;
  /** Longest request sent to a target that does not check. */
  readonly uncheckedMaxRunMs: number;
  /**
   * How long a lost instance's kernel may still deliver what it had written;
   * units of a target that does not check stay where they are for this long.
   */
  readonly connectionLingerMs: number;
  readonly listEveryMs: number;
  readonly planEveryMs: number;
  /** Request ids are honoured in their epoch and the next. */
  readonly epochMs: number;
  readonly checkpointEveryRecords: number;
  /** Longest wait of a request for a move or take-over to end. */
  readonly maxChangeWaitMs: number;
}

export const DEFAULT_TIMING: ControlTiming = Object.freeze({
  leaseMs: 2_000,
  renewEveryMs: 500,
  leaseMarginMs: 200,
  standingMs: 10_000,
  clockDriftRatio: 0.001,
  grantMs: 2_000,
  grantEveryMs: 500,
  targetSuspectMs: 1_000,
  uncheckedMaxRunMs: 1_500,
  connectionLingerMs: 20 * 60_000,
  listEveryMs: 1_000,
  planEveryMs: 1_000,
  epochMs: 5 * 60_000,
  checkpointEveryRecords: 1_000,
  maxChangeWaitMs: 5_000,
});
