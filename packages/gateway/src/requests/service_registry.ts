/** Keeps the places, retry budgets and traffic splits of all services. */
import type { Clock, Random } from "@lentilspur/ports/clock";
import type { SendOutcome } from "@lentilspur/ports/request_sender";
import type { Route, RoutingTarget } from "@lentilspur/ports/routing_table";
import { sleepUntilTick } from "@lentilspur/ports/tick";
import {
  type Membership,
  RetryBudget,
  type RetryClaim,
  type RetryLimits,
  type RetryRequest,
  type RetryTicket,
} from "@lentilspur/routing/retry_budget";
import { RequestGaps } from "@lentilspur/routing/request_gaps";
import {
  type PlaceDecision,
  type PlaceEstimate,
  type PlaceRequest,
  ServicePlaces,
} from "@lentilspur/routing/service_places";
import { WeightedSplitter } from "@lentilspur/routing/weighted_splitter";
import type { TargetLoad } from "@lentilspur/routing/target_load";
import type { Catalogue } from "../views/catalogue.ts";
import type { LoadCounts } from "../peers/load_counts.ts";

export interface ServiceRegistryOptions {
  readonly clock: Clock;
  readonly catalogue: Catalogue;
  readonly dataCentre: string;
  /** When this process started. */
  readonly startedAtMs: number;
  readonly retryLimits: RetryLimits;
  readonly random: Random;
  /**
   * Largest number of instances that may be running, including this one; null
   * while unknown.
   */
  readonly countInstances: () => number | null;
  /** Who shares the reserves of retries; null while unknown. */
  readonly getMembership: () => Membership | null;
  /** Called with requests that callers may have sent long before. */
  readonly observeLate: (event: LateRequests) => void;
  /** Estimates the wait for a permit to send to a target with a rate limit. */
  readonly estimatePermitWaitMs: (target: RoutingTarget) => number;
  /** Whether the path from this instance to a target is lost. */
  readonly isPathLost: (target: RoutingTarget) => boolean;
  /** Whether an open connection to a target is not in use. */
  readonly hasIdleConnection: (target: RoutingTarget) => boolean;
}

/** Requests that arrived late in the last second or more. */
export interface LateRequests {
  readonly requests: number;
  /** Longest time since they may have been sent. */
  readonly latenessMs: number;
}

/** A granted retry. */
export interface HeldRetry {
  readonly service: string;
  /** Null if another instance has granted it and counts it. */
  readonly ticket: RetryTicket | null;
}

/** Interval at which requests are placed or refused while any are waiting. */
const TICK_MS = 20;
/**
 * Interval while no request waits: each wake-up costs about 0.1 ms of CPU time.
 */
const IDLE_TICK_MS = 50;
/**
 * Ticks back at which a request that is read now cannot have been waiting in the
 * kernel: one may have passed until its connection was accepted, and another
 * until its bytes were read.
 */
const UNREAD_TICKS = 3;
/**
 * How long the service time of a target is reported without a further send. In a
 * large deployment an instance sends some targets a request every ten seconds.
 */
const SERVICE_TIME_VALID_MS = 60_000;
/** Requests that are less late are as usual. */
const MIN_LATENESS_MS = 500;
const LATE_REPORT_INTERVAL_MS = 1_000;
/** A tick that is late by less shows an ordinary delay of the event loop. */
const MIN_STALL_MS = 40;

export class ServiceRegistry {
  readonly #options: ServiceRegistryOptions;
  readonly #places = new Map<string, ServicePlaces>();
  readonly #retryBudgets = new Map<string, RetryBudget>();
  readonly #trafficSplitter = new WeightedSplitter();
  /** Targets at which each peer had requests, according to its last report. */
  readonly #peerTargets = new Map<string, readonly string[]>();
  #retryLimits: RetryLimits;
  #lastTickAtMs = Infinity;
  #endedStallMs = 0;
  /** Sum of the stalls that have ended. */
  #totalStallMs = 0;
  #tickMs = IDLE_TICK_MS;
  readonly #gaps = new RequestGaps();
  /** Late requests that are not reported yet. */
  #late: LateRequests = { requests: 0, latenessMs: 0 };
  #lateReportedAtMs = -Infinity;
  /** The last `UNREAD_TICKS` ticks. */
  readonly #ticksMs: number[] = [];

  constructor(options: ServiceRegistryOptions) {
    this.#options = options;
    this.#retryLimits = options.retryLimits;
  }

  setRetryLimits(limits: RetryLimits): void {
    this.#retryLimits = limits;
    for (const [service, budget] of this.#retryBudgets) {
      budget.setLimits(this.#resolveRetryLimits(service));
    }
  }

  get waiting(): number {
    let waiting = 0;
    for (const places of this.#places.values()) {
      waiting += places.waiting;
    }
    return waiting;
  }

  /** Counts the granted retries that may still reach their targets. */
  countOpenRetries(): number {
    const nowMs = this.#options.clock.readMs();
    return [...this.#retryBudgets.values()]
      .reduce((sum, budget) => sum + budget.countOpen(nowMs), 0);
  }

  chooseService(route: Route): string {
    return this.#trafficSplitter.choose(route);
  }

  /** Applies a change of the configuration or of the targets. */
  update(): void {
    const { catalogue, clock } = this.#options;
    const nowMs = clock.readMs();
    for (const name of catalogue.routingTable?.services.keys() ?? []) {
      const places = this.#getPlaces(name);
      places.setTargets(catalogue.listForNewWork(name));
      places.setMaxWaiting(this.#getMaxWaiting(name));
      places.dispatchQueued(nowMs);
    }
  }

  /** Restarts the traffic splits after the weights have changed. */
  resetTrafficSplit(): void {
    this.#trafficSplitter.reset();
  }

  /** Places or refuses waiting requests at regular intervals. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      this.#recordTick(clock.readMs());
      this.#reportLate(clock.readMs());
      for (const places of this.#places.values()) {
        places.dispatchQueued(clock.readMs());
      }
      this.#tickMs = this.waiting > 0 ? TICK_MS : IDLE_TICK_MS;
      await sleepUntilTick(clock, this.#tickMs, signal);
    }
  }

  #recordTick(nowMs: number): void {
    const lateMs = nowMs - this.#lastTickAtMs - this.#tickMs;
    if (lateMs > MIN_STALL_MS) {
      this.#endedStallMs = lateMs;
      this.#totalStallMs += lateMs;
      // Signals that came meanwhile are handled in the next event loop round.
      setImmediate(() => setImmediate(() => this.#endedStallMs = 0));
    }
    this.#lastTickAtMs = nowMs;
    this.#ticksMs.push(nowMs);
    if (this.#ticksMs.length > UNREAD_TICKS) {
      this.#ticksMs.shift();
    }
  }

  #reportLate(nowMs: number): void {
    if (
      this.#late.requests === 0 ||
      nowMs - this.#lateReportedAtMs < LATE_REPORT_INTERVAL_MS
    ) {
      return;
    }
    this.#options.observeLate(this.#late);
    this.#late = { requests: 0, latenessMs: 0 };
    this.#lateReportedAtMs = nowMs;
  }

  /**
   * How late the next tick is because the process was busy, frozen or not
   * scheduled.
   */
  readStallMs(): number {
    const sinceMs = this.#options.clock.readMs() - this.#lastTickAtMs;
    return sinceMs > this.#tickMs + MIN_STALL_MS ? sinceMs - this.#tickMs : 0;
  }

  /**
   * The same, also just after the stall: timers run before signals are handled.
   */
  readRecentStallMs(): number {
    return Math.max(this.readStallMs(), this.#endedStallMs);
  }

  /** The sum of all stalls since the start. */
  readTotalStallMs(): number {
    return this.#totalStallMs + this.readStallMs();
  }

  /** Resolves to undefined if the caller disconnects meanwhile. */
  waitForPlace(
    service: string,
    request: PlaceRequest,
    signal: AbortSignal,
  ): Promise<PlaceDecision | undefined> {
    const places = this.#getPlaces(service);
    return new Promise((resolve) => {
      const cancel = () => {
        places.remove(request.requestId);
        resolve(undefined);
      };
      signal.addEventListener("abort", cancel, { once: true });
      places.submit(request, this.#options.clock.readMs(), (decision) => {
        signal.removeEventListener("abort", cancel);
        resolve(decision);
      });
    });
  }

  /** Describes what decides on a request, for the log. */
  describeEstimate(service: string, request: PlaceRequest): PlaceEstimate {
    return this.#getPlaces(service)
      .describeEstimate(request, this.#options.clock.readMs());
  }

  /**
   * Records a request for a service, whether or not it will be sent. Its caller
   * may have sent it earlier: while this process stood still, or while no bytes
   * of callers got through.
   */
  recordRequest(service: string, arrivedAtMs: number): void {
    const nowMs = this.#options.clock.readMs();
    const earliestMs = Math.min(
      arrivedAtMs,
      this.#ticksMs[0] ?? nowMs,
      this.#gaps.recordRequest(nowMs),
    );
    this.#recordLateness(nowMs - earliestMs);
    this.#getRetryBudget(service).recordRequest(nowMs, earliestMs);
  }

  #recordLateness(latenessMs: number): void {
    if (latenessMs >= MIN_LATENESS_MS) {
      this.#late = {
        requests: this.#late.requests + 1,
        latenessMs: Math.max(this.#late.latenessMs, latenessMs),
      };
    }
  }

  claimRetry(
    service: string,
    request: Omit<RetryRequest, "membership">,
  ): RetryClaim {
    const { clock, getMembership } = this.#options;
    return this.#getRetryBudget(service).claimRetry(
      { ...request, membership: getMembership() },
      clock.readMs(),
    );
  }

  /** Records when a granted retry has arrived, or will have at the latest. */
  settleRetry({ service, ticket }: HeldRetry, latestArrivalMs: number): void {
    if (ticket !== null) {
      const nowMs = this.#options.clock.readMs();
      this.#getRetryBudget(service)
        .settleRetry(ticket, latestArrivalMs, nowMs);
    }
  }

  /** Takes back a granted retry that is not sent. */
  releaseRetry({ service, ticket }: HeldRetry): void {
    if (ticket !== null) {
      this.#getRetryBudget(service).releaseRetry(ticket);
    }
  }

  /** Whether a target that takes new work is not among the excluded ones. */
  hasOtherTarget(service: string, excluded: ReadonlySet<string>): boolean {
    return this.#getPlaces(service).listLoads().some(({ target }) =>
      !target.leaving && !excluded.has(target.id)
    );
  }

  /** Whether a target has asked this instance for a pause that lasts still. */
  isBackedOff(service: string, targetId: string): boolean {
    const load = this.#getPlaces(service).getLoad(targetId);
    return (load?.getBackoffMs(this.#options.clock.readMs()) ?? 0) > 0;
  }

  /** Releases a place that was given to a request and is not used. */
  releasePlace(
    service: string,
    placed: PlaceDecision & { readonly kind: "placed" },
    requestId: string,
  ): void {
    const places = this.#getPlaces(service);
    places.getLoad(placed.target.id)?.recordEnded(requestId);
    if (placed.isRecheck) {
      places.recordRecheckEnd(placed.target.id, requestId, {
        end: "unsent",
        elapsedMs: 0,
      });
    }
    places.dispatchQueued(this.#options.clock.readMs());
  }

  recordOutcome(
    service: string,
    placed: PlaceDecision & { readonly kind: "placed" },
    requestId: string,
    outcome: SendOutcome,
    { sentAtMs, isOverdue }: {
      readonly sentAtMs: number;
      /** Whether the send was aborted because its response was overdue. */
      readonly isOverdue: boolean;
    },
  ): void {
    const nowMs = this.#options.clock.readMs();
    const places = this.#getPlaces(service);
    const load = places.getLoad(placed.target.id);
    load?.recordEnded(requestId);
    if (placed.isRecheck) {
      const end = outcome.kind === "answered" ? "responded" : "failed";
      const elapsedMs = nowMs - sentAtMs;
      places.recordRecheckEnd(placed.target.id, requestId, { end, elapsedMs });
    }
    // A lost path says nothing about the speed or the failures of the target.
    const isFailure = outcome.kind === "unknown" ||
      (outcome.kind === "not-run" && outcome.cause === "unreachable");
    if (isFailure && this.#options.isPathLost(placed.target)) {
      places.dispatchQueued(nowMs);
      return;
    }
    switch (outcome.kind) {
      case "answered":
        load?.recordResponse(nowMs - sentAtMs, placed.occupancy);
        break;
      case "not-run":
        if (outcome.cause === "unreachable" || outcome.cause === "replaced") {
          load?.recordUnresponsive(nowMs);
        } else if (outcome.cause === "full" || outcome.cause === "not-sent") {
          load?.recordFailure(nowMs);
        }
        break;
      case "unknown":
        if (outcome.cause === "silent" || isOverdue) {
          load?.recordTimeout(nowMs - sentAtMs);
        } else if (outcome.cause !== "cancelled") {
          load?.recordFailure(nowMs);
        }
        break;
    }
    if (outcome.kind !== "unknown" && outcome.backoffMs !== undefined) {
      places.recordBackoff(placed.target.id, outcome.backoffMs, nowMs);
    }
    if (outcome.kind !== "unknown" && outcome.load !== undefined) {
      load?.recordReport(outcome.load, nowMs);
    }
    places.dispatchQueued(nowMs);
  }

  /** Uses a target again whose path was lost. */
  recordReachable({ id, service }: RoutingTarget): void {
    const places = this.#getPlaces(service);
    places.getLoad(id)?.recordReachable();
    places.dispatchQueued(this.#options.clock.readMs());
  }

  /**
   * Applies the load of a peer, or of several peers together, at each target.
   * Targets that the counts do not name have no requests of these peers.
   */
  applyPeerCounts(peer: string, counts: LoadCounts): void {
    const nowMs = this.#options.clock.readMs();
    const { running } = counts;
    const reportedTargets = Object.keys(running);
    for (const id of this.#peerTargets.get(peer) ?? []) {
      if (!Object.hasOwn(running, id)) {
        this.#findLoad(id)?.setPeerCount(peer, 0, nowMs);
      }
    }
    for (const id of reportedTargets) {
      this.#findLoad(id)?.setPeerCount(peer, running[id]!, nowMs);
    }
    this.#peerTargets.set(peer, reportedTargets);
    for (const [service, places] of this.#places) {
      const queueLengths = Object.entries(counts.waiting[service] ?? {});
      places.setPeerQueueLengths(
        peer,
        new Map(queueLengths),
        nowMs,
        counts.instances,
      );
      places.dispatchQueued(nowMs);
    }
  }

  countOwnLoad(): LoadCounts {
    const { isPathLost } = this.#options;
    const running: Record<string, number> = {};
    const waiting: Record<string, LoadCounts["waiting"][string]> = {};
    for (const [service, places] of this.#places) {
      for (const load of places.listLoads()) {
        // Sends over a lost path may hang here without having reached the target.
        if (load.ownCount > 0 && !isPathLost(load.target)) {
          running[load.target.id] = load.ownCount;
        }
      }
      if (places.waiting > 0) {
        waiting[service] = Object.fromEntries(places.countQueued());
      }
    }
    return { running, waiting, instances: 1 };
  }

  getAverageServiceMs(service: string): number | null {
    return this.#getPlaces(service).getAverageServiceMs();
  }

  /** The same without targets that are far slower than the others. */
  getTypicalServiceMs(service: string): number | null {
    return this.#getPlaces(service).getTypicalServiceMs();
  }

  /**
   * Estimates how long a request that has just been placed takes to be
   * answered.
   */
  estimateResponseMs(service: string, targetId: string): number {
    const places = this.#getPlaces(service);
    const usualMs = places.getAverageServiceMs();
    return places.getLoad(targetId)
      ?.estimateResponseMs(this.#options.clock.readMs(), usualMs) ?? 0;
  }

  /** Whether a request would be placed at once. */
  hasRoom(
    service: string,
    request: Pick<PlaceRequest, "owner" | "excluded">,
  ): boolean {
    const places = this.#getPlaces(service);
    return places.hasRoom(request, this.#options.clock.readMs());
  }

  /**
   * Lists the processing time of one request at each target of a service that
   * was sent requests lately. A target that is never sent any would otherwise
   * stay slow in the plans of keys, and get none back.
   */
  listServiceMs(service: string): Readonly<Record<string, number>> {
    const oldestMs = this.#options.clock.readMs() - SERVICE_TIME_VALID_MS;
    const measured: Record<string, number> = {};
    for (const load of this.#getPlaces(service).listLoads()) {
      if (load.unloadedServiceMs !== null && load.lastSentAtMs >= oldestMs) {
        measured[load.target.id] = Math.round(load.unloadedServiceMs);
      }
    }
    return measured;
  }

  /** Finds the load of a target, which belongs to one service only. */
  #findLoad(targetId: string): TargetLoad | undefined {
    for (const places of this.#places.values()) {
      const load = places.getLoad(targetId);
      if (load !== undefined) {
        return load;
      }
    }
    return undefined;
  }

  #getPlaces(service: string): ServicePlaces {
    let places = this.#places.get(service);
    if (places === undefined) {
      places = new ServicePlaces(this.#options);
      this.#places.set(service, places);
      places.setTargets(this.#options.catalogue.listForNewWork(service));
      places.setMaxWaiting(this.#getMaxWaiting(service));
    }
    return places;
  }

  #getMaxWaiting(service: string): number {
    const { routingTable: table } = this.#options.catalogue;
    return table?.services.get(service)?.maxWaitingPerTarget ?? Infinity;
  }

  #getRetryBudget(service: string): RetryBudget {
    let budget = this.#retryBudgets.get(service);
    if (budget === undefined) {
      budget = new RetryBudget(
        this.#resolveRetryLimits(service),
        this.#options,
      );
      this.#retryBudgets.set(service, budget);
    }
    return budget;
  }

  #resolveRetryLimits(service: string): RetryLimits {
    const { routingTable: table } = this.#options.catalogue;
    const ratio = table?.services.get(service)?.retryRatio ??
      this.#retryLimits.ratio;
    return { ...this.#retryLimits, ratio };
  }
}
