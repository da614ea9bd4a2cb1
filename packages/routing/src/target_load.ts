/**
 * What one instance knows of a target's load: its own requests there, those of
 * the instances that tell it of theirs, what the target reported last, how
 * long its work takes and how often it fails.
 */
import type { ReportedLoad } from "@lentilspur/ports/request_sender";
import type { KnownTarget } from "@lentilspur/ports/routing_table";

/** Weight of a new sample: some ten answers see a change of speed. */
const SAMPLE_WEIGHT = 0.15;
/** Work of a target that nobody has measured yet; about that of a lookup. */
const UNKNOWN_SERVICE_MS = 100;
/** A target is slower than this many times its usual until it is warm. */
const COLD_FACTOR = 2;
/** Unknown waits make work look twice as long; beyond this it is the target. */
const SLOW_FACTOR = 2.5;
/** A reported load is older than most requests after this. */
const REPORT_VALID_MS = 150;
/**
 * What a peer last told is taken for gone after this: three reports have failed
 * to come from one of a dozen, two from one of 60.
 */
const PEER_VALID_MS = 1_500;
/** First and longest time for which a target that does not answer is left alone. */
const MIN_SUSPENSION_MS = 250;
const MAX_SUSPENSION_MS = 2_000;
/** A target that has refused for lack of room is asked again after about half a request. */
const FULL_PAUSE_MS = 40;
/** Below this chance of success the estimate would make one bad target look dead for good. */
const MIN_SUCCESS = 0.05;

interface PeerCount {
  count: number;
  atMs: number;
}

export class TargetLoad {
  readonly target: KnownTarget;
  readonly #startedAt = new Map<string, number>();
  readonly #peers = new Map<string, PeerCount>();
  #report = { others: 0, atMs: -Infinity };
  #serviceMs: number | null = null;
  /** As above, from answers that had nothing ahead of them. */
  #uncontendedServiceMs: number | null = null;
  #failureShare = 0;
  #suspensionMs = 0;
  #suspendedUntilMs = -Infinity;

  constructor(target: KnownTarget, previous?: TargetLoad) {
    this.target = target;
    if (previous !== undefined) {
      this.#startedAt = previous.#startedAt;
      this.#peers = previous.#peers;
      this.#report = previous.#report;
      this.#serviceMs = previous.#serviceMs;
      this.#uncontendedServiceMs = previous.#uncontendedServiceMs;
      this.#failureShare = previous.#failureShare;
      this.#suspensionMs = previous.#suspensionMs;
      this.#suspendedUntilMs = previous.#suspendedUntilMs;
    }
  }

  /** Requests of this instance that the target has. */
  get ownCount(): number {
    return this.#startedAt.size;
  }

  get measuredServiceMs(): number | null {
    return this.#serviceMs;
  }

  /**
   * The target's own speed. Where it is full, its queue is known only as of the
   * last reports, and a wait that nobody knows of passes for work: a target
   * with a hot key would look slower than all others, and the key would be
   * moved on and on. A target that has turned slow shows by more than that.
   */
  get unloadedServiceMs(): number | null {
    const calm = this.#uncontendedServiceMs;
    const measured = this.#serviceMs;
    return calm === null || measured === null || measured > SLOW_FACTOR * calm
      ? measured
      : calm;
  }

  recordSent(requestId: string, nowMs: number): void {
    this.#startedAt.set(requestId, nowMs);
  }

  /** The target works on it no more, or nobody waits for it any more. */
  recordEnded(requestId: string): void {
    this.#startedAt.delete(requestId);
  }

  recordResponse(elapsedMs: number, occupancyAtSend: number): void {
    const ahead = Math.max(1, (occupancyAtSend + 1) / this.target.places);
    const sample = elapsedMs / ahead;
    const before = this.#serviceMs ?? sample;
    this.#serviceMs = before + SAMPLE_WEIGHT * (sample - before);
    if (occupancyAtSend < this.target.places) {
      const calm = this.#uncontendedServiceMs ?? sample;
      this.#uncontendedServiceMs = calm + SAMPLE_WEIGHT * (sample - calm);
    }
    this.#failureShare *= 1 - SAMPLE_WEIGHT;
    this.#suspensionMs = 0;
  }

  /** No answer came in this time: the work takes at least about as long. */
  recordTimeout(elapsedMs: number): void {
    const before = this.#serviceMs ?? elapsedMs;
    this.#serviceMs = Math.max(
      before,
      before + SAMPLE_WEIGHT * (elapsedMs - before),
    );
    this.#failureShare += SAMPLE_WEIGHT * (1 - this.#failureShare);
  }

  recordReport(load: ReportedLoad, nowMs: number): void {
    const others = load.running + load.waiting - this.ownCount;
    this.#report = { others: Math.max(0, others), atMs: nowMs };
  }

  /** The target refused for lack of room, or broke its answer off. */
  recordFailure(nowMs: number): void {
    this.#failureShare += SAMPLE_WEIGHT * (1 - this.#failureShare);
    this.#suspendedUntilMs = Math.max(
      this.#suspendedUntilMs,
      nowMs + FULL_PAUSE_MS,
    );
  }

  /** Nothing reached the target, or nothing came back. */
  recordUnresponsive(nowMs: number): void {
    this.#suspensionMs = Math.min(
      MAX_SUSPENSION_MS,
      Math.max(MIN_SUSPENSION_MS, 2 * this.#suspensionMs),
    );
    this.#suspendedUntilMs = nowMs + this.#suspensionMs;
  }

  /** Only those that have requests there are kept: of 200 instances, a few. */
  setPeerCount(peer: string, count: number, atMs: number): void {
    if (count <= 0) {
      this.#peers.delete(peer);
      return;
    }
    const known = this.#peers.get(peer);
    if (known === undefined) {
      this.#peers.set(peer, { count, atMs });
      return;
    }
    // Told some hundred times a second: nothing is made anew for it.
    known.count = count;
    known.atMs = atMs;
  }

  isSuspended(nowMs: number): boolean {
    return nowMs < this.#suspendedUntilMs;
  }

  /** Requests that the target has, from everybody, as far as known. */
  computeOccupancy(nowMs: number): number {
    let others = 0;
    for (const { count, atMs } of this.#peers.values()) {
      others += nowMs - atMs <= PEER_VALID_MS ? count : 0;
    }
    const reportAge = nowMs - this.#report.atMs;
    if (reportAge <= REPORT_VALID_MS) {
      others = Math.max(others, this.#report.others);
    }
    return this.ownCount + others;
  }

  /**
   * Work of one request there. A request that has taken longer than usual
   * shows a target that has turned slow before any answer does.
   */
  estimateServiceMs(nowMs: number, usualMs: number | null): number {
    const known = this.unloadedServiceMs ?? usualMs ?? UNKNOWN_SERVICE_MS;
    let oldest = nowMs;
    for (const startedAt of this.#startedAt.values()) {
      oldest = Math.min(oldest, startedAt);
    }
    const waited = (nowMs - oldest) / Math.max(1, this.#startedAt.size);
    const cold = nowMs < this.target.coldUntilMs ? COLD_FACTOR : 1;
    return Math.max(known * cold, waited);
  }

  /** When a request that is sent now would be answered, counting failures. */
  estimateResponseMs(nowMs: number, usualMs: number | null): number {
    const ahead = (this.computeOccupancy(nowMs) + 1) / this.target.places;
    const success = Math.max(MIN_SUCCESS, 1 - this.#failureShare);
    return this.estimateServiceMs(nowMs, usualMs) * Math.max(1, ahead) /
      success;
  }
}
