/** The times by which keepers of keys act, in one place and with their grounds. */

export interface KeeperTiming {
  /**
   * A target holds its keys for this long after a renewal. Short, so that a
   * lost target's keys are served again within about 5 s (1.2 s until it counts
   * as silent, 0.8 s for the last order, the hold); long enough to outlive the
   * loss of a keeper, which takes 2.1 s to be replaced.
   */
  readonly holdMs: number;
  /** Three renewals may fail before a hold runs out. */
  readonly renewIntervalMs: number;
  /** An order that has no answer after this is given up and sent anew. */
  readonly orderTimeoutMs: number;
  /** A release waits for running work, of which the longest takes about 1 s. */
  readonly releaseTimeoutMs: number;
  /** Between two orders for one range that did not succeed. */
  readonly retryIntervalMs: number;
  /**
   * For so long without the store a keeper acts on its own. A successor that
   * knows nothing of it waits this out, besides the hold; a read of the
   * partition is held open for 0.6 s, so in calm times the last one is about that
   * old, and one may be lost.
   */
  readonly authorityMs: number;
  /**
   * Beyond that it acts while every witness has pledged within this time to let
   * it. Longer than an instance takes to start again after it was killed (5 s),
   * so that one such does not end all keys in an outage.
   */
  readonly pledgeMs: number;
  /**
   * And no longer than this in any case. A successor that was never asked for
   * a pledge waits this out. It covers an outage of the store of this length.
   */
  readonly maxAuthorityMs: number;
  /** A target whose orders have failed for this long is relieved of its keys. */
  readonly unresponsiveAfterMs: number;
  /**
   * The keys of a service are dealt out once no target has joined for this long,
   * or when they are asked for. Targets that start together write their first
   * entries within a heartbeat interval of each other, about 1 s.
   */
  readonly distributeAfterMs: number;
  /** Between two looks at who should own what. */
  readonly planIntervalMs: number;
}

export const DEFAULT_KEEPER_TIMING: KeeperTiming = {
  holdMs: 3_000,
  renewIntervalMs: 750,
  orderTimeoutMs: 400,
  releaseTimeoutMs: 1_500,
  retryIntervalMs: 250,
  authorityMs: 2_000,
  pledgeMs: 6_000,
  maxAuthorityMs: 60_000,
  unresponsiveAfterMs: 1_200,
  distributeAfterMs: 1_000,
  planIntervalMs: 400,
};

/** The hold that a target accepts may be shorter than the one wished for. */
export function resolveKeeperTiming(maxHoldMs: number): KeeperTiming {
  const holdMs = Math.min(DEFAULT_KEEPER_TIMING.holdMs, maxHoldMs);
  const renewEveryMs = Math.min(
    DEFAULT_KEEPER_TIMING.renewIntervalMs,
    holdMs / 4,
  );
  return Object.freeze({ ...DEFAULT_KEEPER_TIMING, holdMs, renewEveryMs });
}
