/**
 * One target in memory: a process with a few places that drains, starts cold,
 * sheds, honours deadlines and cancellations, misreports its load, freezes and
 * comes back, and keeps a history of what it ran. It checks grants or not.
 */
import type { Position } from "@lentilspur/outcomes/position";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import { waitForAbort } from "./abort.ts";
import type { Clock } from "./clock.ts";
import { FakeGrants } from "./fake_grants.ts";
import { FakeHistory } from "./fake_history.ts";
import { FakeShownLoad } from "./fake_shown_load.ts";
import { FakePlaces } from "./fake_places.ts";
import type {
  GrantReply,
  GrantRequest,
  TargetFailure,
  TargetReport,
} from "./target.ts";
import type { RunEnding, TargetRun } from "./target_history.ts";

export interface FakeTargetOptions {
  readonly id: string;
  readonly template: string;
  /** Tells this process from others of the same target, in boot ids. */
  readonly processName?: string;
  readonly clock: Clock;
  readonly checksGrants: boolean;
  /** What the target's own clock shows more than `clock`. */
  readonly clockOffsetMs?: number;
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
  /** Told of every start and end of a run, before anything else happens. */
  readonly recordRun?: (run: TargetRun) => void;
}

/** A request as it reaches the target. */
export interface TargetRequest {
  readonly method: string;
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
  | {
    readonly kind: "ran";
    readonly ending: RunEnding;
    readonly body: Uint8Array;
  }
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
  readonly places: FakePlaces;
  /** Requests started so far. */
  started: number;
}

interface Run {
  readonly request: TargetRequest;
  /** Where it stands in the history. */
  readonly place: number;
  readonly stop: AbortController;
  /** How often the grants had lapsed when it started. */
  readonly lapses: number;
}

export class FakeTarget {
  readonly #options: FakeTargetOptions;
  readonly #clock: Clock;
  readonly #history: FakeHistory;
  readonly #load: FakeShownLoad;
  #boots = 0;
  #boot: Boot;
  #thaw: AbortController | undefined;
  #isListening = true;
  #isDraining = false;
  #isShedding = false;
  #statedReport: Partial<TargetReport> = {};

  constructor(options: FakeTargetOptions) {
    this.#options = options;
    this.#clock = options.clock;
    this.#history = new FakeHistory({ ...options, target: options.id });
    this.#load = new FakeShownLoad(options.reportLagMs ?? 0);
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
      this.#history.recordKill(run.place, this.#readMs());
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
    return this.#history.list();
  }

  async getReport(): Promise<TargetReport> {
    await this.#waitWhileFrozen();
    return {
      bootId: this.#boot.id,
      elapsedMs: this.#readMs(),
      state: this.#describeState(),
      runningRequests: this.#load.compute(this.#readMs()),
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
    if (request.bootId !== boot.id) {
      return Err({ kind: "restarted", bootId: boot.id });
    }
    const applied = boot.grants.apply(request, this.#readMs());
    if (!applied.ok) {
      return Err({ kind: "fenced", highestToken: applied.val });
    }
    const busy = new Set(
      [...boot.running].flatMap(({ request: { unit, key } }) => [
        unit,
        `k:${key}`,
      ]),
    );
    const busyUnits = request.remove.filter((unit) => busy.has(unit));
    return Ok({ bootId: boot.id, elapsedMs: this.#readMs(), busyUnits });
  }

  /** Stops a request that runs or waits. */
  async cancel(requestId: string): Promise<void> {
    await this.#waitWhileFrozen();
    for (const run of this.#boot.running) {
      if (run.request.requestId === requestId) {
        run.stop.abort();
      }
    }
    this.#boot.places.cancel(requestId);
  }

  /** Takes a request that has arrived. Resolves when it can be answered. */
  async handle(request: TargetRequest): Promise<TargetReply> {
    const boot = this.#boot;
    await this.#waitWhileFrozen();
    // A frozen process reads what the kernel kept for it when it goes on, and
    // counts the deadline from then.
    const arrivedAt = this.#readMs();
    if (boot.ended.signal.aborted) {
      return { kind: "lost" };
    }
    const refusal = this.#checkAdmission(boot);
    if (refusal !== undefined) {
      return refusal;
    }
    const claimed = await boot.places.claim(request.requestId, {
      ended: boot.ended.signal,
      waitWhileFrozen: () => this.#waitWhileFrozen(),
    });
    switch (claimed) {
      case "claimed": {
        const reply = await this.#runInPlace(boot, request, arrivedAt);
        boot.places.release();
        return reply;
      }
      case "cancelled":
        return makeRefusal("refused", "It was cancelled before it ran");
      case "ended":
        return { kind: "lost" };
    }
  }

  #readMs(): number {
    return this.#clock.readMs() + (this.#options.clockOffsetMs ?? 0);
  }

  get #places(): number {
    return this.#options.places ?? DEFAULT_PLACES;
  }

  #checkAdmission(boot: Boot): TargetReply | undefined {
    if (this.#isDraining) {
      return makeRefusal("draining", "The target is leaving");
    }
    const maxWaiting = this.#options.maxWaiting ?? DEFAULT_MAX_WAITING;
    if (this.#isShedding || boot.places.countWaiting() >= maxWaiting) {
      return makeRefusal("shed", "The target sheds load");
    }
    return undefined;
  }

  /** The checks right before a request starts; none of them waits. */
  #checkStart(
    boot: Boot,
    request: TargetRequest,
    arrivedAt: number,
  ): TargetReply | undefined {
    const now = this.#readMs();
    if (now > arrivedAt + request.deadlineMs) {
      return makeRefusal("refused", "The deadline has passed");
    }
    if (this.#options.checksGrants && !boot.grants.isLive(request, now)) {
      return makeRefusal("fenced", `No live grant for unit "${request.unit}"`);
    }
    return undefined;
  }

  async #runInPlace(
    boot: Boot,
    request: TargetRequest,
    arrivedAt: number,
  ): Promise<TargetReply> {
    const refusal = this.#checkStart(boot, request, arrivedAt);
    if (refusal !== undefined) {
      return refusal;
    }
    const now = this.#readMs();
    const stop = new AbortController();
    const { lapses } = boot.grants;
    const { deadlineMs, ...subject } = request;
    const place = this.#history.recordStart({
      bootId: boot.id,
      sequence: boot.started++,
      ...subject,
      startedAtMs: now,
    });
    const run: Run = { request, place, stop, lapses };
    boot.running.add(run);
    this.#load.record(boot.running.size, this.#readMs());
    const leftMs = arrivedAt + deadlineMs - now;
    const runMs = Math.min(this.#computeRunMs(boot, request), leftMs);
    const ended = AbortSignal.any([stop.signal, boot.ended.signal]);
    await this.#clock.sleep(runMs, ended);
    await this.#waitWhileFrozen();
    if (boot.ended.signal.aborted) {
      return { kind: "lost" };
    }
    const isCut = stop.signal.aborted || runMs === leftMs;
    const ending = this.#chooseEnding(boot, run, isCut);
    boot.running.delete(run);
    const endedAtMs = ending === "lapsed"
      ? boot.grants.lapsedAtMs
      : this.#readMs();
    const body = this.#history.recordEnd(place, ending, endedAtMs);
    this.#load.record(boot.running.size, this.#readMs());
    // Without effect, yet begun: too little for saying that it did not run.
    return ending === "lapsed"
      ? { kind: "lost" }
      : { kind: "ran", ending, body };
  }

  #chooseEnding(
    boot: Boot,
    run: Run,
    isCut: boolean,
  ): "done" | "cancelled" | "lapsed" {
    // Failure: the target freezes in the middle of a request and comes back
    // after its units have gone to another. A checking target asks once more
    // before the effect, and there is none.
    const { grants } = boot;
    const isUnbroken = grants.isUnbroken(run.lapses, this.#readMs());
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
    return this.#readMs() < boot.startedAt + coldMs;
  }

  #describeState(): TargetReport["state"] {
    if (this.#isDraining) {
      return "leaving";
    }
    return this.#isCold(this.#boot) ? "warming" : "live";
  }

  async #waitWhileFrozen(): Promise<void> {
    while (this.#thaw !== undefined) {
      await waitForAbort(this.#thaw.signal);
    }
  }

  #createBoot(): Boot {
    this.#boots++;
    const { id, processName } = this.#options;
    const name = processName === undefined ? id : `${id}/${processName}`;
    return {
      id: `${name}/${this.#boots}`,
      startedAt: this.#readMs(),
      grants: new FakeGrants(),
      ended: new AbortController(),
      running: new Set(),
      places: new FakePlaces(this.#places),
      started: 0,
    };
  }
}

function makeRefusal(
  cause: "fenced" | "shed" | "draining" | "refused",
  message: string,
): TargetReply {
  return { kind: "not-run", cause, message };
}
