/**
 * What holds where a declaration leaves a field out, in one place and in the
 * form that operators write. Fields without a default here must be declared,
 * because no value would be right for most: routes, shard count, credentials.
 */

export const TEMPLATE_DEFAULTS = {
  /** Each target has 2 places in both deployments. */
  placesPerTarget: 2,
  deadlines: {
    /** Ten times what a person at a screen waits for without noticing. */
    default: "2s",
    max: "10s",
  },
  limits: {
    maxBody: "64KiB",
    maxAnswer: "1MiB",
    /** 32 requests a place: 640 ms of waiting where a request runs 20 ms. */
    maxQueuedPerTarget: 64,
    /** Half of the default deadline, so that what waited can still run. */
    maxQueueTime: "1s",
  },
  /** No preference between the three evils. */
  placement: { imbalance: 1, churn: 1, unservedTime: 1 },
  retry: {
    /** One lookup in ten is sent twice: a target's brief fault, not a storm. */
    budgetRatio: 0.1,
    maxAttempts: 2,
  },
  maxHotKeys: 16,
  drainPriority: 0,
} as const;

export const ACCOUNT_DEFAULTS = {
  weight: 1,
  rate: "100/s",
  burst: 50,
  maxConcurrent: 32,
} as const;
