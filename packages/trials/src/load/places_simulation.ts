/**
 * Simulates several instances that share targets, without a network. The real
 * modules that choose places receive requests, responses and the load reports
 * of peers with the delays of a network. The simulation counts the results.
 */
import type { KnownTarget } from "@lentilspur/ports/routing_table";
import type { AccountShare } from "@lentilspur/routing/fair_scheduler";
import {
  type PlaceDecision,
  ServicePlaces,
} from "@lentilspur/routing/service_places";
import { TrafficRandom } from "../traffic/traffic_random.ts";
import { EventQueue } from "./event_queue.ts";

export interface SimulatedTarget {
  readonly id: string;
  readonly dataCentre: string;
  /** Speed relative to 1, the normal speed; may change over time. */
  readonly getSpeed: (nowMs: number) => number;
}

/** A stream of requests of one kind. */
export interface RequestStream {
  readonly perSecond: (nowMs: number) => number;
  readonly priority: number;
  readonly latencyGoalMs: number;
  /**
   * A request refused after more than a tenth of this time counts as refused
   * late. The simulation does not enforce the deadline.
   */
  readonly deadlineMs: number;
  /**
   * Returns the only target that may run a request; absent if any target may.
   */
  readonly chooseOwner?: (random: TrafficRandom) => string;
  readonly share?: AccountShare;
}

export interface LoadScenario {
  readonly seed: number;
  readonly instances: number;
  readonly dataCentres: readonly string[];
  readonly targets: readonly SimulatedTarget[];
  readonly workMs: number;
  readonly streams: readonly RequestStream[];
  readonly durationMs: number;
  /**
   * Mean intervals at which an instance reports its load to peers in its own
   * and in other data centres; 40 and 250 ms by default.
   */
  readonly reportIntervals?: {
    readonly localMs: number;
    readonly remoteMs: number;
  };
}

/** Results of the requests of one stream. */
export interface StreamResult {
  readonly asked: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  /** Requests that were refused after more than a tenth of the deadline. */
  readonly refusedLate: number;
}

export interface LoadResult {
  readonly streams: readonly StreamResult[];
  /**
   * Largest number of requests at one target at one time, running and queued.
   */
  readonly maxAtTarget: number;
}

const PLACES = 2;
/** One-way network delay between an instance and a target. */
const NETWORK_DELAY_MS = 1;
/** The report intervals in a deployment of a dozen instances. */
const DEFAULT_REPORT_INTERVALS = { localMs: 40, remoteMs: 250 };
const DISPATCH_INTERVAL_MS = 20;

interface StreamCounts {
  asked: number;
  inTime: number;
  late: number;
  refused: number;
  refusedLate: number;
}

interface QueuedWork {
  readonly workMs: number;
  readonly finish: () => void;
}

/** A target with two places and a queue in order of arrival. */
class TargetQueue {
  readonly #events: EventQueue;
  readonly #target: SimulatedTarget;
  readonly #waiting: QueuedWork[] = [];
  #running = 0;
  /** Largest number of requests so far, running and queued. */
  maxCount = 0;

  constructor(events: EventQueue, target: SimulatedTarget) {
    this.#events = events;
    this.#target = target;
  }

  get load(): { readonly running: number; readonly waiting: number } {
    return { running: this.#running, waiting: this.#waiting.length };
  }

  add(work: QueuedWork): void {
    this.#waiting.push(work);
    this.maxCount = Math.max(
      this.maxCount,
      this.#running + this.#waiting.length,
    );
    this.#advance();
  }

  #advance(): void {
    while (this.#running < PLACES && this.#waiting.length > 0) {
      const { workMs, finish } = this.#waiting.shift()!;
      this.#running++;
      const speed = this.#target.getSpeed(this.#events.nowMs);
      this.#events.schedule(workMs / speed, () => {
        this.#running--;
        finish();
        this.#advance();
      });
    }
  }
}

export class PlacesSimulation {
  readonly #scenario: LoadScenario;
  readonly #events = new EventQueue();
  readonly #random: TrafficRandom;
  readonly #queues = new Map<string, TargetQueue>();
  readonly #places: ServicePlaces[] = [];
  readonly #streamCounts: StreamCounts[];
  #requestCount = 0;

  constructor(scenario: LoadScenario) {
    this.#scenario = scenario;
    this.#random = new TrafficRandom(scenario.seed);
    for (const target of scenario.targets) {
      this.#queues.set(target.id, new TargetQueue(this.#events, target));
    }
    const targets = scenario.targets.map(toKnownTarget);
    for (let index = 0; index < scenario.instances; index++) {
      const places = new ServicePlaces({
        dataCentre: this.#getDataCentre(index),
        countInstances: () => scenario.instances,
        estimatePermitWaitMs: () => 0,
        isPathLost: () => false,
        hasIdleConnection: () => false,
        random: new TrafficRandom(scenario.seed * scenario.instances + index),
      });
      places.setTargets(targets);
      this.#places.push(places);
    }
    this.#streamCounts = scenario.streams.map(() => ({
      asked: 0,
      inTime: 0,
      late: 0,
      refused: 0,
      refusedLate: 0,
    }));
  }

  run(): LoadResult {
    const {
      streams,
      durationMs,
      instances,
      reportIntervals = DEFAULT_REPORT_INTERVALS,
    } = this.#scenario;
    streams.forEach((_, index) => this.#scheduleArrival(index));
    for (let index = 0; index < instances; index++) {
      this.#scheduleDispatch(index);
      this.#scheduleLoadReport(index, reportIntervals.localMs, true);
      this.#scheduleLoadReport(index, reportIntervals.remoteMs, false);
    }
    this.#events.runUntil(durationMs);
    return {
      streams: this.#streamCounts,
      maxAtTarget: Math.max(
        ...[...this.#queues.values()].map((q) => q.maxCount),
      ),
    };
  }

  #getDataCentre(instance: number): string {
    const { dataCentres } = this.#scenario;
    return dataCentres[instance % dataCentres.length]!;
  }

  #scheduleArrival(stream: number): void {
    const { nowMs } = this.#events;
    const perSecond = this.#scenario.streams[stream]!.perSecond(nowMs);
    const delayMs = this.#random.drawExponential(1_000 / perSecond);
    this.#events.schedule(delayMs, () => {
      this.#sendRequest(stream);
      this.#scheduleArrival(stream);
    });
  }

  #scheduleDispatch(instance: number): void {
    this.#events.schedule(DISPATCH_INTERVAL_MS, () => {
      this.#places[instance]!.dispatchQueued(this.#events.nowMs);
      this.#scheduleDispatch(instance);
    });
  }

  /**
   * Reports how many requests an instance has at each target and in its queues,
   * to the peers in its data centre or to those in others.
   */
  #scheduleLoadReport(
    instance: number,
    intervalMs: number,
    toLocalPeers: boolean,
  ): void {
    this.#events.schedule(intervalMs * (0.5 + this.#random.draw()), () => {
      const own = this.#places[instance]!;
      const counts = own.listLoads()
        .map((load) => [load.target.id, load.ownCount] as const);
      const queueLengths = own.countQueued();
      this.#places.forEach((places, peer) => {
        const isLocal =
          this.#getDataCentre(peer) === this.#getDataCentre(instance);
        if (peer !== instance && isLocal === toLocalPeers) {
          this.#events.schedule(NETWORK_DELAY_MS, () => {
            const { nowMs } = this.#events;
            for (const [id, count] of counts) {
              places.getLoad(id)?.setPeerCount(`${instance}`, count, nowMs);
            }
            places.setPeerQueueLengths(`${instance}`, queueLengths, nowMs);
            places.dispatchQueued(nowMs);
          });
        }
      });
      this.#scheduleLoadReport(instance, intervalMs, toLocalPeers);
    });
  }

  #sendRequest(stream: number): void {
    const { streams, instances, workMs } = this.#scenario;
    const { priority, latencyGoalMs, chooseOwner, share } = streams[stream]!;
    const { nowMs } = this.#events;
    const instance = this.#random.drawIndex(instances);
    const requestId = `${this.#requestCount++}`;
    const owner = chooseOwner?.(this.#random);
    this.#streamCounts[stream]!.asked++;
    const places = this.#places[instance]!;
    places.submit(
      {
        requestId,
        priority,
        arrivedAtMs: nowMs,
        latestStartMs: nowMs + latencyGoalMs -
          (places.getTypicalServiceMs() ?? workMs),
        excluded: new Set(),
        ...(owner === undefined ? {} : { owner }),
        ...(share === undefined ? {} : { share }),
      },
      nowMs,
      (decision) =>
        this.#handleDecision({ stream, instance, requestId, nowMs }, decision),
    );
  }

  #handleDecision(
    request: {
      readonly stream: number;
      readonly instance: number;
      readonly requestId: string;
      readonly nowMs: number;
    },
    decision: PlaceDecision,
  ): void {
    const { stream, instance, requestId, nowMs: arrivedAtMs } = request;
    const counts = this.#streamCounts[stream]!;
    const { latencyGoalMs, deadlineMs } = this.#scenario
      .streams[stream]!;
    if (decision.kind === "refused") {
      counts.refused++;
      const waitedMs = this.#events.nowMs - arrivedAtMs;
      counts.refusedLate += waitedMs > deadlineMs / 10 ? 1 : 0;
      return;
    }
    const sentAtMs = this.#events.nowMs;
    const { target, occupancy } = decision;
    const queue = this.#queues.get(target.id)!;
    const places = this.#places[instance]!;
    const finish = () =>
      this.#events.schedule(NETWORK_DELAY_MS, () => {
        const { nowMs } = this.#events;
        const load = places.getLoad(target.id)!;
        load.recordEnded(requestId);
        load.recordResponse(nowMs - sentAtMs, occupancy);
        load.recordReport(queue.load, nowMs);
        const tookMs = nowMs - arrivedAtMs;
        counts.inTime += tookMs <= latencyGoalMs ? 1 : 0;
        counts.late += tookMs > latencyGoalMs ? 1 : 0;
        places.dispatchQueued(nowMs);
      });
    const workMs = this.#random.drawServiceTime(this.#scenario.workMs);
    this.#events.schedule(
      NETWORK_DELAY_MS,
      () => queue.add({ workMs, finish }),
    );
  }
}

function toKnownTarget({ id, dataCentre }: SimulatedTarget): KnownTarget {
  return {
    id,
    service: "files",
    address: `${id}:80`,
    dataCentre,
    places: PLACES,
    leaving: false,
    coldMs: 0,
    coldUntilMs: -Infinity,
    sequence: 1,
  };
}
