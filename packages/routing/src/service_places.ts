/**
 * Gives the places of one service's targets to requests.
 *
 * Load pattern: more requests than places for seconds at a time, from callers
 * of several ranks; targets of one service that differ in speed by a factor of
 * two to three; a target that is sent more than it can queue may never answer.
 * So a request waits here, where a more urgent one can pass it and where it
 * can be refused truthfully, and goes to a target only when one has room. A
 * request that could not be answered in time is refused when it comes, not
 * when its deadline has passed.
 */
import type { Random } from "@lentilspur/ports/clock";
import type {
  KnownTarget,
  RoutingTarget,
} from "@lentilspur/ports/routing_table";
import { TargetLoad } from "./target_load.ts";
import {
  getQueueKey,
  type QueuedRequest,
  type QueueEntry,
  type QueueLengths,
  WaitQueue,
} from "./wait_queue.ts";

export interface PlaceRequest extends QueuedRequest {
  /** Started later, it would be of no use to its caller. */
  readonly latestStartMs: number;
  /** Targets that have failed this request already. */
  readonly excluded: ReadonlySet<string>;
}

export type RefusalReason =
  | "no-target"
  /** What waits already would take until after the latest start. */
  | "overloaded"
  | "waited-too-long"
  /** The only target that may run it does not answer. */
  | "owner-silent";

export type PlaceDecision =
  | {
    readonly kind: "placed";
    readonly target: RoutingTarget;
    /** Requests that the target was believed to have. */
    readonly occupancy: number;
    readonly waitedMs: number;
  }
  | {
    readonly kind: "refused";
    readonly reason: RefusalReason;
    /** After this time there may be room. */
    readonly retryAfterMs: number;
  };

type PlaceCallback = (decision: PlaceDecision) => void;
type PlaceWaiter = QueueEntry<PlaceRequest, PlaceCallback>;

/**
 * Requests sent to a target beyond its places: a place does not stand empty while
 * an answer and the next request are on their way.
 */
const SENT_AHEAD = 2;
/**
 * Where nobody else could run it, the target's own queue may hold more: what
 * others have there is known late. A target whose queue overflows may never
 * answer.
 */
const SENT_AHEAD_TO_OWNER = 5;
/**
 * A target elsewhere must be better by this share of the work to be preferred:
 * bytes between data centres have a price.
 */
const REMOTE_SHARE = 1.2;
/** Where all targets are suspended or unknown, one is expected back after this. */
const NO_TARGET_RETRY_MS = 300;
/** Shortest time after which a refused request is asked to come back. */
const MIN_RETRY_MS = 20;
/** An owner that does not answer is waited for this long; a move takes about as long. */
const SILENT_OWNER_WAIT_MS = 250;
/**
 * How much worse than it looks a target may be taken for: for each instance
 * beyond a dozen that chooses as well, and at most. Instances hear of each
 * other's choices late; without chance all take the target that looks best, and
 * overfill it before anybody knows.
 */
const WELL_INFORMED = 12;
const CHANCE_PER_INSTANCE = 1 / 40;
const MAX_CHANCE = 1;

export interface ServicePlacesOptions {
  /** Where this instance stands. */
  readonly dataCentre: string;
  /** Instances that there may be, this one included. */
  readonly countInstances: () => number;
  /** How long a target takes no more requests, where it limits them. */
  readonly estimatePermitWaitMs: (target: RoutingTarget) => number;
  readonly random: Random;
}

export class ServicePlaces {
  readonly #options: ServicePlacesOptions;
  readonly #loads = new Map<string, TargetLoad>();
  readonly #line = new WaitQueue<PlaceRequest, PlaceCallback>();
  #maxWaitingPerTarget = Infinity;

  constructor(options: ServicePlacesOptions) {
    this.#options = options;
  }

  get waiting(): number {
    return this.#line.size;
  }

  /** Requests that wait here; under the empty name those for any target. */
  countQueued(): QueueLengths {
    return this.#line.countQueued();
  }

  /** `instances`: how many have these together. */
  setPeerQueueLengths(
    peer: string,
    counts: QueueLengths,
    nowMs: number,
    instances = 1,
  ): void {
    this.#line.setPeerQueueLengths(peer, { counts, instances, atMs: nowMs });
  }

  /** Takes over the targets that there are now. */
  setTargets(targets: readonly KnownTarget[]): void {
    const ids = new Set(targets.map((target) => target.id));
    for (const id of [...this.#loads.keys()]) {
      if (!ids.has(id)) {
        this.#loads.delete(id);
      }
    }
    for (const target of targets) {
      const known = this.#loads.get(target.id);
      if (known?.target !== target) {
        // A later life has none of the earlier one's requests and faults.
        const previous = known?.target.bornMs === target.bornMs
          ? known
          : undefined;
        this.#loads.set(target.id, new TargetLoad(target, previous));
      }
    }
  }

  /** Requests that may wait for one target, over all instances. */
  setMaxWaiting(perTarget: number): void {
    this.#maxWaitingPerTarget = perTarget;
  }

  getLoad(targetId: string): TargetLoad | undefined {
    return this.#loads.get(targetId);
  }

  listLoads(): readonly TargetLoad[] {
    return [...this.#loads.values()];
  }

  /** Decides at once, or later through `settle`. */
  submit(
    request: PlaceRequest,
    nowMs: number,
    settle: (decision: PlaceDecision) => void,
  ): void {
    const refusal = this.#findRefusal(request, nowMs);
    if (refusal !== undefined) {
      settle(refusal);
      return;
    }
    this.#line.add(request, settle);
    this.dispatchQueued(nowMs);
  }

  /** The caller has left, or its request is given up. */
  remove(requestId: string): void {
    this.#line.remove(requestId);
  }

  /** Places what can be placed and refuses what has waited too long. */
  dispatchQueued(nowMs: number): void {
    if (this.#line.size === 0) {
      return;
    }
    const stay: PlaceWaiter[] = [];
    const settled: (() => void)[] = [];
    // Where there was no room for one, there is none for those behind it.
    const fullLanes = new Set<string>();
    for (const waiter of this.#line.list()) {
      const decision = this.#decide(waiter.request, nowMs, fullLanes);
      if (decision === undefined) {
        stay.push(waiter);
      } else {
        if (decision.kind === "placed") {
          this.#line.recordPlaced(waiter);
        }
        settled.push(() => waiter.extra(decision));
      }
    }
    this.#line.setEntries(stay);
    for (const settle of settled) {
      settle();
    }
  }

  /** Work of one request at the service's targets, on average; null if unknown. */
  getAverageServiceMs(): number | null {
    let sum = 0;
    let count = 0;
    for (const load of this.#loads.values()) {
      if (load.unloadedServiceMs !== null) {
        sum += load.unloadedServiceMs;
        count++;
      }
    }
    return count === 0 ? null : sum / count;
  }

  #decide(
    request: PlaceRequest,
    nowMs: number,
    fullLanes: Set<string>,
  ): PlaceDecision | undefined {
    const waitedMs = nowMs - request.arrivedAtMs;
    const lane = getQueueKey(request);
    const load = fullLanes.has(lane) ? undefined : this.#choose(request, nowMs);
    if (load === undefined && request.excluded.size === 0) {
      fullLanes.add(lane);
    }
    if (load !== undefined) {
      const occupancy = load.computeOccupancy(nowMs);
      // Counted at once, so that the next decision of this turn sees it.
      load.recordSent(request.requestId, nowMs);
      return { kind: "placed", target: load.target, occupancy, waitedMs };
    }
    const isSilent = request.owner !== undefined &&
      this.#loads.get(request.owner)?.isSuspended(nowMs) === true;
    if (isSilent && waitedMs > SILENT_OWNER_WAIT_MS) {
      const retryAfterMs = NO_TARGET_RETRY_MS;
      return { kind: "refused", reason: "owner-silent", retryAfterMs };
    }
    if (nowMs > request.latestStartMs) {
      const retryAfterMs = this.#estimateWaitMs(request, nowMs);
      return { kind: "refused", reason: "waited-too-long", retryAfterMs };
    }
    return undefined;
  }

  #choose(request: PlaceRequest, nowMs: number): TargetLoad | undefined {
    if (request.owner !== undefined) {
      const load = this.#loads.get(request.owner);
      return load !== undefined && !load.isSuspended(nowMs) &&
          hasRoom(load, SENT_AHEAD_TO_OWNER, nowMs)
        ? load
        : undefined;
    }
    return this.#chooseFastest(request, nowMs);
  }

  /**
   * The earliest answer among the targets that have room. Load pattern: twice
   * what the targets can do; the fast ones are full, and a request that is sent
   * to a slow one just before its latest start is late for certain. It waits
   * for a fast one instead, and what waits in vain is refused.
   */
  #chooseFastest(
    request: PlaceRequest,
    nowMs: number,
  ): TargetLoad | undefined {
    const usualMs = this.getAverageServiceMs();
    const leftMs = request.latestStartMs + (usualMs ?? 0) - nowMs;
    let best: TargetLoad | undefined;
    let bestMs = Infinity;
    let isLate = true;
    let mayWait = false;
    const chance = this.#computeChance();
    for (const load of this.#listUsable(request, nowMs)) {
      const answerMs = load.estimateResponseMs(nowMs, usualMs) +
        this.#options.estimatePermitWaitMs(load.target);
      mayWait ||= load.estimateServiceMs(nowMs, usualMs) <= leftMs;
      const costMs = (1 + chance * this.#options.random.draw()) *
        (answerMs + this.#computeRemoteMs(load, nowMs, usualMs));
      if (costMs < bestMs && hasRoom(load, SENT_AHEAD, nowMs)) {
        bestMs = costMs;
        best = load;
        isLate = answerMs > leftMs;
      }
    }
    return isLate && mayWait ? undefined : best;
  }

  #computeChance(): number {
    const more = Math.max(0, this.#options.countInstances() - WELL_INFORMED);
    return Math.min(MAX_CHANCE, CHANCE_PER_INSTANCE * more);
  }

  #listUsable(request: PlaceRequest, nowMs: number): readonly TargetLoad[] {
    const usable: TargetLoad[] = [];
    for (const load of this.#loads.values()) {
      if (
        !load.target.leaving && !load.isSuspended(nowMs) &&
        !request.excluded.has(load.target.id)
      ) {
        usable.push(load);
      }
    }
    return usable;
  }

  #computeRemoteMs(
    load: TargetLoad,
    nowMs: number,
    usualMs: number | null,
  ): number {
    return load.target.dataCentre === this.#options.dataCentre
      ? 0
      : REMOTE_SHARE * (usualMs ?? load.estimateServiceMs(nowMs, usualMs));
  }

  #findRefusal(
    request: PlaceRequest,
    nowMs: number,
  ): PlaceDecision | undefined {
    if (this.#countPlaces(request) === 0) {
      const retryAfterMs = NO_TARGET_RETRY_MS;
      return { kind: "refused", reason: "no-target", retryAfterMs };
    }
    const waitMs = this.#estimateWaitMs(request, nowMs);
    return nowMs + waitMs > request.latestStartMs ||
        this.#line.countAhead(request, nowMs) >=
          this.#computeMaxWaiting(request)
      ? { kind: "refused", reason: "overloaded", retryAfterMs: waitMs }
      : undefined;
  }

  #computeMaxWaiting(request: PlaceRequest): number {
    const targets = request.owner === undefined ? this.#loads.size : 1;
    return this.#maxWaitingPerTarget * targets;
  }

  #countPlaces(request: PlaceRequest): number {
    if (request.owner !== undefined) {
      return this.#loads.get(request.owner)?.target.places ?? 0;
    }
    let places = 0;
    for (const load of this.#loads.values()) {
      if (!load.target.leaving && !request.excluded.has(load.target.id)) {
        places += load.target.places;
      }
    }
    return places;
  }

  /** Until what waits ahead of this request has been worked off. */
  #estimateWaitMs(request: PlaceRequest, nowMs: number): number {
    const ahead = this.#line.countAhead(request, nowMs);
    const owner = request.owner === undefined
      ? undefined
      : this.#loads.get(request.owner);
    const usualMs = this.getAverageServiceMs();
    const serviceMs = owner?.estimateServiceMs(nowMs, usualMs) ?? usualMs ?? 0;
    const places = Math.max(1, this.#countPlaces(request));
    return Math.max(MIN_RETRY_MS, ahead * serviceMs / places);
  }
}

function hasRoom(load: TargetLoad, ahead: number, nowMs: number): boolean {
  return load.computeOccupancy(nowMs) < load.target.places + ahead;
}
