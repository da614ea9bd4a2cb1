/**
 * One target in memory: a process with a few places that drains, starts cold,
 * sheds, honours deadlines and cancellations, misreports its load, freezes and
 * comes back, and keeps a history of what it ran. It checks grants or not.
 */
import type { Position } from "@lentilspur/outcomes/position";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { Clock } from "./clock.ts";
import { FakeGrants } from "./fake_grants.ts";
import type {
  GrantReply,
  GrantRequest,
  TargetFailure,
  TargetReport,
} from "./target.ts";
import type { RunEnding, TargetRun } from "./target_history.ts";

export interface FakeTargetOptions {
  readonly id: string;
  readonly clock: Clock;
  readonly checksGrants: boolean;
  readonly places?: number;
  /** Requests that may wait in the target before it sheds. */
  readonly maxWaiting?: number;
  /** How long a request runs, once warm. */
  readonly getRunMs?: (request: TargetRequest) => number;
  /** After a start, how long requests take `coldFactor` times as long. */
  readonly coldMs?: number;
  readonly coldFactor?: number;
  /** How late its report shows its running requests. */
  readonly reportLagMs?: number;
}

/** A request as it reaches the target. */
export interface TargetRequest {
  readonly requestId: string;
  readonly clientAccount: string;
  readonly key: string;
  readonly unit: string;
  readonly stewardToken: Position;
  readonly unitToken: Position;
  /** From its arrival. */
  readonly deadlineMs: number;
}

export type TargetReply =
  | { readonly kind: "ran"; readonly ending: RunEnding }
  | {
    readonly kind: "not-run";
    readonly cause: "fenced" | "shed" | "draining" | "refused";
    readonly message: string;
  }
  /** The process ended: the connection is reset. */
  | { readonly kind: "lost" };

const DEFAULT_PLACES = 2;
const DEFAULT_MAX_WAITING = 16;
const DEFAULT_RUN_MS = 5;
const DEFAULT_COLD_FACTOR = 5;

/** One life of the process. */
interface Boot {
  readonly id: string;
  readonly startedAt: number;
  readonly grants: FakeGrants;
  readonly ended: AbortController;
  readonly running: Set<Run>;
  readonly waiting: Waiter[];
  /** Places claimed by requests that are about to start or run. */
  claimed: number;
}

interface Run {
  readonly request: TargetRequest;
  /** Where it stands in the history. */
  readonly index: number;
  readonly stop: AbortController;
  /** How often the grants had lapsed when it started. */
  readonly lapses: number;
}

interface Waiter {
  readonly request: TargetRequest;
  readonly wake: AbortController;
  isCancelled: boolean;
}

export class FakeTarget {
  readonly #options: FakeTargetOptions;
  readonly #clock: Clock;
  readonly #history: TargetRun[] = [];
  #boots = 0;
  #boot: Boot;
  #thaw: AbortController | undefined;
  #isListening = true;
  #isDraining = false;
  #isShedding = false;
  #statedReport: Partial<TargetReport> = {};
  #loads: { readonly atMs: number; readonly running: number }[] = [];

  constructor(options: FakeTargetOptions) {
    this.#options = options;
    this.#clock = options.clock;
    this.#boot = this.#createBoot();
  }

  get id(): string {
    return this.#options.id;
  }

  get isListening(): boolean {
    return this.#isListening;
  }

  get isFrozen(): boolean {
    return this.#thaw !== undefined;
  }

  /** Stops everything; what arrives is kept and goes on after `resume`. */
  freeze(): void {
    this.#thaw ??= new AbortController();
  }

  resume(): void {
    this.#thaw?.abort();
    this.#thaw = undefined;
  }

  /** Ends the process: what runs or waits is lost, nothing listens. */
  stop(): void {
    this.#isListening = false;
    this.#boot.ended.abort();
    for (const run of this.#boot.running) {
      this.#recordEnd(run, "killed");
    }
    this.#boot.running.clear();
    this.resume();
  }

  /** Starts the process anew, without grants and cold. */
  start(): void {
    this.stop();
    this.#isListening = true;
    this.#isDraining = false;
    this.#boot = this.#createBoot();
  }

  /** A draining target refuses new requests and finishes those it has. */
  setDraining(isDraining: boolean): void {
    this.#isDraining = isDraining;
  }

  setShedding(isShedding: boolean): void {
    this.#isShedding = isShedding;
  }

  /** Has the report say so, true or not; `{}` ends that. */
  setReport(stated: Partial<TargetReport>): void {
    this.#statedReport = stated;
  }

  listHistory(): readonly TargetRun[] {
    return this.#history;
  }

  async getReport(): Promise<TargetReport> {
    await this.#waitWhileFrozen();
    return {
      bootId: this.#boot.id,
      state: this.#describeState(),
      runningRequests: this.#computeShownLoad(),
      places: this.#places,
      ...this.#statedReport,
    };
  }

  async handleGrant(
    request: GrantRequest,
  ): Promise<Result<GrantReply, TargetFailure>> {
    await this.#waitWhileFrozen();
    const boot = this.#boot;
    if (!this.#options.checksGrants) {
      const message = "This target does not check grants";
      return Err({ kind: "unsupported", message });
    }
    const applied = boot.grants.apply(request, this.#clock.readMs());
    if (!applied.ok) {
      return Err({ kind: "fenced", highestToken: applied.val });
    }
    const busy = [...boot.running].map((run) => run.request.unit);
    const busyUnits = request.remove.filter((unit) => busy.includes(unit));
    return Ok({ bootId: boot.id, busyUnits });
  }

  /** Stops a request that runs or waits. */
  async cancel(requestId: string): Promise<void> {
    await this.#waitWhileFrozen();
    for (const run of this.#boot.running) {
      if (run.request.requestId === requestId) {
        run.stop.abort();
      }
    }
    for (const waiter of this.#boot.waiting) {
      if (waiter.request.requestId === requestId) {
        waiter.isCancelled = true;
        waiter.wake.abort();
      }
    }
  }

  /** Takes a request that has arrived. Resolves when it can be answered. */
  async handle(request: TargetRequest): Promise<TargetReply> {
    const boot = this.#boot;
    await this.#waitWhileFrozen();
    // A frozen process reads what the kernel kept for it when it goes on, and
    // counts the deadline from then.
    const arrivedAt = this.#clock.readMs();
    if (boot.ended.signal.aborted) {
      return { kind: "lost" };
    }
    const refusal = this.#checkAdmission(boot);
    if (refusal !== undefined) {
      return refusal;
    }
    const waited = await this.#waitForPlace(boot, request);
    if (waited !== "has-place") {
      return waited === "ended"
        ? { kind: "lost" }
        : makeRefusal("refused", "The request was cancelled before it ran");
    }
    const late = this.#checkStart(boot, request, arrivedAt);
    if (late !== undefined) {
      this.#releasePlace(boot);
      return late;
    }
    const ending = await this.#run(boot, request, arrivedAt);
    this.#releasePlace(boot);
    return ending === "killed" ? { kind: "lost" } : { kind: "ran", ending };
  }

  get #places(): number {
    return this.#options.places ?? DEFAULT_PLACES;
  }

  #checkAdmission(boot: Boot): TargetReply | undefined {
    if (this.#isDraining) {
      return makeRefusal("draining", "The target is leaving");
    }
    const maxWaiting = this.#options.maxWaiting ?? DEFAULT_MAX_WAITING;
    if (this.#isShedding || boot.waiting.length >= maxWaiting) {
      return makeRefusal("shed", "The target sheds load");
    }
    return undefined;
  }

  async #waitForPlace(
    boot: Boot,
    request: TargetRequest,
  ): Promise<"has-place" | "cancelled" | "ended"> {
    while (boot.claimed >= this.#places) {
      const wake = new AbortController();
      const waiter: Waiter = { request, wake, isCancelled: false };
      boot.waiting.push(waiter);
      await waitForAbort(AbortSignal.any([wake.signal, boot.ended.signal]));
      boot.waiting.splice(boot.waiting.indexOf(waiter), 1);
      await this.#waitWhileFrozen();
      if (boot.ended.signal.aborted) {
        return "ended";
      }
      if (waiter.isCancelled) {
        this.#sendWake(boot);
        return "cancelled";
      }
    }
    boot.claimed++;
    return "has-place";
  }

  #releasePlace(boot: Boot): void {
    boot.claimed--;
    this.#sendWake(boot);
  }

  #sendWake(boot: Boot): void {
    boot.waiting.find((waiter) => !waiter.wake.signal.aborted)?.wake.abort();
  }

  /** The checks right before a request starts; none of them waits. */
  #checkStart(
    boot: Boot,
    request: TargetRequest,
    arrivedAt: number,
  ): TargetReply | undefined {
    const now = this.#clock.readMs();
    if (now > arrivedAt + request.deadlineMs) {
      return makeRefusal("refused", "The deadline has passed");
    }
    if (this.#options.checksGrants && !boot.grants.isLive(request, now)) {
      return makeRefusal("fenced", `No live grant for unit "${request.unit}"`);
    }
    return undefined;
  }

  async #run(
    boot: Boot,
    request: TargetRequest,
    arrivedAt: number,
  ): Promise<RunEnding> {
    const now = this.#clock.readMs();
    const stop = new AbortController();
    const { lapses } = boot.grants;
    const run: Run = { request, index: this.#history.length, stop, lapses };
    this.#history.push(this.#makeRun(boot, request, now));
    boot.running.add(run);
    this.#recordLoad(boot);
    const leftMs = arrivedAt + request.deadlineMs - now;
    const runMs = Math.min(this.#computeRunMs(boot, request), leftMs);
    const ended = AbortSignal.any([stop.signal, boot.ended.signal]);
    await this.#clock.sleep(runMs, ended);
    await this.#waitWhileFrozen();
    if (boot.ended.signal.aborted) {
      return "killed";
    }
    const isCut = stop.signal.aborted || runMs === leftMs;
    const ending = this.#chooseEnding(boot, run, isCut);
    boot.running.delete(run);
    this.#recordEnd(run, ending, boot.grants.lapsedAtMs);
    this.#recordLoad(boot);
    return ending;
  }

  #chooseEnding(boot: Boot, run: Run, isCut: boolean): RunEnding {
    // Failure: the target freezes in the middle of a request and comes back
    // after its units have gone to another. A checking target asks once more
    // before the effect, and there is none.
    const { grants } = boot;
    const isUnbroken = grants.isUnbroken(run.lapses, this.#clock.readMs());
    if (this.#options.checksGrants && !isUnbroken) {
      return "lapsed";
    }
    return isCut ? "cancelled" : "done";
  }

  #computeRunMs(boot: Boot, request: TargetRequest): number {
    const warmMs = this.#options.getRunMs?.(request) ?? DEFAULT_RUN_MS;
    return this.#isCold(boot)
      ? warmMs * (this.#options.coldFactor ?? DEFAULT_COLD_FACTOR)
      : warmMs;
  }

  #isCold(boot: Boot): boolean {
    const coldMs = this.#options.coldMs ?? 0;
    return this.#clock.readMs() < boot.startedAt + coldMs;
  }

  #describeState(): TargetReport["state"] {
    if (this.#isDraining) {
      return "leaving";
    }
    return this.#isCold(this.#boot) ? "warming" : "live";
  }

  #computeShownLoad(): number {
    const shownAt = this.#clock.readMs() - (this.#options.reportLagMs ?? 0);
    return this.#loads.findLast((load) => load.atMs <= shownAt)?.running ?? 0;
  }

  #recordLoad(boot: Boot): void {
    const atMs = this.#clock.readMs();
    const oldest = atMs - (this.#options.reportLagMs ?? 0);
    const shown = this.#loads.findLastIndex((load) => load.atMs <= oldest);
    this.#loads.splice(0, Math.max(0, shown));
    this.#loads.push({ atMs, running: boot.running.size });
  }

  #makeRun(boot: Boot, request: TargetRequest, startedAtMs: number): TargetRun {
    const { deadlineMs: _, ...subject } = request;
    return {
      target: this.id,
      bootId: boot.id,
      ...subject,
      startedAtMs,
      endedAtMs: null,
      ending: "running",
    };
  }

  #recordEnd(run: Run, ending: RunEnding, lapsedAtMs = 0): void {
    const endedAtMs = ending === "lapsed" ? lapsedAtMs : this.#clock.readMs();
    const begun = this.#history[run.index]!;
    this.#history[run.index] = { ...begun, endedAtMs, ending };
  }

  async #waitWhileFrozen(): Promise<void> {
    while (this.#thaw !== undefined) {
      await waitForAbort(this.#thaw.signal);
    }
  }

  #createBoot(): Boot {
    this.#boots++;
    return {
      id: `${this.#options.id}/${this.#boots}`,
      startedAt: this.#clock.readMs(),
      grants: new FakeGrants(),
      ended: new AbortController(),
      running: new Set(),
      waiting: [],
      claimed: 0,
    };
  }
}

function makeRefusal(
  cause: "fenced" | "shed" | "draining" | "refused",
  message: string,
): TargetReply {
  return { kind: "not-run", cause, message };
}

function waitForAbort(signal: AbortSignal): Promise<void> {
  if (signal.aborted) {
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    signal.addEventListener("abort", () => resolve(), { once: true });
  });
}
