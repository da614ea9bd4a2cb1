/** What one instance keeps for each service: places, retries and shares. */
import type { Clock, Random } from "@lentilspur/ports/clock";
import type { SendOutcome } from "@lentilspur/ports/request_sender";
import type { Route, RoutingTarget } from "@lentilspur/ports/routing_table";
import { sleepUntilTick } from "@lentilspur/ports/tick";
import {
  RetryBudget,
  type RetryLimits,
} from "@lentilspur/routing/retry_budget";
import {
  type PlaceDecision,
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
  readonly retryLimits: RetryLimits;
  readonly random: Random;
  /** Instances that there may be, this one included. */
  readonly countInstances: () => number;
  /** How long a target takes no more requests, where it limits them. */
  readonly estimatePermitWaitMs: (target: RoutingTarget) => number;
}

/** Waiting requests are looked through this often for what has become due. */
const TICK_MS = 20;
/** While nothing waits; each wake-up costs about 0.1 ms of processor time. */
const IDLE_TICK_MS = 50;
/** Below this a late tick is an ordinary turn of the event loop. */
const MIN_STALL_MS = 40;

export class ServiceRegistry {
  readonly #options: ServiceRegistryOptions;
  readonly #places = new Map<string, ServicePlaces>();
  readonly #retries = new Map<string, RetryBudget>();
  readonly #split = new WeightedSplitter();
  /** Targets at which each peer last had requests. */
  readonly #peerTargets = new Map<string, readonly string[]>();
  #retryLimits: RetryLimits;
  #tickedAtMs = Infinity;
  #tickMs = IDLE_TICK_MS;

  constructor(options: ServiceRegistryOptions) {
    this.#options = options;
    this.#retryLimits = options.retryLimits;
  }

  setRetryLimits(limits: RetryLimits): void {
    this.#retryLimits = limits;
    for (const [service, retries] of this.#retries) {
      retries.setLimits(this.#resolveRetryLimits(service));
    }
  }

  get waiting(): number {
    let waiting = 0;
    for (const places of this.#places.values()) {
      waiting += places.waiting;
    }
    return waiting;
  }

  chooseService(route: Route): string {
    return this.#split.choose(route);
  }

  /** The configuration or the targets have changed. */
  update(): void {
    const { catalogue, clock } = this.#options;
    const nowMs = clock.readMs();
    for (const name of catalogue.table?.services.keys() ?? []) {
      const places = this.#getPlaces(name);
      places.setTargets(catalogue.listForNewWork(name));
      places.setMaxWaiting(this.#getMaxWaiting(name));
      places.dispatchQueued(nowMs);
    }
  }

  /** New weights: shares are counted from here on. */
  resetTrafficSplit(): void {
    this.#split.reset();
  }

  /** Places requests as time goes by, whatever else happens. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      this.#tickedAtMs = clock.readMs();
      for (const places of this.#places.values()) {
        places.dispatchQueued(clock.readMs());
      }
      this.#tickMs = this.waiting > 0 ? TICK_MS : IDLE_TICK_MS;
      await sleepUntilTick(clock, this.#tickMs, signal);
    }
  }

  /** How late the next tick is: the process was busy, frozen or not scheduled. */
  readStallMs(): number {
    const sinceMs = this.#options.clock.readMs() - this.#tickedAtMs;
    return sinceMs > this.#tickMs + MIN_STALL_MS ? sinceMs - this.#tickMs : 0;
  }

  /** Undefined where the caller has left meanwhile. */
  waitForPlace(
    service: string,
    request: PlaceRequest,
    signal: AbortSignal,
  ): Promise<PlaceDecision | undefined> {
    const places = this.#getPlaces(service);
    return new Promise((resolve) => {
      const leave = () => {
        places.remove(request.requestId);
        resolve(undefined);
      };
      signal.addEventListener("abort", leave, { once: true });
      places.submit(request, this.#options.clock.readMs(), (decision) => {
        signal.removeEventListener("abort", leave);
        resolve(decision);
      });
    });
  }

  recordSend(service: string, isRetry: boolean): void {
    if (!isRetry) {
      this.#getRetries(service).recordFirstAttempt(
        this.#options.clock.readMs(),
      );
    }
  }

  claimRetry(service: string): boolean {
    const { clock, countInstances } = this.#options;
    return this.#getRetries(service).claimRetry(
      countInstances(),
      clock.readMs(),
    );
  }

  /** The place that was given is not used after all. */
  releasePlace(service: string, targetId: string, requestId: string): void {
    const places = this.#getPlaces(service);
    places.getLoad(targetId)?.recordEnded(requestId);
    places.dispatchQueued(this.#options.clock.readMs());
  }

  recordOutcome(
    service: string,
    placed: PlaceDecision & { readonly kind: "placed" },
    requestId: string,
    outcome: SendOutcome,
    { sentAtMs, isOverdue }: {
      readonly sentAtMs: number;
      /** Given up since its answer was overdue. */
      readonly isOverdue: boolean;
    },
  ): void {
    const nowMs = this.#options.clock.readMs();
    const places = this.#getPlaces(service);
    const load = places.getLoad(placed.target.id);
    load?.recordEnded(requestId);
    switch (outcome.kind) {
      case "answered":
        load?.recordResponse(nowMs - sentAtMs, placed.occupancy);
        break;
      case "not-run":
        if (outcome.cause === "unreachable" || outcome.cause === "replaced") {
          load?.recordUnresponsive(nowMs);
        } else if (outcome.cause === "full") {
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
    if (outcome.kind !== "unknown" && outcome.load !== undefined) {
      load?.recordReport(outcome.load, nowMs);
    }
    places.dispatchQueued(nowMs);
  }

  /**
   * The requests of a peer, or of several together, at each target; those that
   * are not named have none.
   */
  applyPeerCounts(peer: string, counts: LoadCounts): void {
    const nowMs = this.#options.clock.readMs();
    const { running } = counts;
    const named = Object.keys(running);
    for (const id of this.#peerTargets.get(peer) ?? []) {
      if (!Object.hasOwn(running, id)) {
        this.#findLoad(id)?.setPeerCount(peer, 0, nowMs);
      }
    }
    for (const id of named) {
      this.#findLoad(id)?.setPeerCount(peer, running[id]!, nowMs);
    }
    this.#peerTargets.set(peer, named);
    for (const [service, places] of this.#places) {
      const waits = Object.entries(counts.waiting[service] ?? {});
      places.setPeerQueueLengths(peer, new Map(waits), nowMs, counts.instances);
      places.dispatchQueued(nowMs);
    }
  }

  countOwnLoad(): LoadCounts {
    const running: Record<string, number> = {};
    const waiting: Record<string, LoadCounts["waiting"][string]> = {};
    for (const [service, places] of this.#places) {
      for (const load of places.listLoads()) {
        if (load.ownCount > 0) {
          running[load.target.id] = load.ownCount;
        }
      }
      if (places.waiting > 0) {
        waiting[service] = Object.fromEntries(places.countQueued());
      }
    }
    return { running, waiting, instances: 1 };
  }

  getUsualServiceMs(service: string): number | null {
    return this.#getPlaces(service).getAverageServiceMs();
  }

  /** How long a request that has just been placed will take to be answered. */
  estimateAnswerMs(service: string, targetId: string): number {
    const places = this.#getPlaces(service);
    const usualMs = places.getAverageServiceMs();
    return places.getLoad(targetId)
      ?.estimateResponseMs(this.#options.clock.readMs(), usualMs) ?? 0;
  }

  /** Work of one request at each target of a service, where measured. */
  listServiceMs(service: string): Readonly<Record<string, number>> {
    const measured: Record<string, number> = {};
    for (const load of this.#getPlaces(service).listLoads()) {
      if (load.unloadedServiceMs !== null) {
        measured[load.target.id] = Math.round(load.unloadedServiceMs);
      }
    }
    return measured;
  }

  /** A target belongs to one service. */
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
    const { table } = this.#options.catalogue;
    return table?.services.get(service)?.maxWaitingPerTarget ?? Infinity;
  }

  #getRetries(service: string): RetryBudget {
    let retries = this.#retries.get(service);
    if (retries === undefined) {
      retries = new RetryBudget(this.#resolveRetryLimits(service));
      this.#retries.set(service, retries);
    }
    return retries;
  }

  #resolveRetryLimits(service: string): RetryLimits {
    const { table } = this.#options.catalogue;
    const ratio = table?.services.get(service)?.retryRatio ??
      this.#retryLimits.ratio;
    return { ...this.#retryLimits, ratio };
  }
}
