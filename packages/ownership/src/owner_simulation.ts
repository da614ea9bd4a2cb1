/**
 * Simulates the targets of a keyed service, their callers and the plans of its
 * keeper in virtual time, and counts what the callers get.
 *
 * Every target serves its requests in order, as many at once as it has places;
 * at any moment a share of the targets is several times slower. A plan's moves
 * take effect `MOVE_MS` later, and requests for keys in transfer wait.
 */
import { LAST_KEY } from "@lentilspur/ports/key_orders";
import { KeyLoad } from "./key_load.ts";
import { planReassignments } from "./key_planner.ts";
import {
  applyReassignments,
  createKeyTable,
  findRange,
  type KeyTable,
  type Reassignment,
  settleRanges,
} from "./key_table.ts";
import type { OwnerCandidate } from "./owner_load.ts";
import { OwnerSpeeds } from "./owner_speeds.ts";

const STEP_MS = 10;
const PLAN_EVERY_MS = 400;
const REPORT_EVERY_MS = 200;
const MOVE_MS = 250;
/** A key that changes owners again in this time has moved for nothing. */
const SOON_MS = 4_000;
/** Requests that wait at a target beside those in its places. */
const TARGET_QUEUE = 16;
/** At any moment this share of the targets is slower by `NOISE_FACTOR`. */
const NOISE_SHARE = 0.2;
const NOISE_FACTOR = 3;
const NOISE_EVERY_MS = 400;
/** Instances, each of which measures the service times that it sees. */
const INSTANCES = 17;
const SERVICE_TIMES_PER_REPORT = 10;
/** Weight of a response in an instance's average service time. */
const SAMPLE_WEIGHT = 0.15;
/** A target that takes this much longer than without queueing is slow. */
const SLOW_FACTOR = 2.5;
/** The rate of the n-th busiest key is proportional to n^-0.35. */
const SKEW = 0.35;
const BUSIEST_KEY = 59_505;

export interface SimulatedTarget {
  readonly id: string;
  readonly places: number;
  /** Requests that one place serves, relative to other targets. */
  readonly speed: number;
}

/** Adjacent keys that receive a share of all requests for a while. */
export interface HotKeys {
  readonly fromMs: number;
  readonly untilMs: number;
  readonly share: number;
  readonly first: number;
  readonly count: number;
}

export interface OwnerLoadOptions {
  readonly seed: number;
  /** Targets that may own keys at a time. */
  readonly listTargets: (nowMs: number) => readonly SimulatedTarget[];
  readonly perSecond: number;
  readonly workMs: number;
  /** Latency within which a response is in time. */
  readonly goalMs: number;
  readonly durationMs: number;
  readonly hotKeys: readonly HotKeys[];
  /** Requests that arrive earlier are not counted. */
  readonly countFromMs: number;
}

export interface OwnerOutcome {
  readonly requested: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  /** Keys that changed owners, as a multiple of all keys. */
  readonly moved: number;
  /** Part of these that had changed owners within `SOON_MS`. */
  readonly movedAgain: number;
  readonly moves: number;
  /** Highest number of ranges of a table. */
  readonly ranges: number;
  readonly medianMs: number;
  /** Utilization of the busiest target, relative to the mean. */
  readonly imbalance: number;
}

interface Request {
  readonly key: number;
  readonly arrivedAtMs: number;
}

interface TargetState {
  readonly target: SimulatedTarget;
  readonly queue: Request[];
  readonly endsAtMs: number[];
  usedMs: number;
  /** What each instance measured, by its number. */
  readonly measured: Map<number, MeasuredSpeed>;
  /** Requests at the target as the instances last learned. */
  knownCount: number;
}

/** Averages over all responses, and over those without known queueing. */
interface MeasuredSpeed {
  readonly serviceMs: number;
  readonly uncontendedMs: number | undefined;
}

interface PendingTable {
  readonly table: KeyTable;
  readonly changes: readonly Reassignment[];
  readonly atMs: number;
}

/** Simulates the whole duration. */
export function measureOwnerLoad(options: OwnerLoadOptions): OwnerOutcome {
  const simulation = new OwnerSimulation(options);
  for (let nowMs = 0; nowMs < options.durationMs; nowMs += STEP_MS) {
    simulation.advance(nowMs);
  }
  return simulation.describeOutcome();
}

class OwnerSimulation {
  readonly #options: OwnerLoadOptions;
  readonly #draw: () => number;
  readonly #load = new KeyLoad();
  readonly #speeds = new OwnerSpeeds();
  readonly #movedAtMs = new Float64Array(LAST_KEY + 1).fill(-Infinity);
  readonly #states = new Map<string, TargetState>();
  readonly #latencies: number[] = [];
  #table: KeyTable;
  #pending: PendingTable | undefined;
  #held: Request[] = [];
  #unreported: number[] = [];
  #due = 0;
  #requested = 0;
  #refused = 0;
  #movedKeys = 0;
  #movedAgainKeys = 0;
  #nextReported = 0;
  #moves = 0;
  #ranges = 0;

  constructor(options: OwnerLoadOptions) {
    this.#options = options;
    this.#draw = createDraw(options.seed);
    this.#table = createKeyTable(this.#listCandidates(0), 1);
  }

  advance(nowMs: number): void {
    for (const state of this.#states.values()) {
      this.#runTarget(state, nowMs);
    }
    this.#applyPending(nowMs);
    this.#addArrivals(nowMs);
    if (nowMs % REPORT_EVERY_MS === 0) {
      this.#load.observe(this.#unreported, nowMs);
      this.#unreported = [];
      this.#reportServiceTimes(nowMs);
    }
    if (nowMs % PLAN_EVERY_MS === 0 && this.#pending === undefined) {
      this.#plan(nowMs);
    }
  }

  describeOutcome(): OwnerOutcome {
    const { goalMs } = this.#options;
    const inTime = this.#latencies.filter((ms) => ms <= goalMs).length;
    const used = [...this.#states.values()]
      .map(({ target, usedMs }) => usedMs / target.places);
    const mean = used.reduce((sum, ms) => sum + ms, 0) / used.length;
    const sorted = this.#latencies.toSorted((left, right) => left - right);
    return {
      requested: this.#requested,
      inTime: inTime / this.#requested,
      late: (this.#latencies.length - inTime) / this.#requested,
      refused: this.#refused / this.#requested,
      moved: this.#movedKeys / (LAST_KEY + 1),
      movedAgain: this.#movedAgainKeys / (LAST_KEY + 1),
      moves: this.#moves,
      ranges: this.#ranges,
      medianMs: sorted[Math.floor(sorted.length / 2)] ?? NaN,
      imbalance: Math.max(...used) / mean,
    };
  }

  #plan(nowMs: number): void {
    const changes = planReassignments(
      this.#table,
      this.#listCandidates(nowMs),
      this.#load.listRates(nowMs),
    );
    if (changes.length === 0) {
      return;
    }
    const table = applyReassignments(this.#table, changes, nowMs + 2);
    this.#pending = { table, changes, atMs: nowMs + MOVE_MS };
    this.#ranges = Math.max(this.#ranges, table.ranges.length);
    if (nowMs >= this.#options.countFromMs) {
      this.#moves += changes.length;
      changes.forEach((change) => this.#recordMove(change, nowMs));
    }
  }

  #recordMove({ from, to }: Reassignment, nowMs: number): void {
    this.#movedKeys += to - from + 1;
    for (let key = from; key <= to; key++) {
      const isAgain = nowMs - this.#movedAtMs[key]! < SOON_MS;
      this.#movedAgainKeys += isAgain ? 1 : 0;
      this.#movedAtMs[key] = nowMs;
    }
  }

  #applyPending(nowMs: number): void {
    if (this.#pending === undefined || nowMs < this.#pending.atMs) {
      return;
    }
    this.#table = settleRanges(this.#pending.table, () => true);
    this.#pending = undefined;
    const held = this.#held;
    this.#held = [];
    held.forEach((request) => this.#submit(request));
  }

  #addArrivals(nowMs: number): void {
    this.#due += this.#options.perSecond * STEP_MS / 1_000;
    while (this.#due >= 1) {
      this.#due--;
      const key = this.#drawKey(nowMs);
      this.#unreported.push(key);
      this.#requested += nowMs >= this.#options.countFromMs ? 1 : 0;
      this.#submit({ key, arrivedAtMs: nowMs });
    }
  }

  #drawKey(nowMs: number): number {
    const value = this.#draw();
    let sum = 0;
    for (const hot of this.#options.hotKeys) {
      if (nowMs < hot.fromMs || nowMs >= hot.untilMs) {
        continue;
      }
      sum += hot.share;
      if (value < sum) {
        return hot.first + Math.floor(this.#draw() * hot.count);
      }
    }
    const rank = 60_000 * Math.pow(this.#draw(), 1 / (1 - SKEW));
    return (BUSIEST_KEY + Math.floor(rank)) % (LAST_KEY + 1);
  }

  #submit(request: Request): void {
    const isMoving = this.#pending?.changes
      .some(({ from, to }) => request.key >= from && request.key <= to);
    if (isMoving === true) {
      this.#held.push(request);
      return;
    }
    const { id } = findRange(this.#table, request.key)!.owner;
    const state = this.#states.get(id)!;
    const { places, speed } = state.target;
    const waitMs = state.queue.length * this.#options.workMs / speed / places;
    if (state.queue.length >= TARGET_QUEUE || waitMs > this.#options.goalMs) {
      this.#refused += request.arrivedAtMs >= this.#options.countFromMs ? 1 : 0;
    } else {
      state.queue.push(request);
    }
  }

  #runTarget(state: TargetState, nowMs: number): void {
    const { target, queue, endsAtMs } = state;
    for (let index = endsAtMs.length - 1; index >= 0; index--) {
      if (endsAtMs[index]! <= nowMs) {
        endsAtMs.splice(index, 1);
      }
    }
    while (queue.length > 0 && endsAtMs.length < target.places) {
      const request = queue.shift()!;
      const workMs = this.#drawWorkMs(target, nowMs);
      this.#recordServiceTime(state, nowMs + workMs - request.arrivedAtMs);
      endsAtMs.push(nowMs + workMs);
      if (request.arrivedAtMs >= this.#options.countFromMs) {
        state.usedMs += workMs;
        this.#latencies.push(nowMs + workMs - request.arrivedAtMs);
      }
    }
  }

  /** Instances know of queueing only as of the last reports. */
  #recordServiceTime(state: TargetState, elapsedMs: number): void {
    const { target, measured, knownCount } = state;
    const instance = Math.floor(this.#draw() * INSTANCES);
    const sample = elapsedMs / Math.max(1, (knownCount + 1) / target.places);
    const previous = measured.get(instance);
    const isUncontended = knownCount < target.places;
    measured.set(instance, {
      serviceMs: updateAverage(previous?.serviceMs, sample),
      uncontendedMs: isUncontended
        ? updateAverage(previous?.uncontendedMs, sample)
        : previous?.uncontendedMs,
    });
  }

  /** Each instance reports some of its targets, in rotation. */
  #reportServiceTimes(nowMs: number): void {
    const states = [...this.#states.values()];
    for (const state of states) {
      state.knownCount = state.queue.length + state.endsAtMs.length;
    }
    for (let index = 0; index < SERVICE_TIMES_PER_REPORT; index++) {
      const state = states[(this.#nextReported + index) % states.length]!;
      for (const [instance, speed] of state.measured) {
        const { id } = state.target;
        const serviceMs = estimateServiceMs(speed);
        this.#speeds.record(id, String(instance), serviceMs, nowMs);
      }
    }
    this.#nextReported += SERVICE_TIMES_PER_REPORT;
  }

  #drawWorkMs({ id, speed }: SimulatedTarget, nowMs: number): number {
    const spread = Math.exp(0.3 * drawNormal(this.#draw));
    const isNoisy =
      computeShare(id, Math.floor(nowMs / NOISE_EVERY_MS)) < NOISE_SHARE;
    const factor = isNoisy ? NOISE_FACTOR : 1;
    return this.#options.workMs / speed * spread * factor;
  }

  #listCandidates(nowMs: number): readonly OwnerCandidate[] {
    const targets = this.#options.listTargets(nowMs);
    for (const target of targets) {
      if (!this.#states.has(target.id)) {
        this.#states.set(
          target.id,
          {
            target,
            queue: [],
            endsAtMs: [],
            usedMs: 0,
            measured: new Map(),
            knownCount: 0,
          },
        );
      }
    }
    return targets.map(({ id, places }) => {
      const serviceMs = this.#speeds
        .estimateServiceMs(id, this.#options.workMs, nowMs);
      return { id, address: `${id}:80`, places, serviceMs };
    });
  }
}

function estimateServiceMs(
  { serviceMs, uncontendedMs }: MeasuredSpeed,
): number {
  return uncontendedMs === undefined ||
      serviceMs > SLOW_FACTOR * uncontendedMs
    ? serviceMs
    : uncontendedMs;
}

function updateAverage(previous: number | undefined, sample: number): number {
  return previous === undefined
    ? sample
    : previous + SAMPLE_WEIGHT * (sample - previous);
}

/** A fixed pseudo-random sequence. */
function createDraw(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    return computeFraction(state);
  };
}

/** A share from 0 to 1 that depends on the name and the number alone. */
function computeShare(name: string, number: number): number {
  let hash = number | 0;
  for (const character of name) {
    hash = Math.imul(hash ^ character.codePointAt(0)!, 0x01000193);
  }
  return computeFraction(hash);
}

/** Mulberry32's output function. */
function computeFraction(state: number): number {
  let bits = Math.imul(state ^ (state >>> 15), 1 | state);
  bits = (bits + Math.imul(bits ^ (bits >>> 7), 61 | bits)) ^ bits;
  return ((bits ^ (bits >>> 14)) >>> 0) / 4_294_967_296;
}

function drawNormal(draw: () => number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - draw()));
  return radius * Math.cos(2 * Math.PI * draw());
}
