/**
 * A target in virtual time. Up to its places it runs requests at full speed;
 * given more, it shares its places among them evenly, which is kinder than
 * most real servers. Its faults are part of the load pattern.
 */
import { type EventQueue, PriorityQueue } from "./event_queue.ts";

/** What is wrong with a target for some time. */
export type TargetFault =
  & { readonly fromMs: number; readonly untilMs: number }
  & (
    | { readonly kind: "slow"; readonly factor: number }
    | { readonly kind: "stopped" }
    /** It refuses what exceeds this many requests, whatever it declares. */
    | { readonly kind: "sustains"; readonly places: number }
    /** Its answer is lost on the way, with this chance. */
    | { readonly kind: "loses-answers"; readonly share: number }
    /** It works on a request, then resets the connection, with this chance. */
    | { readonly kind: "resets"; readonly share: number }
  );

export type WorkEnd = "completed" | "failed" | "shed-by-target" | "cancelled";

export interface Work {
  readonly id: string;
  readonly serviceMs: number;
  /** A number in [0, 1) that decides whether a resetting target resets it. */
  readonly luck: number;
  readonly onEnd: (end: WorkEnd) => void;
}

interface RunningWork {
  readonly work: Work;
  readonly doneAtProgress: number;
}

/** Time that a refusal takes. */
const SHED_MS = 0.5;
/** How much slower the very first request of a cold target is. */
const COLD_FACTOR = 4;
/** Requests after which a cold target is warm for the most part. */
const WARM_REQUESTS = 100;

export class SimulatedTarget {
  readonly id: string;
  readonly #events: EventQueue;
  readonly #places: number;
  readonly #faults: readonly TargetFault[];
  readonly #byEnd = new PriorityQueue<RunningWork>((left, right) =>
    left.doneAtProgress < right.doneAtProgress
  );
  readonly #running = new Map<string, RunningWork>();
  /** Service that each running request has received since the start. */
  #progress = 0;
  #updatedAtMs = 0;
  #generation = 0;
  #served: number;
  /** Works whose answers were lost; only a cancel ends them. */
  readonly #silent = new Map<string, Work>();
  /** Place time used, for the imbalance across owners. */
  busyMs = 0;

  constructor(options: {
    readonly id: string;
    readonly events: EventQueue;
    readonly places: number;
    readonly faults: readonly TargetFault[];
    readonly cold: boolean;
  }) {
    this.id = options.id;
    this.#events = options.events;
    this.#places = options.places;
    this.#faults = options.faults;
    this.#served = options.cold ? 0 : Infinity;
    for (const fault of options.faults) {
      this.#scheduleUpdate(fault.fromMs);
      this.#scheduleUpdate(fault.untilMs);
    }
  }

  get running(): number {
    return this.#running.size;
  }

  start(work: Work): void {
    this.#advance();
    const sustained = this.#findFault("sustains")?.places ?? Infinity;
    if (this.#running.size >= sustained) {
      const endMs = this.#events.nowMs + SHED_MS;
      this.#events.schedule(endMs, () => work.onEnd("shed-by-target"));
      return;
    }
    const neededMs = work.serviceMs * this.#computeColdFactor();
    const entry = { work, doneAtProgress: this.#progress + neededMs };
    this.#running.set(work.id, entry);
    this.#byEnd.add(entry);
    this.#scheduleNextEnd();
  }

  cancel(id: string): void {
    const entry = this.#running.get(id);
    if (entry === undefined) {
      const silent = this.#silent.get(id);
      this.#silent.delete(id);
      silent?.onEnd("cancelled");
      return;
    }
    this.#advance();
    this.#running.delete(id);
    this.#scheduleNextEnd();
    entry.work.onEnd("cancelled");
  }

  #scheduleUpdate(atMs: number): void {
    this.#events.schedule(atMs, () => {
      this.#advance();
      this.#scheduleNextEnd();
    });
  }

  /** Brings progress up to now; faults change only at scheduled updates. */
  #advance(): void {
    const nowMs = this.#events.nowMs;
    const elapsedMs = nowMs - this.#updatedAtMs;
    this.#progress += elapsedMs * this.#computeRate(this.#updatedAtMs);
    this.busyMs += elapsedMs * Math.min(this.#places, this.#running.size);
    this.#updatedAtMs = nowMs;
  }

  #computeRate(atMs: number): number {
    if (this.#findFault("stopped", atMs) !== undefined) {
      return 0;
    }
    const shared = Math.min(1, this.#places / Math.max(1, this.#running.size));
    return shared / (this.#findFault("slow", atMs)?.factor ?? 1);
  }

  #computeColdFactor(): number {
    this.#served++;
    const coldness = Math.exp(-this.#served / WARM_REQUESTS);
    return 1 + (COLD_FACTOR - 1) * coldness;
  }

  #scheduleNextEnd(): void {
    const generation = ++this.#generation;
    while (
      this.#byEnd.first !== undefined && !this.#isRunning(this.#byEnd.first)
    ) {
      this.#byEnd.take();
    }
    const next = this.#byEnd.first;
    const rate = this.#computeRate(this.#events.nowMs);
    if (next === undefined || rate === 0) {
      return;
    }
    const leftMs = Math.max(0, next.doneAtProgress - this.#progress) / rate;
    this.#events.schedule(this.#events.nowMs + leftMs, () => {
      if (generation === this.#generation) {
        this.#settleFirst(next);
      }
    });
  }

  #settleFirst(entry: RunningWork): void {
    this.#advance();
    this.#running.delete(entry.work.id);
    this.#scheduleNextEnd();
    const losses = this.#findFault("loses-answers")?.share ?? 0;
    if (entry.work.luck < losses) {
      this.#silent.set(entry.work.id, entry.work);
      return;
    }
    const resets = this.#findFault("resets")?.share ?? 0;
    entry.work.onEnd(entry.work.luck < resets ? "failed" : "completed");
  }

  #isRunning(entry: RunningWork): boolean {
    return this.#running.get(entry.work.id) === entry;
  }

  #findFault<K extends TargetFault["kind"]>(
    kind: K,
    atMs: number = this.#events.nowMs,
  ): Extract<TargetFault, { readonly kind: K }> | undefined {
    return this.#faults.find((fault) =>
      fault.kind === kind && fault.fromMs <= atMs && atMs < fault.untilMs
    ) as Extract<TargetFault, { readonly kind: K }> | undefined;
  }
}
