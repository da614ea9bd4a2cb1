/**
 * What one instance lets in for a client account and service: a token bucket
 * and a bound on requests in the system.
 *
 * Load pattern: one client account sends twenty times what was agreed. Without
 * this limit its requests cost parsing, forwarding and a queue decision each,
 * on every instance and every target.
 *
 * The declared rate is for the whole system, behind a balancer. Each instance
 * refills at its share of the rate: an equal one, until peers' demand is known
 * (`applyPeerDemand`), then the max-min fair one, so that a caller that stays
 * on one connection gets its whole rate there. The shares never add up to more
 * than the declared rate while the instances' figures agree.
 */
import type { AccountAllowance } from "@lentilspur/ports/routing_table";

/** Buckets kept; the one that was used longest ago is forgotten first. */
const MAX_BUCKETS = 4_096;
/** Time over which an instance's own demand is averaged. */
const DEMAND_WINDOW_MS = 1_000;
/** A peer's figure that is older than this counts as unknown. */
const DEMAND_MAX_AGE_MS = 5_000;
/** What a caller is told when only a place in the system is missing. */
const CONCURRENCY_RETRY_MS = 50;

/** Offers a second below which an instance counts as seeing none. */
const MIN_DEMAND = 0.1;

/** What one instance sees of one account's traffic to one service. */
export interface InstanceDemand {
  readonly clientAccount: string;
  readonly service: string;
  readonly perSecond: number;
}

export type AdmissionDecision =
  | { readonly kind: "admitted" }
  | {
    readonly kind: "refused";
    /** The limit that is reached, for people. */
    readonly limit: string;
    readonly retryAfterMs: number;
  };

interface Bucket {
  tokens: number;
  updatedAtMs: number;
  concurrent: number;
  /** Offers a second, averaged. */
  demand: number;
  /** Offers a second at each other instance; null while unknown. */
  peerDemands: readonly number[] | null;
  peersKnownAtMs: number;
}

export class AccountLimiter {
  #instanceCount: number;
  readonly #buckets = new Map<string, Bucket>();

  constructor(options: { readonly instanceCount: number }) {
    this.#instanceCount = Math.max(1, options.instanceCount);
  }

  /** Follows the number of live instances, as far as it is heard of. */
  setInstanceCount(count: number): void {
    this.#instanceCount = Math.max(1, count);
  }

  admit(
    account: string,
    service: string,
    allowance: AccountAllowance,
    nowMs: number,
  ): AdmissionDecision {
    const bucket = this.#claimBucket(account, service, allowance, nowMs);
    const rate = this.#computeRate(bucket, allowance, nowMs);
    addTokens(bucket, { rate, burst: allowance.burst, nowMs });
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

  /** Called once for each admitted request, when it has been answered. */
  release(account: string, service: string): void {
    const bucket = this.#buckets.get(formatName(account, service));
    if (bucket !== undefined && bucket.concurrent > 0) {
      bucket.concurrent--;
    }
  }

  /** Takes in what the other instances see, in offers a second each. */
  setPeerDemands(
    account: string,
    service: string,
    peerDemands: readonly number[],
    nowMs: number,
  ): void {
    const bucket = this.#buckets.get(formatName(account, service));
    if (bucket !== undefined) {
      bucket.peerDemands = peerDemands;
      bucket.peersKnownAtMs = nowMs;
    }
  }

  /** Offers a second that this instance sees, for its peers. */
  getDemand(account: string, service: string, nowMs: number): number {
    const bucket = this.#buckets.get(formatName(account, service));
    return bucket === undefined ? 0 : computeDemand(bucket, nowMs);
  }

  /** Every account and service with offers of late. */
  listDemands(nowMs: number): readonly InstanceDemand[] {
    return [...this.#buckets]
      .map(([name, bucket]) => ({
        ...splitName(name),
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
    const known = nowMs - bucket.peersKnownAtMs <= DEMAND_MAX_AGE_MS;
    if (bucket.peerDemands === null || !known) {
      return requestsPerSecond / this.#instanceCount;
    }
    return computeMaxMinShare(bucket.peerDemands, requestsPerSecond);
  }

  #claimBucket(
    account: string,
    service: string,
    allowance: AccountAllowance,
    nowMs: number,
  ): Bucket {
    const name = formatName(account, service);
    const bucket = this.#buckets.get(name) ?? {
      tokens: allowance.burst,
      updatedAtMs: nowMs,
      concurrent: 0,
      demand: 0,
      peerDemands: null,
      peersKnownAtMs: -Infinity,
    };
    this.#buckets.delete(name);
    this.#buckets.set(name, bucket);
    if (this.#buckets.size > MAX_BUCKETS) {
      this.#buckets.delete(this.#buckets.keys().next().value!);
    }
    return bucket;
  }
}

/**
 * The share that is left to this instance when each peer gets what it asks
 * for, but none more than an equal part of what the smaller ones leave.
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

function addTokens(
  bucket: Bucket,
  options: {
    readonly rate: number;
    readonly burst: number;
    readonly nowMs: number;
  },
): void {
  const elapsedMs = Math.max(0, options.nowMs - bucket.updatedAtMs);
  const earned = elapsedMs * options.rate / 1_000;
  bucket.tokens = Math.min(options.burst, bucket.tokens + earned);
  const kept = Math.exp(-elapsedMs / DEMAND_WINDOW_MS);
  bucket.demand = bucket.demand * kept + 1_000 / DEMAND_WINDOW_MS;
  bucket.updatedAtMs = options.nowMs;
}

function refuse(limit: string, retryAfterMs: number): AdmissionDecision {
  return { kind: "refused", limit, retryAfterMs };
}

function formatName(account: string, service: string): string {
  return `${service}\n${account}`;
}

/** Decays since the last offer: an account that has gone asks for nothing. */
function computeDemand(bucket: Bucket, nowMs: number): number {
  const elapsedMs = Math.max(0, nowMs - bucket.updatedAtMs);
  return bucket.demand * Math.exp(-elapsedMs / DEMAND_WINDOW_MS);
}

function splitName(
  name: string,
): { readonly clientAccount: string; readonly service: string } {
  const [service = "", clientAccount = ""] = name.split("\n");
  return { clientAccount, service };
}
