/**
 * Assigns requests to the places of one service's targets.
 *
 * Load pattern: for seconds at a time there are more requests than places, from
 * callers of several priorities. Targets of one service differ in speed by a
 * factor of two to three. A target that is sent more than it can queue may
 * never answer. So requests are queued here: more urgent ones can overtake, and
 * a refused request is certain not to have run. A request is sent to a target
 * only when the target has room. A request that could not be answered in time
 * is refused on arrival instead of at its deadline. An estimate that refuses
 * requests would stay as it is, so some are sent all the same once it is
 * outdated, see `rechecks.ts`.
 */
import type { Random } from "@lentilspur/ports/clock";
import type {
  KnownTarget,
  RoutingTarget,
} from "@lentilspur/ports/routing_table";
import { formatTargetIncarnation } from "./target_incarnation.ts";
import { TargetLoad } from "./target_load.ts";
import { type RecheckEnd, Rechecks } from "./rechecks.ts";
import {
  getQueueKey,
  type QueuedRequest,
  type QueueEntry,
  type QueueLengths,
  WaitQueue,
} from "./wait_queue.ts";

export interface PlaceRequest extends QueuedRequest {
  /** A request that starts later is of no use to its caller. */
  readonly latestStartMs: number;
  /** Targets on which this request has failed already. */
  readonly excluded: ReadonlySet<string>;
  /**
   * Whether the request is refused at once if it would have to wait while the
   * paths to many targets that may run it are lost.
   */
  readonly refusesLostPaths?: boolean;
}

export type RefusalReason =
  /** No known target has places for the request. */
  | "no-target"
  /** The requests ahead would take until after the latest start. */
  | "overloaded"
  /** The latest start passed while the request was queued. */
  | "waited-too-long"
  /** The only target that may run the request does not respond. */
  | "owner-silent"
  /**
   * No target that is reached has room, and the paths to many that may run the
   * request are lost.
   */
  | "path-lost"
  /** All targets that may run the request want a pause that is too long. */
  | "backed-off";

export type PlaceDecision =
  | {
    readonly kind: "placed";
    readonly target: RoutingTarget;
    /** Estimated number of requests at the target. */
    readonly occupancy: number;
    readonly waitedMs: number;
    /** Set if it is sent against an outdated estimate, to correct that. */
    readonly isRecheck?: true;
  }
  | {
    readonly kind: "refused";
    readonly reason: RefusalReason;
    /** Estimated time until there is room. */
    readonly retryAfterMs: number;
  };

/** What a refusal was decided from. */
export interface PlaceEstimate {
  /**
   * Average service time over the targets that are not far slower than the
   * others, in ms; null if none is known.
   */
  readonly averageServiceMs: number | null;
  /** Estimated service time of the owner, in ms, if only it may run the request. */
  readonly ownerServiceMs?: number;
  /**
   * Time in ms since the last send that these estimates can have learned from;
   * null without one.
   */
  readonly lastSendAgeMs: number | null;
  /** Requests that were ahead in the queues of all instances. */
  readonly ahead: number;
  /** Targets that may run the request, and those of them that accept requests. */
  readonly targets: number;
  readonly acceptingTargets: number;
}

type Refusal = PlaceDecision & { readonly kind: "refused" };
type PlaceCallback = (decision: PlaceDecision) => void;
type PlaceEntry = QueueEntry<PlaceRequest, PlaceCallback>;

/**
 * Requests sent to a target beyond its places, so that a place is not idle
 * while a response and the next request are in flight.
 */
const OVERCOMMIT = 2;
/**
 * The same limit for requests that only one target may run. It is higher, so
 * that more of them may be in that target's own queue, but it is limited, since
 * counts of other instances arrive late and a target whose queue overflows may
 * never answer.
 */
const OWNER_OVERCOMMIT = 5;
/**
 * A target in another data centre is preferred only if its response is expected
 * this many average service times earlier, since traffic between data centres
 * is paid for.
 */
const REMOTE_COST_SERVICE_TIMES = 1.2;
/**
 * Retry-After if no target has places for the request, or if its owner does not
 * respond.
 */
const NO_TARGET_RETRY_MS = 300;
/** Minimum Retry-After of a refused request. */
const MIN_RETRY_MS = 20;
/**
 * How long a request waits for an owner that does not respond; a move of its
 * keys takes about as long.
 */
const UNRESPONSIVE_OWNER_WAIT_MS = 250;
/**
 * Random factor on the estimated cost of a target: the increase per instance
 * beyond the first 12, and its maximum. Load counts from other instances arrive
 * late; without randomness, all instances would choose the target that looks
 * best and overload it before any of them knows.
 */
const INSTANCES_WITHOUT_RANDOMNESS = 12;
const RANDOMNESS_PER_INSTANCE = 1 / 40;
const MAX_RANDOMNESS = 1;
/**
 * With paths to this share of a service's targets lost, a request does not wait
 * for those that are left.
 */
const MIN_LOST_SHARE = 0.25;
/**
 * Targets of one service differ in speed by a factor of two to three, and
 * queueing can double the measured time of one.
 */
const OUTLIER_FACTOR = 4;
/** A response takes as long at least, even if the clock shows no time. */
const MIN_SERVICE_MS = 0.1;
/** More than the targets of a large service. */
const MAX_BACKOFFS = 5_000;

export interface ServicePlacesOptions {
  /** The data centre of this instance. */
  readonly dataCentre: string;
  /** Estimated number of instances, including this one; null while unknown. */
  readonly countInstances: () => number | null;
  /**
   * Estimated time until the target's rate limit admits a request; 0 without a
   * limit.
   */
  readonly estimatePermitWaitMs: (target: RoutingTarget) => number;
  /** Whether the path from this instance to a target is lost. */
  readonly isPathLost: (target: RoutingTarget) => boolean;
  /**
   * Whether a target can be sent a request on an open connection. Old
   * connections may live on while new ones fail.
   */
  readonly hasIdleConnection: (target: RoutingTarget) => boolean;
  readonly random: Random;
}

export class ServicePlaces {
  readonly #options: ServicePlacesOptions;
  readonly #loads = new Map<string, TargetLoad>();
  readonly #queue = new WaitQueue<PlaceRequest, PlaceCallback>();
  readonly #rechecks = new Rechecks();
  #maxWaitingPerTarget = Infinity;
  /**
   * By incarnation: when the pause that it asked for ends. Kept while its entry
   * is gone, which may come back.
   */
  readonly #backoffsUntilMs = new Map<string, number>();
  /** When the last pause that any target has asked for ends. */
  #backoffsEndMs = -Infinity;

  constructor(options: ServicePlacesOptions) {
    this.#options = options;
  }

  get waiting(): number {
    return this.#queue.size;
  }

  /** Counts queued requests by target; the empty name is for any target. */
  countQueued(): QueueLengths {
    return this.#queue.countQueued();
  }

  /** `instances`: number of instances that the counts cover. */
  setPeerQueueLengths(
    peer: string,
    counts: QueueLengths,
    nowMs: number,
    instances = 1,
  ): void {
    this.#queue.setPeerQueueLengths(peer, { counts, instances, atMs: nowMs });
  }

  /** Replaces the set of targets. */
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
        // A new incarnation starts without the requests and failures of the
        // previous one.
        const previous = known?.target.bornMs === target.bornMs
          ? known
          : undefined;
        const load = new TargetLoad(target, previous);
        load.recordBackoff(
          this.#backoffsUntilMs.get(formatTargetIncarnation(target)) ??
            -Infinity,
        );
        this.#loads.set(target.id, load);
      }
    }
  }

  /** Sets how many requests may wait for one target, over all instances. */
  setMaxWaiting(perTarget: number): void {
    this.#maxWaitingPerTarget = perTarget;
  }

  /** Records that a target asks this instance for a pause. */
  recordBackoff(targetId: string, backoffMs: number, nowMs: number): void {
    const load = this.#loads.get(targetId);
    if (load === undefined) {
      return;
    }
    load.recordBackoff(nowMs + backoffMs);
    const untilMs = nowMs + load.getBackoffMs(nowMs);
    this.#backoffsEndMs = Math.max(this.#backoffsEndMs, untilMs);
    this.#backoffsUntilMs.set(formatTargetIncarnation(load.target), untilMs);
    if (this.#backoffsUntilMs.size > MAX_BACKOFFS) {
      const [oldest] = this.#backoffsUntilMs.keys();
      this.#backoffsUntilMs.delete(oldest!);
    }
  }

  getLoad(targetId: string): TargetLoad | undefined {
    return this.#loads.get(targetId);
  }

  listLoads(): readonly TargetLoad[] {
    return [...this.#loads.values()];
  }

  /**
   * Whether a target that may run the request and takes it now has room: the
   * owner, or any that is not excluded if there is none.
   */
  hasRoom(
    { owner, excluded }: Pick<PlaceRequest, "owner" | "excluded">,
    nowMs: number,
  ): boolean {
    const overcommit = owner === undefined ? OVERCOMMIT : OWNER_OVERCOMMIT;
    return this.listLoads().some((load) =>
      (owner === undefined
        ? !load.target.leaving && !excluded.has(load.target.id)
        : load.target.id === owner) &&
      !load.isSuspended(nowMs) && load.getBackoffMs(nowMs) === 0 &&
      !this.#options.isPathLost(load.target) &&
      hasRoom(load, overcommit, nowMs)
    );
  }

  /** Decides at once, or queues the request and calls `callback` later. */
  submit(
    request: PlaceRequest,
    nowMs: number,
    callback: (decision: PlaceDecision) => void,
  ): void {
    const refusal = this.#findRefusal(request, nowMs);
    if (refusal !== undefined) {
      const isTried = refusal.reason === "overloaded" &&
        this.#queue.countAhead(request, nowMs) === 0;
      callback(
        (isTried ? this.#startRecheck(request, nowMs) : null) ?? refusal,
      );
      return;
    }
    this.#queue.add(request, callback);
    this.dispatchQueued(nowMs);
  }

  /** Describes what decides on a request, for the log. */
  describeEstimate(request: PlaceRequest, nowMs: number): PlaceEstimate {
    const candidates = this.#listCandidates(request);
    const averageMs = this.getTypicalServiceMs();
    const [owner] = request.owner === undefined ? [] : candidates;
    const learnedFrom = owner === undefined ? this.listLoads() : [owner];
    const lastSentAtMs = Math.max(
      ...learnedFrom.map((load) => load.lastSentAtMs),
    );
    return {
      averageServiceMs: averageMs === null ? null : Math.round(averageMs),
      ...(owner === undefined ? {} : {
        ownerServiceMs: Math.round(owner.estimateServiceMs(nowMs, averageMs)),
      }),
      lastSendAgeMs: Number.isFinite(lastSentAtMs)
        ? Math.round(nowMs - lastSentAtMs)
        : null,
      ahead: this.#queue.countAhead(request, nowMs),
      targets: candidates.length,
      acceptingTargets: candidates
        .filter((load) => this.#isAccepting(load, request, nowMs)).length,
    };
  }

  /** Removes a request whose caller has left or that was cancelled. */
  remove(requestId: string): void {
    this.#queue.remove(requestId);
  }

  /**
   * Places queued requests where there is room and refuses those that have
   * waited too long.
   */
  dispatchQueued(nowMs: number): void {
    if (this.#queue.size === 0) {
      return;
    }
    const remaining: PlaceEntry[] = [];
    const callbacks: (() => void)[] = [];
    // If there is no room for a request, there is none for those behind it in
    // its queue.
    const fullQueues = new Set<string>();
    for (const entry of this.#queue.list()) {
      const decision = this.#decide(entry.request, nowMs, fullQueues);
      if (decision === undefined) {
        remaining.push(entry);
      } else {
        if (decision.kind === "placed") {
          this.#queue.recordPlaced(entry);
        }
        callbacks.push(() => entry.context(decision));
      }
    }
    this.#queue.setEntries(remaining);
    for (const callback of callbacks) {
      callback();
    }
  }

  /**
   * Average service time of one request over the service's targets; null if
   * unknown.
   */
  getAverageServiceMs(): number | null {
    return this.#computeMeanMs(Infinity);
  }

  /**
   * The same without targets that are far slower than the others: they would put
   * it above the deadlines of requests that others can serve.
   */
  getTypicalServiceMs(): number | null {
    return this.#computeMeanMs(OUTLIER_FACTOR * this.#computeHarmonicMeanMs());
  }

  #computeMeanMs(limitMs: number): number | null {
    let sum = 0;
    let count = 0;
    for (const { unloadedServiceMs } of this.#loads.values()) {
      if (unloadedServiceMs !== null && unloadedServiceMs <= limitMs) {
        sum += unloadedServiceMs;
        count++;
      }
    }
    return count === 0 ? null : sum / count;
  }

  /**
   * Mean service time over the requests that all targets serve while they are
   * busy; slow targets serve few of them.
   */
  #computeHarmonicMeanMs(): number {
    let servedPerMs = 0;
    let count = 0;
    for (const { unloadedServiceMs } of this.#loads.values()) {
      if (unloadedServiceMs !== null) {
        servedPerMs += 1 / Math.max(MIN_SERVICE_MS, unloadedServiceMs);
        count++;
      }
    }
    return count / servedPerMs;
  }

  /**
   * Records the end of a recheck after this time. A response, which has to be
   * recorded after this, replaces an estimate that it contradicts.
   */
  recordRecheckEnd(
    targetId: string,
    requestId: string,
    { end, elapsedMs }: {
      readonly end: RecheckEnd;
      readonly elapsedMs: number;
    },
  ): void {
    this.#rechecks.recordEnd(requestId, end);
    if (end === "responded") {
      this.#loads.get(targetId)?.resetEstimates(elapsedMs);
    }
  }

  #decide(
    request: PlaceRequest,
    nowMs: number,
    fullQueues: Set<string>,
  ): PlaceDecision | undefined {
    const waitedMs = nowMs - request.arrivedAtMs;
    const queueKey = getQueueKey(request);
    const isFirst = !fullQueues.has(queueKey);
    const load = isFirst ? this.#choose(request, nowMs) : undefined;
    if (load === undefined && request.excluded.size === 0) {
      fullQueues.add(queueKey);
    }
    if (load !== undefined) {
      const occupancy = load.computeOccupancy(nowMs);
      // Recorded at once, so that the next decision of this loop counts it.
      load.recordSent(request.requestId, nowMs);
      return { kind: "placed", target: load.target, occupancy, waitedMs };
    }
    const recheck = isFirst ? this.#startRecheck(request, nowMs) : undefined;
    if (recheck !== undefined) {
      return recheck;
    }
    if (this.#mayBeSentElsewhere(request)) {
      const retryAfterMs = NO_TARGET_RETRY_MS;
      return { kind: "refused", reason: "path-lost", retryAfterMs };
    }
    const owner = request.owner === undefined
      ? undefined
      : this.#loads.get(request.owner);
    const isUnresponsive = owner !== undefined &&
      (owner.isSuspended(nowMs) || this.#options.isPathLost(owner.target));
    if (isUnresponsive && waitedMs > UNRESPONSIVE_OWNER_WAIT_MS) {
      const retryAfterMs = NO_TARGET_RETRY_MS;
      return { kind: "refused", reason: "owner-silent", retryAfterMs };
    }
    const backedOff = this.#findBackoffRefusal(request, nowMs);
    if (backedOff !== undefined) {
      return backedOff;
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
      return load !== undefined && this.#isAccepting(load, request, nowMs) &&
          hasRoom(load, OWNER_OVERCOMMIT, nowMs)
        ? load
        : undefined;
    }
    return this.#chooseEarliestResponse(request, nowMs);
  }

  /**
   * Chooses the target with room and the earliest estimated response. Load
   * pattern: twice the capacity arrives, and the fast targets are full. A
   * request that is sent to a slow target just before its latest start is
   * certain to be late, so it waits for a fast target instead, and is refused
   * if none gets room in time.
   */
  #chooseEarliestResponse(
    request: PlaceRequest,
    nowMs: number,
  ): TargetLoad | undefined {
    const averageMs = this.getAverageServiceMs();
    const remainingMs = request.latestStartMs +
      (this.getTypicalServiceMs() ?? 0) - nowMs;
    let best: TargetLoad | undefined;
    let bestMs = Infinity;
    let isLate = true;
    let canBeInTime = false;
    const randomness = this.#computeRandomness();
    for (const load of this.#listUsable(request, nowMs)) {
      const responseMs = load.estimateResponseMs(nowMs, averageMs) +
        this.#options.estimatePermitWaitMs(load.target);
      canBeInTime ||= load.estimateServiceMs(nowMs, averageMs) <= remainingMs;
      const costMs = (1 + randomness * this.#options.random.draw()) *
        (responseMs + this.#computeRemoteCostMs(load, nowMs, averageMs));
      if (costMs < bestMs && hasRoom(load, OVERCOMMIT, nowMs)) {
        bestMs = costMs;
        best = load;
        isLate = responseMs > remainingMs;
      }
    }
    return isLate && canBeInTime ? undefined : best;
  }

  /**
   * Whether a target responds, is reached from here and has not asked for a
   * pause.
   */
  #isAccepting(
    load: TargetLoad,
    request: PlaceRequest,
    nowMs: number,
  ): boolean {
    return !load.isSuspended(nowMs) && load.getBackoffMs(nowMs) === 0 &&
      this.#isReached(load.target, request);
  }

  /**
   * Uses an old connection over a lost path only for a request that no other
   * instance can send, since the connection may be dead.
   */
  #isReached(
    target: RoutingTarget,
    { refusesLostPaths }: PlaceRequest,
  ): boolean {
    const { isPathLost, hasIdleConnection } = this.#options;
    return !isPathLost(target) ||
      (refusesLostPaths !== true && hasIdleConnection(target));
  }

  /**
   * Whether the paths to so many of the targets that may run the request are
   * lost that others may have room which this instance cannot use.
   */
  #mayBeSentElsewhere(request: PlaceRequest): boolean {
    if (request.refusesLostPaths !== true) {
      return false;
    }
    const { isPathLost } = this.#options;
    const targets = this.#listCandidates(request);
    const lost = targets.filter(({ target }) => isPathLost(target));
    return lost.length > 0 && lost.length >= MIN_LOST_SHARE * targets.length;
  }

  /** Lists the targets that may run a request: its owner, or any. */
  #listCandidates(
    { owner, excluded }: PlaceRequest,
  ): readonly TargetLoad[] {
    return this.listLoads().filter(({ target: { id, leaving } }) =>
      owner === undefined ? !leaving && !excluded.has(id) : id === owner
    );
  }

  #computeRandomness(): number {
    const extraInstances = Math.max(
      0,
      (this.#options.countInstances() ?? 1) - INSTANCES_WITHOUT_RANDOMNESS,
    );
    return Math.min(MAX_RANDOMNESS, RANDOMNESS_PER_INSTANCE * extraInstances);
  }

  #listUsable(request: PlaceRequest, nowMs: number): readonly TargetLoad[] {
    const usable: TargetLoad[] = [];
    for (const load of this.#loads.values()) {
      if (
        !load.target.leaving && this.#isAccepting(load, request, nowMs) &&
        !request.excluded.has(load.target.id)
      ) {
        usable.push(load);
      }
    }
    return usable;
  }

  #computeRemoteCostMs(
    load: TargetLoad,
    nowMs: number,
    averageMs: number | null,
  ): number {
    return load.target.dataCentre === this.#options.dataCentre
      ? 0
      : REMOTE_COST_SERVICE_TIMES *
        (averageMs ?? load.estimateServiceMs(nowMs, averageMs));
  }

  #findRefusal(
    request: PlaceRequest,
    nowMs: number,
  ): Refusal | undefined {
    if (this.#countPlaces(request) === 0) {
      const retryAfterMs = NO_TARGET_RETRY_MS;
      return { kind: "refused", reason: "no-target", retryAfterMs };
    }
    const backedOff = this.#findBackoffRefusal(request, nowMs);
    if (backedOff !== undefined) {
      return backedOff;
    }
    const waitMs = this.#estimateWaitMs(request, nowMs);
    if (waitMs > MIN_RETRY_MS && this.#mayBeSentElsewhere(request)) {
      return {
        kind: "refused",
        reason: "path-lost",
        retryAfterMs: NO_TARGET_RETRY_MS,
      };
    }
    return nowMs + waitMs > request.latestStartMs ||
        this.#queue.countAhead(request, nowMs) >=
          this.#computeMaxWaiting(request)
      ? { kind: "refused", reason: "overloaded", retryAfterMs: waitMs }
      : undefined;
  }

  /** Refuses a request whose targets all want a pause beyond its latest start. */
  #findBackoffRefusal(
    request: PlaceRequest,
    nowMs: number,
  ): Refusal | undefined {
    const retryAfterMs = this.#computeBackoffMs(request, nowMs);
    return retryAfterMs > 0 && nowMs + retryAfterMs > request.latestStartMs
      ? { kind: "refused", reason: "backed-off", retryAfterMs }
      : undefined;
  }

  /** How long all targets that may run the request want no requests. */
  #computeBackoffMs(request: PlaceRequest, nowMs: number): number {
    if (nowMs >= this.#backoffsEndMs) {
      return 0;
    }
    if (request.owner !== undefined) {
      return this.#loads.get(request.owner)?.getBackoffMs(nowMs) ?? 0;
    }
    let shortestMs = Infinity;
    for (const load of this.#loads.values()) {
      if (!load.target.leaving && !request.excluded.has(load.target.id)) {
        shortestMs = Math.min(shortestMs, load.getBackoffMs(nowMs));
      }
    }
    return Number.isFinite(shortestMs) ? shortestMs : 0;
  }

  /**
   * Places a request that would be refused, or would wait beside a free place,
   * because of an estimate that is outdated: the target may have become fast
   * again, which only a send can show.
   */
  #startRecheck(
    request: PlaceRequest,
    nowMs: number,
  ): PlaceDecision | undefined {
    if (!this.#rechecks.mayStart()) {
      return undefined;
    }
    let oldest: TargetLoad | undefined;
    for (const load of this.#listCandidates(request)) {
      if (
        this.#isAccepting(load, request, nowMs) && load.isOutdated(nowMs) &&
        hasRoom(load, 0, nowMs) &&
        load.lastSentAtMs < (oldest?.lastSentAtMs ?? Infinity)
      ) {
        oldest = load;
      }
    }
    if (oldest === undefined) {
      return undefined;
    }
    const occupancy = oldest.computeOccupancy(nowMs);
    const waitedMs = nowMs - request.arrivedAtMs;
    const { target } = oldest;
    oldest.recordSent(request.requestId, nowMs);
    this.#rechecks.recordStart(request.requestId);
    return { kind: "placed", target, occupancy, waitedMs, isRecheck: true };
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

  /**
   * Estimates the time until the requests ahead of this one have been served.
   */
  #estimateWaitMs(request: PlaceRequest, nowMs: number): number {
    const ahead = this.#queue.countAhead(request, nowMs);
    const owner = request.owner === undefined
      ? undefined
      : this.#loads.get(request.owner);
    const averageMs = this.getAverageServiceMs();
    const serviceMs = owner?.estimateServiceMs(nowMs, averageMs) ?? averageMs ??
      0;
    const places = Math.max(1, this.#countPlaces(request));
    return Math.max(MIN_RETRY_MS, ahead * serviceMs / places);
  }
}

function hasRoom(load: TargetLoad, overcommit: number, nowMs: number): boolean {
  return load.computeOccupancy(nowMs) < load.target.places + overcommit;
}
