/**
 * In-memory target with places, a queue and holds of keys with fencing tokens.
 * Records the requests that it ran, so that tests and packages/trials can check
 * them.
 */
import { createHash } from "node:crypto";
import type { Clock } from "./clock.ts";
import { hasOverlap, type KeyRange, splitRange } from "./key_orders.ts";

export type RunState =
  | "running"
  /** The run finished and was answered. */
  | "done"
  /** The hold of the key expired before the run finished: no effect. */
  | "lapsed";

export interface TargetRun {
  readonly target: string;
  readonly service: string;
  /** Order of starts at this target. */
  readonly sequence: number;
  readonly requestId: string;
  readonly key: number;
  readonly path?: string;
  /**
   * Token of the hold under which the run started; 0 if the service is not
   * keyed.
   */
  readonly token: number;
  /** By the target's own clock. */
  readonly startedAtMs: number;
  /** Null while the request runs. */
  readonly endedAtMs: number | null;
  readonly ending: RunState;
  /** SHA-256 of the response body in hex; set when the run has finished. */
  readonly answerDigest?: string;
}

/** A change of the keys that a target holds. */
export interface HoldChange extends KeyRange {
  readonly kind: "granted" | "released";
  readonly target: string;
  readonly service: string;
  readonly token: number;
  /** By the target's own clock. */
  readonly atMs: number;
  /** When the hold expires; for a release, the same as `atMs`. */
  readonly untilMs: number;
}

/** A request that reached a target, whether the target ran it or not. */
export interface TargetArrival {
  readonly kind: "arrived";
  readonly target: string;
  readonly service: string;
  readonly requestId: string;
  /** By the target's own clock. */
  readonly atMs: number;
}

export interface FakeTargetOptions {
  readonly clock: Clock;
  readonly id: string;
  readonly service: string;
  /** Whether the target runs only requests for keys that it holds. */
  readonly keyed: boolean;
  readonly workMs: number;
  /** Work time of a single request; `workMs` if undefined. */
  readonly getWorkMs?: (request: TargetRequest) => number | undefined;
  /** Called when a run starts and when it ends. */
  readonly observeRun?: (run: TargetRun) => void;
  readonly observeHold?: (change: HoldChange) => void;
  /** Whether the target crashes soon after it starts to run a request. */
  readonly isFatal?: (request: TargetRequest) => boolean;
  /** Whether the target refuses a request as if it had no room for it. */
  readonly isRefused?: (request: TargetRequest) => boolean;
  /** Called after a crash, when the target runs nothing more. */
  readonly observeCrash?: () => void;
}

export interface TargetRequest {
  readonly requestId: string;
  readonly key: number;
  readonly path?: string;
  /** The response body. */
  readonly body: string;
  /** Ends the work on the request, as the close of its connection does. */
  readonly signal?: AbortSignal;
}

export type TargetReply =
  /** The target crashed before it could respond. */
  | { readonly kind: "crashed" }
  | { readonly kind: "not-owner" }
  | { readonly kind: "full" }
  /** The run finished, though without effect if its hold had expired. */
  | { readonly kind: "ran"; readonly run: TargetRun };

interface Hold extends KeyRange {
  readonly token: number;
  readonly untilMs: number;
}

/** A running request. */
interface RunningRequest {
  readonly key: number;
  /**
   * If the request finishes later than this, its hold has expired and it has no
   * effect.
   */
  effectiveUntilMs: number;
  readonly ended: Promise<void>;
}

/**
 * Number of places of each target, in the request simulation of the tests and
 * in the stand-in targets.
 */
export const TARGET_PLACES = 2;
const QUEUE_CAPACITY = 8;
/** A fatal request crashes its target this long after it starts to run. */
const CRASH_DELAY_MS = 25;

export class FakeTarget {
  /** Ids of the requests that were started, in order. */
  readonly ran: string[] = [];
  readonly #options: FakeTargetOptions;
  readonly #waiting: (() => void)[] = [];
  readonly #runningRequests = new Set<RunningRequest>();
  #holds: Hold[] = [];
  /** The highest token that each range was granted or released under. */
  #seenTokens: (KeyRange & { readonly token: number })[] = [];
  #running = 0;
  #runs = 0;
  readonly #crash = new AbortController();
  readonly #crashed: Promise<TargetReply>;

  constructor(options: FakeTargetOptions) {
    this.#options = options;
    this.#crashed = new Promise((resolve) =>
      this.#crash.signal.addEventListener(
        "abort",
        () => resolve({ kind: "crashed" }),
      )
    );
  }

  get hasCrashed(): boolean {
    return this.#crash.signal.aborted;
  }

  /** Crashes the target; its requests get no response. */
  fail(): void {
    if (!this.hasCrashed) {
      this.#crash.abort();
      this.#options.observeCrash?.();
    }
  }

  get load(): { readonly running: number; readonly waiting: number } {
    return { running: this.#running, waiting: this.#waiting.length };
  }

  /** Returns false if a higher token was seen on one of the keys. */
  applyGrant(
    range: KeyRange,
    { token, holdMs }: { readonly token: number; readonly holdMs: number },
  ): boolean {
    const others = this.#seenTokens.filter((seen) => hasOverlap(seen, range));
    if (others.some((seen) => seen.token > token)) {
      return false;
    }
    this.#recordToken(range, token);
    this.#removeHolds(range);
    const untilMs = this.#options.clock.readMs() + holdMs;
    this.#holds.push({ ...range, token, untilMs });
    this.#reportHold("granted", range, { token, untilMs });
    for (const running of this.#listRunning(range)) {
      running.effectiveUntilMs = Math.max(running.effectiveUntilMs, untilMs);
    }
    return true;
  }

  /**
   * Removes the holds of a range, so that no new request for it starts.
   * Resolves when the requests running on these keys have ended.
   */
  async applyRelease(range: KeyRange, token: number): Promise<void> {
    this.#recordToken(range, token);
    this.#removeHolds(range);
    const untilMs = this.#options.clock.readMs();
    this.#reportHold("released", range, { token, untilMs });
    const affected = this.#listRunning(range);
    for (const running of affected) {
      running.effectiveUntilMs = Infinity;
    }
    await Promise.all(affected.map(({ ended }) => ended));
  }

  #recordToken({ from, to }: KeyRange, token: number): void {
    const kept = this.#seenTokens.flatMap((seen) =>
      seen.token > token ? [seen] : splitRange(seen, { from, to })
    );
    this.#seenTokens = [...kept, { from, to, token }];
  }

  #reportHold(
    kind: HoldChange["kind"],
    { from, to }: KeyRange,
    { token, untilMs }: Pick<HoldChange, "token" | "untilMs">,
  ): void {
    const { id: target, service, clock, observeHold } = this.#options;
    const atMs = clock.readMs();
    observeHold?.({ kind, target, service, from, to, token, atMs, untilMs });
  }

  /** Removes a range from the holds; the rest of each hold stays. */
  #removeHolds(range: KeyRange): void {
    this.#holds = this.#holds.flatMap((hold) => splitRange(hold, range));
  }

  #listRunning({ from, to }: KeyRange): readonly RunningRequest[] {
    return [...this.#runningRequests]
      .filter(({ key }) => from <= key && key <= to);
  }

  /** Finds the token under which the target holds a key now. */
  findToken(key: number): number | undefined {
    const nowMs = this.#options.clock.readMs();
    return this.#holds
      .find(({ from, to, untilMs }) =>
        from <= key && key <= to && untilMs > nowMs
      )?.token;
  }

  /** Runs a request when a place is free, unless the target crashes first. */
  run(request: TargetRequest): Promise<TargetReply> {
    return this.hasCrashed
      ? this.#crashed
      : Promise.race([this.#runToEnd(request), this.#crashed]);
  }

  async #runToEnd(request: TargetRequest): Promise<TargetReply> {
    const { clock, keyed, isFatal, isRefused } = this.#options;
    const workMs = this.#options.getWorkMs?.(request) ?? this.#options.workMs;
    const { body, signal, ...fields } = request;
    const stopSignal = signal === undefined
      ? this.#crash.signal
      : AbortSignal.any([signal, this.#crash.signal]);
    const { key } = fields;
    const token = keyed ? this.findToken(key) : 0;
    if (token === undefined) {
      return { kind: "not-owner" };
    }
    if (this.#isFull() || isRefused?.(request) === true) {
      return { kind: "full" };
    }
    await this.#takePlace();
    const run = this.#startRun({ ...fields, token });
    const running = this.#addRunning(key);
    if (isFatal?.(request) === true) {
      await clock.sleep(CRASH_DELAY_MS);
      this.fail();
    }
    await clock.sleep(workMs, stopSignal);
    if (this.hasCrashed) {
      return { kind: "crashed" };
    }
    this.#releasePlace();
    const isLapsed = keyed && clock.readMs() > running.effectiveUntilMs;
    running.end();
    const ending = isLapsed ? "lapsed" : "done";
    return { kind: "ran", run: this.#recordRunEnd(run, body, ending) };
  }

  /**
   * Registers a running request. In a keyed service, it has no effect without a
   * valid hold, for example if the hold expired while the request was queued.
   */
  #addRunning(key: number): RunningRequest & { readonly end: () => void } {
    let resolveEnded = (): void => {};
    const ended = new Promise<void>((resolve) => resolveEnded = resolve);
    const hold = this.#holds.find(({ from, to }) => from <= key && key <= to);
    const running = {
      key,
      effectiveUntilMs: hold?.untilMs ?? -Infinity,
      ended,
      end: () => {
        this.#runningRequests.delete(running);
        resolveEnded();
      },
    };
    this.#runningRequests.add(running);
    return running;
  }

  #startRun(
    fields: Pick<TargetRun, "requestId" | "key" | "path" | "token">,
  ): TargetRun {
    const { id: target, service, clock, observeRun } = this.#options;
    const run: TargetRun = {
      ...fields,
      target,
      service,
      sequence: ++this.#runs,
      startedAtMs: clock.readMs(),
      endedAtMs: null,
      ending: "running",
    };
    this.ran.push(fields.requestId);
    observeRun?.(run);
    return run;
  }

  #recordRunEnd(run: TargetRun, body: string, ending: RunState): TargetRun {
    const answerDigest = createHash("sha256").update(body).digest("hex");
    const endedAtMs = this.#options.clock.readMs();
    const finished = { ...run, endedAtMs, ending, answerDigest };
    this.#options.observeRun?.(finished);
    return finished;
  }

  #isFull(): boolean {
    return this.#running >= TARGET_PLACES &&
      this.#waiting.length >= QUEUE_CAPACITY;
  }

  async #takePlace(): Promise<void> {
    if (this.#running >= TARGET_PLACES) {
      await new Promise<void>((resolve) => this.#waiting.push(resolve));
    }
    this.#running++;
  }

  #releasePlace(): void {
    this.#running--;
    this.#waiting.shift()?.();
  }
}
