/**
 * Simulates the retry budgets of many instances together, in virtual time, with
 * what separates their counts from those at callers and targets: pauses of
 * processes, silent paths, restarts, and load that moves. For tests.
 */
import {
  findFullestRetryWindow,
  type RetryWindow,
} from "@lentilspur/ports/retry_windows";
import { SeededRandom } from "@lentilspur/ports/seeded_random";
import { RequestGaps } from "./request_gaps.ts";
import {
  RetryBudget,
  type RetryLimits,
  type RetryTicket,
} from "./retry_budget.ts";

/** A time in which something is wrong at some instances. */
export interface Disturbance {
  readonly kind:
    | "paused"
    | "silent-callers"
    | "silent-paths"
    | "without-load"
    | "restarted";
  readonly fromMs: number;
  readonly toMs: number;
  /** The instances with an index from `first` up to, not including, `end`. */
  readonly first: number;
  readonly end: number;
}

export interface FleetOptions {
  readonly instances: number;
  readonly limits: RetryLimits;
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  readonly disturbances: readonly Disturbance[];
  readonly seed: number;
}

interface SentRetry {
  readonly ticket: RetryTicket;
  readonly endsAtMs: number;
}

interface SimulatedInstance {
  budget: RetryBudget;
  readonly unreadRequests: number[];
  readonly ticksMs: number[];
  gaps: RequestGaps;
  sentRetries: SentRetry[];
}

const STEP_MS = 25;
const MAX_RETRIES = 3;
const REFUSED_SHARE = 0.6;
const DEADLINE_MS = 4_000;
const PATH_MS = 2;
const RESPONSE_MS = 60;
/** A sent retry that was given up is counted for this much longer. */
const IN_FLIGHT_MS = 500;
const TICKS = 3;

export class RetryBudgetFleet {
  readonly #options: FleetOptions;
  readonly #random: SeededRandom;
  readonly #instances: readonly SimulatedInstance[];
  readonly #sentMs: number[] = [];
  readonly #retriedMs: number[] = [];

  constructor(options: FleetOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    this.#instances = Array.from({ length: options.instances }, () => ({
      budget: this.#createBudget(-Infinity),
      unreadRequests: [],
      ticksMs: [],
      gaps: new RequestGaps(),
      sentRetries: [],
    }));
  }

  /** Returns the window with most retries for what it allows. */
  run(): RetryWindow {
    const { durationMs, limits } = this.#options;
    for (let nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
      this.#sendRequests(nowMs);
      for (const [index, instance] of this.#instances.entries()) {
        this.#advance(instance, index, nowMs);
      }
    }
    const times = { sentMs: this.#sentMs, retriedMs: this.#retriedMs };
    return findFullestRetryWindow(times, limits);
  }

  #createBudget(startedAtMs: number): RetryBudget {
    const random = this.#random;
    return new RetryBudget(this.#options.limits, { startedAtMs, random });
  }

  /** Callers share their requests among the instances that have load. */
  #sendRequests(nowMs: number): void {
    const { requestsPerSecond } = this.#options;
    const loaded = this.#instances.filter((_, index) =>
      this.#findDisturbance("without-load", index, nowMs) === undefined
    );
    let dueRequests = requestsPerSecond * STEP_MS / 1_000 +
      this.#random.draw() - 0.5;
    for (; dueRequests >= 0.5; dueRequests--) {
      const sentMs = nowMs - STEP_MS * this.#random.draw();
      const index = Math.floor(this.#random.draw() * loaded.length);
      this.#sentMs.push(sentMs);
      loaded[index]!.unreadRequests.push(sentMs);
    }
  }

  #advance(instance: SimulatedInstance, index: number, nowMs: number): void {
    const restart = this.#findDisturbance("restarted", index, nowMs);
    if (restart !== undefined) {
      instance.unreadRequests.length = 0;
      instance.sentRetries = [];
      instance.ticksMs.length = 0;
      instance.gaps = new RequestGaps();
      instance.budget = this.#createBudget(restart.toMs);
      return;
    }
    if (this.#findDisturbance("paused", index, nowMs) !== undefined) {
      return;
    }
    this.#settleEnded(instance, nowMs);
    if (this.#findDisturbance("silent-callers", index, nowMs) === undefined) {
      this.#readRequests(instance, index, nowMs);
    }
    instance.ticksMs.push(nowMs);
    if (instance.ticksMs.length > TICKS) {
      instance.ticksMs.shift();
    }
  }

  #readRequests(
    instance: SimulatedInstance,
    index: number,
    nowMs: number,
  ): void {
    const { budget, gaps, ticksMs, unreadRequests } = instance;
    for (const _request of unreadRequests.splice(0)) {
      const earliestMs = Math.min(
        gaps.recordRequest(nowMs),
        ticksMs[0] ?? nowMs,
      );
      budget.recordRequest(nowMs, earliestMs);
      this.#sendAgain(instance, index, nowMs);
    }
  }

  #settleEnded({ budget, sentRetries }: SimulatedInstance, nowMs: number) {
    const ended = sentRetries.filter(({ endsAtMs }) => endsAtMs <= nowMs);
    for (const sent of ended) {
      budget.settleRetry(sent.ticket, nowMs, nowMs);
      sentRetries.splice(sentRetries.indexOf(sent), 1);
    }
  }

  /** Targets refuse some requests; each refused one asks for another send. */
  #sendAgain(instance: SimulatedInstance, index: number, nowMs: number): void {
    const { instances } = this.#options;
    const membership = { instances, sinceMs: -Infinity };
    for (let count = 0; count < MAX_RETRIES; count++) {
      if (this.#random.draw() >= REFUSED_SHARE) {
        return;
      }
      const latestArrivalMs = nowMs + DEADLINE_MS;
      const claim = instance.budget
        .claimRetry({ membership, latestArrivalMs }, nowMs);
      if (claim.kind === "refused") {
        return;
      }
      this.#sendRetry(instance, claim.ticket, { index, nowMs });
    }
  }

  #sendRetry(
    { sentRetries }: SimulatedInstance,
    ticket: RetryTicket,
    { index, nowMs }: { readonly index: number; readonly nowMs: number },
  ): void {
    const silence = this.#findDisturbance("silent-paths", index, nowMs);
    const arrivesAtMs = (silence?.toMs ?? nowMs) + PATH_MS;
    if (arrivesAtMs > nowMs + DEADLINE_MS) {
      const endsAtMs = nowMs + DEADLINE_MS + IN_FLIGHT_MS;
      sentRetries.push({ ticket, endsAtMs });
      return;
    }
    this.#retriedMs.push(arrivesAtMs);
    sentRetries.push({ ticket, endsAtMs: arrivesAtMs + RESPONSE_MS });
  }

  #findDisturbance(
    kind: Disturbance["kind"],
    index: number,
    nowMs: number,
  ): Disturbance | undefined {
    return this.#options.disturbances.find((one) =>
      one.kind === kind && one.fromMs <= nowMs && nowMs < one.toMs &&
      one.first <= index && index < one.end
    );
  }
}
