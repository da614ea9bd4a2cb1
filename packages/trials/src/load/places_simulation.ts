/**
 * Several instances that share targets, without a network: the very modules
 * that choose places, fed with requests, answers and what peers tell, at the
 * delays that a network has. What callers get is counted.
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
  /** Relative to the usual; it may change in time. */
  readonly getSpeed: (nowMs: number) => number;
}

/** Requests of one kind. */
export interface RequestStream {
  readonly perSecond: (nowMs: number) => number;
  readonly priority: number;
  readonly latencyGoalMs: number;
  readonly deadlineMs: number;
  /** The only target that may run a request, where there is one. */
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
  /** How often an instance tells others what it has; 40 and 250 where left out. */
  readonly reportIntervals?: {
    readonly nearMs: number;
    readonly farMs: number;
  };
}

/** What the callers of one stream got. */
export interface StreamResult {
  readonly asked: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  /** Refused after more than a tenth of the deadline. */
  readonly refusedLate: number;
}

export interface LoadResult {
  readonly streams: readonly StreamResult[];
  /** Most requests that a target had at one time. */
  readonly maxAtTarget: number;
}

const PLACES = 2;
/** One way between an instance and a target. */
const TRAVEL_MS = 1;
/** As a dozen instances do. */
const DEFAULT_REPORT_INTERVALS = { nearMs: 40, farMs: 250 };
const TICK_MS = 20;

interface Counter {
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

/** A target's two places and its queue, in order of arrival. */
class TargetQueue {
  readonly #events: EventQueue;
  readonly #target: SimulatedTarget;
  readonly #waiting: QueuedWork[] = [];
  #running = 0;
  maxLength = 0;

  constructor(events: EventQueue, target: SimulatedTarget) {
    this.#events = events;
    this.#target = target;
  }

  get load(): { readonly running: number; readonly waiting: number } {
    return { running: this.#running, waiting: this.#waiting.length };
  }

  add(work: QueuedWork): void {
    this.#waiting.push(work);
    this.maxLength = Math.max(
      this.maxLength,
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
  readonly #counters: Counter[];
  #requests = 0;

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
        random: new TrafficRandom(scenario.seed * scenario.instances + index),
      });
      places.setTargets(targets);
      this.#places.push(places);
    }
    this.#counters = scenario.streams.map(() => ({
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
      durationMs: lengthMs,
      instances,
      reportIntervals: telling = DEFAULT_REPORT_INTERVALS,
    } = this.#scenario;
    streams.forEach((_, index) => this.#scheduleArrival(index));
    for (let index = 0; index < instances; index++) {
      this.#scheduleTick(index);
      this.#scheduleLoadReport(index, telling.nearMs, true);
      this.#scheduleLoadReport(index, telling.farMs, false);
    }
    this.#events.runUntil(lengthMs);
    return {
      streams: this.#counters,
      maxAtTarget: Math.max(
        ...[...this.#queues.values()].map((q) => q.maxLength),
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
    const gapMs = this.#random.drawExponential(1_000 / perSecond);
    this.#events.schedule(gapMs, () => {
      this.#sendRequest(stream);
      this.#scheduleArrival(stream);
    });
  }

  #scheduleTick(instance: number): void {
    this.#events.schedule(TICK_MS, () => {
      this.#places[instance]!.dispatchQueued(this.#events.nowMs);
      this.#scheduleTick(instance);
    });
  }

  /** What an instance has at each target reaches the others. */
  #scheduleLoadReport(instance: number, gapMs: number, near: boolean): void {
    this.#events.schedule(gapMs * (0.5 + this.#random.draw()), () => {
      const own = this.#places[instance]!;
      const counts = own.listLoads()
        .map((load) => [load.target.id, load.ownCount] as const);
      const waits = own.countQueued();
      this.#places.forEach((places, other) => {
        const isNear =
          this.#getDataCentre(other) === this.#getDataCentre(instance);
        if (other !== instance && isNear === near) {
          this.#events.schedule(TRAVEL_MS, () => {
            const { nowMs } = this.#events;
            for (const [id, count] of counts) {
              places.getLoad(id)?.setPeerCount(`${instance}`, count, nowMs);
            }
            places.setPeerQueueLengths(`${instance}`, waits, nowMs);
            places.dispatchQueued(nowMs);
          });
        }
      });
      this.#scheduleLoadReport(instance, gapMs, near);
    });
  }

  #sendRequest(stream: number): void {
    const { streams, instances, workMs } = this.#scenario;
    const { priority: rank, latencyGoalMs: goalMs, chooseOwner, share } =
      streams[stream]!;
    const { nowMs } = this.#events;
    const instance = this.#random.drawIndex(instances);
    const requestId = `${this.#requests++}`;
    const owner = chooseOwner?.(this.#random);
    this.#counters[stream]!.asked++;
    const places = this.#places[instance]!;
    places.submit(
      {
        requestId,
        priority: rank,
        arrivedAtMs: nowMs,
        latestStartMs: nowMs + goalMs -
          (places.getAverageServiceMs() ?? workMs),
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
    const counter = this.#counters[stream]!;
    const { latencyGoalMs: goalMs, deadlineMs } = this.#scenario
      .streams[stream]!;
    if (decision.kind === "refused") {
      counter.refused++;
      const heldMs = this.#events.nowMs - arrivedAtMs;
      counter.refusedLate += heldMs > deadlineMs / 10 ? 1 : 0;
      return;
    }
    const sentAtMs = this.#events.nowMs;
    const { target, occupancy } = decision;
    const queue = this.#queues.get(target.id)!;
    const places = this.#places[instance]!;
    const finish = () =>
      this.#events.schedule(TRAVEL_MS, () => {
        const { nowMs } = this.#events;
        const load = places.getLoad(target.id)!;
        load.recordEnded(requestId);
        load.recordResponse(nowMs - sentAtMs, occupancy);
        load.recordReport(queue.load, nowMs);
        const tookMs = nowMs - arrivedAtMs;
        counter.inTime += tookMs <= goalMs ? 1 : 0;
        counter.late += tookMs > goalMs ? 1 : 0;
        places.dispatchQueued(nowMs);
      });
    const workMs = this.#random.drawServiceTime(this.#scenario.workMs);
    this.#events.schedule(TRAVEL_MS, () => queue.add({ workMs, finish }));
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
