/**
 * Admission control per client account and service at one instance: a token
 * bucket for the rate and a bound on concurrent requests.
 *
 * Load pattern: one client account sends 20 times its agreed rate. Without this
 * limit, each excess request costs parsing, forwarding and a queueing decision,
 * on every instance and every target.
 *
 * The declared rate applies to the whole deployment, which is behind a load
 * balancer. Each instance refills its bucket with a share of the rate: an equal
 * share until the peers' demand is known (`setPeerDemands`), then a max-min
 * fair share, so that a caller that stays on one connection gets its whole rate
 * there. While the instances' demand figures agree, the shares never add up to
 * more than the declared rate.
 */
import type { AccountAllowance } from "@lentilspur/ports/routing_table";

/** Maximum number of buckets; the least recently used one is evicted. */
const MAX_BUCKETS = 4_096;
/** Time constant of the moving average of an instance's own demand. */
const DEMAND_WINDOW_MS = 1_000;
/** Peer demand older than this is treated as unknown. */
const DEMAND_MAX_AGE_MS = 5_000;
/** Retry-After of a request that is refused by the concurrency limit. */
const CONCURRENCY_RETRY_MS = 50;

/** Demand below this many requests per second counts as none. */
const MIN_DEMAND = 0.1;

/** Demand of one account for one service, as one instance receives it. */
export interface InstanceDemand {
  readonly clientAccount: string;
  readonly service: string;
  readonly perSecond: number;
}

export type AdmissionDecision =
  | { readonly kind: "admitted" }
  | {
    readonly kind: "refused";
    /** The limit that was reached, as text for operators and callers. */
    readonly limit: string;
    readonly retryAfterMs: number;
  };

interface Bucket {
  tokens: number;
  updatedAtMs: number;
  concurrent: number;
  /** Requests per second, admitted or not; moving average. */
  demand: number;
  /**
   * Demand at each other instance, in requests per second; null while unknown.
   */
  peerDemands: readonly number[] | null;
  peersKnownAtMs: number;
}

export class AccountLimiter {
  #instanceCount: number;
  readonly #buckets = new Map<string, Bucket>();

  constructor(options: { readonly instanceCount: number }) {
    this.#instanceCount = Math.max(1, options.instanceCount);
  }

  /**
   * Sets the number of live instances, from which the equal share is computed.
   */
  setInstanceCount(count: number): void {
    this.#instanceCount = Math.max(1, count);
  }

  admit(
    account: string,
    service: string,
    allowance: AccountAllowance,
    nowMs: number,
  ): AdmissionDecision {
    const bucket = this.#getBucket(account, service, allowance, nowMs);
    const rate = this.#computeRate(bucket, allowance, nowMs);
    recordArrival(bucket, { rate, burst: allowance.burst, nowMs });
    if (bucket.concurrent >= allowance.maxConcurrent) {
      return refuse(
        `${allowance.maxConcurrent} concurrent requests of client account "${account}" to "${service}"`,
        CONCURRENCY_RETRY_MS,
      );
    }
    if (bucket.tokens < 1) {
      return refuse(
        `${allowance.requestsPerSecond} requests per second of client account "${account}" to "${service}"`,
        (1 - bucket.tokens) * 1_000 / rate,
      );
    }
    bucket.tokens--;
    bucket.concurrent++;
    return { kind: "admitted" };
  }

  /** Must be called once for each admitted request, after its response. */
  release(account: string, service: string): void {
    const bucket = this.#buckets.get(formatBucketKey(account, service));
    if (bucket !== undefined && bucket.concurrent > 0) {
      bucket.concurrent--;
    }
  }

  /** Sets the demand at each other instance, in requests per second. */
  setPeerDemands(
    account: string,
    service: string,
    peerDemands: readonly number[],
    nowMs: number,
  ): void {
    const bucket = this.#buckets.get(formatBucketKey(account, service));
    if (bucket !== undefined) {
      bucket.peerDemands = peerDemands;
      bucket.peersKnownAtMs = nowMs;
    }
  }

  /** Demand at this instance in requests per second, for reports to peers. */
  getDemand(account: string, service: string, nowMs: number): number {
    const bucket = this.#buckets.get(formatBucketKey(account, service));
    return bucket === undefined ? 0 : computeDemand(bucket, nowMs);
  }

  /** Lists each account and service with recent demand. */
  listDemands(nowMs: number): readonly InstanceDemand[] {
    return [...this.#buckets]
      .map(([key, bucket]) => ({
        ...parseBucketKey(key),
        perSecond: computeDemand(bucket, nowMs),
      }))
      .filter(({ perSecond }) => perSecond >= MIN_DEMAND);
  }

  #computeRate(
    bucket: Bucket,
    allowance: AccountAllowance,
    nowMs: number,
  ): number {
    const { requestsPerSecond } = allowance;
    const isFresh = nowMs - bucket.peersKnownAtMs <= DEMAND_MAX_AGE_MS;
    if (bucket.peerDemands === null || !isFresh) {
      return requestsPerSecond / this.#instanceCount;
    }
    return computeMaxMinShare(bucket.peerDemands, requestsPerSecond);
  }

  #getBucket(
    account: string,
    service: string,
    allowance: AccountAllowance,
    nowMs: number,
  ): Bucket {
    const key = formatBucketKey(account, service);
    const bucket = this.#buckets.get(key) ?? {
      tokens: allowance.burst,
      updatedAtMs: nowMs,
      concurrent: 0,
      demand: 0,
      peerDemands: null,
      peersKnownAtMs: -Infinity,
    };
    this.#buckets.delete(key);
    this.#buckets.set(key, bucket);
    if (this.#buckets.size > MAX_BUCKETS) {
      this.#buckets.delete(this.#buckets.keys().next().value!);
    }
    return bucket;
  }
}

/**
 * Computes this instance's max-min fair share of `total`: each peer gets its
 * demand, but at most an equal share of what the smaller demands leave.
 */
export function computeMaxMinShare(
  peerDemands: readonly number[],
  total: number,
): number {
  const sorted = peerDemands.toSorted((left, right) => left - right);
  let left = total;
  let sharers = sorted.length + 1;
  for (const demand of sorted) {
    if (demand >= left / sharers) {
      break;
    }
    left -= demand;
    sharers--;
  }
  return left / sharers;
}

/** Refills the bucket and adds one request to the demand. */
function recordArrival(
  bucket: Bucket,
  options: {
    readonly rate: number;
    readonly burst: number;
    readonly nowMs: number;
  },
): void {
  const elapsedMs = Math.max(0, options.nowMs - bucket.updatedAtMs);
  const refill = elapsedMs * options.rate / 1_000;
  bucket.tokens = Math.min(options.burst, bucket.tokens + refill);
  const decay = Math.exp(-elapsedMs / DEMAND_WINDOW_MS);
  bucket.demand = bucket.demand * decay + 1_000 / DEMAND_WINDOW_MS;
  bucket.updatedAtMs = options.nowMs;
}

function refuse(limit: string, retryAfterMs: number): AdmissionDecision {
  return { kind: "refused", limit, retryAfterMs };
}

function formatBucketKey(account: string, service: string): string {
  return `${service}\n${account}`;
}

/** Demand decays after the last request, down to none for an idle account. */
function computeDemand(bucket: Bucket, nowMs: number): number {
  const elapsedMs = Math.max(0, nowMs - bucket.updatedAtMs);
  return bucket.demand * Math.exp(-elapsedMs / DEMAND_WINDOW_MS);
}

function parseBucketKey(
  key: string,
): { readonly clientAccount: string; readonly service: string } {
  const [service = "", clientAccount = ""] = key.split("\n");
  return { clientAccount, service };
}
