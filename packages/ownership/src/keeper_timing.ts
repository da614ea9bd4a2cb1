/** Timeouts and intervals of the keepers, with the reasons for their values. */

export interface KeeperTiming {
  /**
   * How long a target holds its keys after a renewal. Short enough that a lost
   * target's keys are served again within about 5 s (1.2 s until the target
   * counts as unresponsive, 0.8 s for the last order, then the hold). Long
   * enough to outlast the replacement of a lost keeper, which takes 2.1 s.
   */
  readonly holdMs: number;
  /**
   * Interval between two renewals of a range. Three renewals may fail before a
   * hold expires.
   */
  readonly renewIntervalMs: number;
  /**
   * An order without a response after this time has timed out and is sent
   * again.
   */
  readonly orderTimeoutMs: number;
  /**
   * A release waits for running requests, the longest of which take about 1 s.
   */
  readonly releaseTimeoutMs: number;
  /** Time from a failed order to the next order for the same range. */
  readonly retryDelayMs: number;
  /**
   * How long a keeper may act without the store and without pledges. A
   * successor that is one of its witnesses waits for this time, or for the end
   * of its last pledge if that is later, and then for the hold. Any other
   * successor waits for `maxAuthorityMs` and the hold. A read of the partition
   * is held open for 0.6 s, so the last confirmation is normally about that
   * old, and one read may be lost.
   */
  readonly authorityMs: number;
  /**
   * After `authorityMs`, a keeper may act only while every witness has pledged
   * within this time to let it act. Longer than the 5 s that a killed instance
   * takes to restart, so that one such instance does not end the serving of all
   * keys during a store outage.
   */
  readonly pledgeMs: number;
  /**
   * The longest time without the store for a keeper that is not settled, unless
   * every known instance has given a pledge: if the store is restored, its claim
   * may be lost, and other instances, which cannot know of it, wait for this time
   * and a hold.
   */
  readonly unsettledAuthorityMs: number;
  /**
   * A claim and a record of witnesses are settled once the store has confirmed
   * the keeper this long after it accepted them. Longer than the age of the
   * copies that a store is restored from.
   */
  readonly settledAfterMs: number;
  /**
   * How recently the store must have confirmed a keeper that gives keys to new
   * owners while its predecessor may be running. If the store is restored to a
   * state before its claim, its predecessor may go on, and counts on this time.
   */
  readonly confirmedForMoveMs: number;
  /**
   * A keeper never acts without the store for longer than this, which is also
   * the longest store outage that it bridges. A successor that is not recorded
   * as one of its witnesses waits for this time, and then for the hold.
   */
  readonly maxAuthorityMs: number;
  /** A target whose orders have failed for this long loses its keys. */
  readonly unresponsiveAfterMs: number;
  /**
   * The keys of a service are first distributed once no target has joined for
   * this long, or once a key is requested. Targets that start together write
   * their first entries within one heartbeat interval of each other, about 1 s.
   */
  readonly distributeAfterMs: number;
  /** Interval between two plans of the ownership tables. */
  readonly planIntervalMs: number;
}

export const DEFAULT_KEEPER_TIMING: KeeperTiming = {
  holdMs: 3_000,
  renewIntervalMs: 750,
  orderTimeoutMs: 400,
  releaseTimeoutMs: 1_500,
  retryDelayMs: 250,
  authorityMs: 2_000,
  pledgeMs: 6_000,
  unsettledAuthorityMs: 6_000,
  settledAfterMs: 12_000,
  confirmedForMoveMs: 800,
  maxAuthorityMs: 60_000,
  unresponsiveAfterMs: 1_200,
  distributeAfterMs: 1_000,
  planIntervalMs: 400,
};

/** Limits the hold to `maxHoldMs`, the longest hold that targets accept. */
export function resolveKeeperTiming(maxHoldMs: number): KeeperTiming {
  const holdMs = Math.min(DEFAULT_KEEPER_TIMING.holdMs, maxHoldMs);
  const renewIntervalMs = Math.min(
    DEFAULT_KEEPER_TIMING.renewIntervalMs,
    holdMs / 4,
  );
  return Object.freeze({ ...DEFAULT_KEEPER_TIMING, holdMs, renewIntervalMs });
}
