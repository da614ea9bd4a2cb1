/**
 * One instance's estimate of a target's load, service time and failure rate,
 * from its own requests, the counts of other instances and the target's last
 * load report.
 */
import type { ReportedLoad } from "@lentilspur/ports/request_sender";
import type { KnownTarget } from "@lentilspur/ports/routing_table";

/** Weight of a new sample: about ten responses show a change of speed. */
const SAMPLE_WEIGHT = 0.15;
/**
 * Assumed service time of a target without any sample; about that of a lookup.
 */
const DEFAULT_SERVICE_MS = 100;
/** Service time of a cold target, as a multiple of its usual service time. */
const COLD_FACTOR = 2;
/**
 * Queueing that this instance does not know of can double the measured service
 * time. A larger factor means that the target itself is slow.
 */
const SLOW_FACTOR = 2.5;
/**
 * A load report older than this predates most of the target's current requests.
 */
const REPORT_VALID_MS = 150;
/**
 * A peer's count expires after this: by then three consecutive reports are
 * missing in a deployment of a dozen instances, or two in one of 60.
 */
const PEER_VALID_MS = 1_500;
/**
 * An estimate that no send has checked for this long may be outdated; it takes
 * some of the longest usual responses.
 */
const OUTDATED_AFTER_MS = 1_000;
/** First and longest suspension of a target that does not respond. */
const MIN_SUSPENSION_MS = 250;
const MAX_SUSPENSION_MS = 2_000;
/**
 * How long a target that refused for lack of room is suspended: about half the
 * service time of a request.
 */
const FULL_SUSPENSION_MS = 40;
/**
 * Minimum assumed success rate: below it, a failing target would never be tried
 * again.
 */
const MIN_SUCCESS_RATE = 0.05;

interface PeerCount {
  count: number;
  atMs: number;
}

export class TargetLoad {
  readonly target: KnownTarget;
  readonly #startedAt = new Map<string, number>();
  readonly #peerCounts = new Map<string, PeerCount>();
  #report = { others: 0, atMs: -Infinity };
  #serviceMs: number | null = null;
  /**
   * Like `#serviceMs`, but only from requests that were sent while a place was
   * free.
   */
  #uncontendedServiceMs: number | null = null;
  #failureRate = 0;
  #suspensionMs = 0;
  #suspendedUntilMs = -Infinity;
  #backoffUntilMs = -Infinity;
  #lastSentAtMs = -Infinity;

  constructor(target: KnownTarget, previous?: TargetLoad) {
    this.target = target;
    if (previous !== undefined) {
      this.#startedAt = previous.#startedAt;
      this.#peerCounts = previous.#peerCounts;
      this.#report = previous.#report;
      this.#serviceMs = previous.#serviceMs;
      this.#uncontendedServiceMs = previous.#uncontendedServiceMs;
      this.#failureRate = previous.#failureRate;
      this.#suspensionMs = previous.#suspensionMs;
      this.#suspendedUntilMs = previous.#suspendedUntilMs;
      this.#backoffUntilMs = previous.#backoffUntilMs;
      this.#lastSentAtMs = previous.#lastSentAtMs;
    }
  }

  /** Requests of this instance that are at the target. */
  get ownCount(): number {
    return this.#startedAt.size;
  }

  /** When this instance last sent it a request; -Infinity if never. */
  get lastSentAtMs(): number {
    return this.#lastSentAtMs;
  }

  get measuredServiceMs(): number | null {
    return this.#serviceMs;
  }

  /**
   * Service time of the target without queueing. The queue of a full target is
   * known only as of the last reports, so unknown queueing time is measured as
   * service time: a target with a hot key would look slower than all others,
   * and the key would be moved again and again. A measurement above
   * `SLOW_FACTOR` times the usual value means that the target itself has become
   * slow.
   */
  get unloadedServiceMs(): number | null {
    const uncontended = this.#uncontendedServiceMs;
    const measured = this.#serviceMs;
    return uncontended === null || measured === null ||
        measured > SLOW_FACTOR * uncontended
      ? measured
      : uncontended;
  }

  recordSent(requestId: string, nowMs: number): void {
    this.#startedAt.set(requestId, nowMs);
    this.#lastSentAtMs = nowMs;
  }

  /**
   * Records that the target has finished the request, or that nobody waits for
   * it any more.
   */
  recordEnded(requestId: string): void {
    this.#startedAt.delete(requestId);
  }

  recordResponse(elapsedMs: number, occupancyAtSend: number): void {
    const queueFactor = Math.max(1, (occupancyAtSend + 1) / this.target.places);
    const sample = elapsedMs / queueFactor;
    const previousMs = this.#serviceMs ?? sample;
    this.#serviceMs = previousMs + SAMPLE_WEIGHT * (sample - previousMs);
    if (occupancyAtSend < this.target.places) {
      const uncontended = this.#uncontendedServiceMs ?? sample;
      this.#uncontendedServiceMs = uncontended +
        SAMPLE_WEIGHT * (sample - uncontended);
    }
    this.#failureRate *= 1 - SAMPLE_WEIGHT;
    this.#suspensionMs = 0;
  }

  /**
   * Records that no response came in this time, so the service time is at least
   * about as long.
   */
  recordTimeout(elapsedMs: number): void {
    const previousMs = this.#serviceMs ?? elapsedMs;
    this.#serviceMs = Math.max(
      previousMs,
      previousMs + SAMPLE_WEIGHT * (elapsedMs - previousMs),
    );
    this.#failureRate += SAMPLE_WEIGHT * (1 - this.#failureRate);
  }

  /**
   * Forgets the failures, and the service time if a response shows that it is
   * far too long. A single response says little of a target of about the usual
   * speed.
   */
  resetEstimates(elapsedMs: number): void {
    this.#failureRate = 0;
    if ((this.#serviceMs ?? 0) > SLOW_FACTOR * elapsedMs) {
      this.#serviceMs = null;
      this.#uncontendedServiceMs = null;
    }
  }

  recordReport(load: ReportedLoad, nowMs: number): void {
    const others = load.running + load.waiting - this.ownCount;
    this.#report = { others: Math.max(0, others), atMs: nowMs };
  }

  /**
   * Records that the target refused for lack of room, or that its response was
   * cut off.
   */
  recordFailure(nowMs: number): void {
    this.#failureRate += SAMPLE_WEIGHT * (1 - this.#failureRate);
    this.#suspendedUntilMs = Math.max(
      this.#suspendedUntilMs,
      nowMs + FULL_SUSPENSION_MS,
    );
  }

  /** Records until when the target wants no requests of this instance. */
  recordBackoff(untilMs: number): void {
    this.#backoffUntilMs = Math.max(this.#backoffUntilMs, untilMs);
  }

  /** How much longer the target wants no requests of this instance. */
  getBackoffMs(nowMs: number): number {
    return Math.max(0, this.#backoffUntilMs - nowMs);
  }

  /** Records that the target was unreachable or sent no response. */
  recordUnresponsive(nowMs: number): void {
    this.#suspensionMs = Math.min(
      MAX_SUSPENSION_MS,
      Math.max(MIN_SUSPENSION_MS, 2 * this.#suspensionMs),
    );
    this.#suspendedUntilMs = nowMs + this.#suspensionMs;
  }

  /** Records that the target has responded after its path was lost. */
  recordReachable(): void {
    this.#suspensionMs = 0;
    this.#suspendedUntilMs = -Infinity;
    this.#failureRate = 0;
  }

  /** Keeps only peers with requests at the target: a few of 200 instances. */
  setPeerCount(peer: string, count: number, atMs: number): void {
    if (count <= 0) {
      this.#peerCounts.delete(peer);
      return;
    }
    const known = this.#peerCounts.get(peer);
    if (known === undefined) {
      this.#peerCounts.set(peer, { count, atMs });
      return;
    }
    // Called some hundred times a second, so it updates the entry in place.
    known.count = count;
    known.atMs = atMs;
  }

  /**
   * Whether the service time is unknown, or no send of this instance has checked
   * it for a while.
   */
  isOutdated(nowMs: number): boolean {
    return this.ownCount === 0 &&
      (this.#serviceMs === null || Number.isFinite(this.#lastSentAtMs)) &&
      nowMs - this.#lastSentAtMs > OUTDATED_AFTER_MS;
  }

  isSuspended(nowMs: number): boolean {
    return nowMs < this.#suspendedUntilMs;
  }

  /** Estimated number of requests at the target, from all instances. */
  computeOccupancy(nowMs: number): number {
    let others = 0;
    for (const { count, atMs } of this.#peerCounts.values()) {
      others += nowMs - atMs <= PEER_VALID_MS ? count : 0;
    }
    const reportAge = nowMs - this.#report.atMs;
    if (reportAge <= REPORT_VALID_MS) {
      others = Math.max(others, this.#report.others);
    }
    return this.ownCount + others;
  }

  /**
   * Estimated service time of one request. A request that has been running for
   * longer than usual shows that a target has become slow before any response
   * does.
   */
  estimateServiceMs(nowMs: number, averageMs: number | null): number {
    const known = this.unloadedServiceMs ?? averageMs ?? DEFAULT_SERVICE_MS;
    let oldest = nowMs;
    for (const startedAt of this.#startedAt.values()) {
      oldest = Math.min(oldest, startedAt);
    }
    const elapsedPerRequest = (nowMs - oldest) /
      Math.max(1, this.#startedAt.size);
    const coldFactor = nowMs < this.target.coldUntilMs ? COLD_FACTOR : 1;
    return Math.max(known * coldFactor, elapsedPerRequest);
  }

  /**
   * Estimated time to the response of a request sent now, including retries
   * after failures.
   */
  estimateResponseMs(nowMs: number, averageMs: number | null): number {
    const queueFactor = (this.computeOccupancy(nowMs) + 1) / this.target.places;
    const successRate = Math.max(MIN_SUCCESS_RATE, 1 - this.#failureRate);
    return this.estimateServiceMs(nowMs, averageMs) * Math.max(1, queueFactor) /
      successRate;
  }
}
