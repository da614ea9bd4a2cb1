/**
 * Default values of declarations, in the notation of declarations. Fields that
 * have no default are required, because no value suits most deployments:
 * routes, shard count, credentials.
 */

export const TEMPLATE_DEFAULTS = {
  /**
   * Targets of both current deployments have 2 places. Has no effect; see
   * `IGNORED_FIELDS` in warnings.ts.
   */
  placesPerTarget: 2,
  deadlines: {
    /** 10 times the delay that an interactive user does not notice. */
    default: "2s",
    max: "10s",
  },
  limits: {
    maxBody: "64KiB",
    maxAnswer: "1MiB",
    /** 32 requests per place: 640 ms of waiting if a request takes 20 ms. */
    maxQueuedPerTarget: 64,
    /** Half of the default deadline, which leaves time to run the request. */
    maxQueueTime: "1s",
  },
  /** Has no effect; see `IGNORED_FIELDS` in warnings.ts. */
  placement: { imbalance: 1, churn: 1, unservedTime: 1 },
  retry: {
    /**
     * 1 retry per 10 first attempts: enough for a brief fault of a target, too
     * few for a retry storm.
     */
    budgetRatio: 0.1,
    maxAttempts: 2,
  },
  /** Has no effect; see `IGNORED_FIELDS` in warnings.ts. */
  maxHotKeys: 16,
  /** Has no effect; see `IGNORED_FIELDS` in warnings.ts. */
  drainPriority: 0,
} as const;

export const ACCOUNT_DEFAULTS = {
  weight: 1,
  rate: "100/s",
  burst: 50,
  maxConcurrent: 32,
} as const;
