/**
 * A target in memory: a few places and a queue, holds of keys with fencing
 * tokens, and what it ran, by which a test or trial judges.
 */
import { createHash } from "node:crypto";
import type { Clock } from "./clock.ts";
import { hasOverlap, type KeyRange, splitRange } from "./key_orders.ts";

export type RunState =
  | "running"
  /** It ran to its end and was answered. */
  | "done"
  /** Its hold of the key had run out before the end: no effect. */
  | "lapsed";

export interface TargetRun {
  readonly target: string;
  readonly service: string;
  /** Order of starts in this process. */
  readonly sequence: number;
  readonly requestId: string;
  readonly key: number;
  readonly path?: string;
  /** Of the hold under which it began; 0 where the service is not keyed. */
  readonly token: number;
  /** On the target's own clock. */
  readonly startedAtMs: number;
  /** Null while it runs. */
  readonly endedAtMs: number | null;
  readonly ending: RunState;
  /** SHA-256 of the answer's body, in hex, once there is one. */
  readonly answerDigest?: string;
}

export interface FakeTargetOptions {
  readonly clock: Clock;
  readonly id: string;
  readonly service: string;
  /** Whether it runs only requests for keys that it holds. */
  readonly keyed: boolean;
  readonly workMs: number;
  /** Told when a run begins and when it ends. */
  readonly observeRun?: (run: TargetRun) => void;
  /** Whether the target crashes soon after it has begun to run a request. */
  readonly isFatal?: (request: TargetRequest) => boolean;
  /** Told when it has crashed; it does nothing more. */
  readonly observeCrash?: () => void;
}

export interface TargetRequest {
  readonly requestId: string;
  readonly key: number;
  readonly path?: string;
  /** What it will answer. */
  readonly body: string;
}

export type TargetReply =
  /** The target ended before it could answer. */
  | { readonly kind: "crashed" }
  | { readonly kind: "not-owner" }
  | { readonly kind: "full" }
  | { readonly kind: "ran"; readonly run: TargetRun };

interface Hold extends KeyRange {
  readonly token: number;
  readonly untilMs: number;
}

/** A request that runs. */
interface Work {
  readonly key: number;
  /** Ended later, it has no effect: its hold had run out. */
  allowedUntilMs: number;
  readonly ended: Promise<void>;
}

/** As both users' targets have. */
export const TARGET_PLACES = 2;
const QUEUE = 8;
/** A fatal request ends its target this long after it has begun to run. */
const CRASH_AFTER_MS = 25;

export class FakeTarget {
  /** Ids of the requests that it ran, in order. */
  readonly ran: string[] = [];
  readonly #options: FakeTargetOptions;
  readonly #waiting: (() => void)[] = [];
  readonly #working = new Set<Work>();
  #holds: Hold[] = [];
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

  /** Ends with all that it runs; nobody is answered. */
  fail(): void {
    if (!this.hasCrashed) {
      this.#crash.abort();
      this.#options.observeCrash?.();
    }
  }

  get load(): { readonly running: number; readonly waiting: number } {
    return { running: this.#running, waiting: this.#waiting.length };
  }

  /** False where it has seen a higher token on one of the keys. */
  applyGrant(
    range: KeyRange,
    { token, holdMs }: { readonly token: number; readonly holdMs: number },
  ): boolean {
    const others = this.#holds.filter((hold) => hasOverlap(hold, range));
    if (others.some((hold) => hold.token > token)) {
      return false;
    }
    this.#removeHolds(range);
    const untilMs = this.#options.clock.readMs() + holdMs;
    this.#holds.push({ ...range, token, untilMs });
    for (const work of this.#listWork(range)) {
      work.allowedUntilMs = Math.max(work.allowedUntilMs, untilMs);
    }
    return true;
  }

  /** New work stops at once; resolves when what runs on these keys has ended. */
  async applyRelease(range: KeyRange): Promise<void> {
    this.#removeHolds(range);
    const working = this.#listWork(range);
    for (const work of working) {
      work.allowedUntilMs = Infinity;
    }
    await Promise.all(working.map(({ ended }) => ended));
  }

  /** What is left of a hold that a range is taken out of stays held. */
  #removeHolds(range: KeyRange): void {
    this.#holds = this.#holds.flatMap((hold) => splitRange(hold, range));
  }

  #listWork({ from, to }: KeyRange): readonly Work[] {
    return [...this.#working]
      .filter(({ key }) => from <= key && key <= to);
  }

  /** The token under which it holds a key now. */
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
    const { clock, keyed, workMs, isFatal } = this.#options;
    const { body, ...asked } = request;
    const { key } = asked;
    const token = keyed ? this.findToken(key) : 0;
    if (token === undefined) {
      return { kind: "not-owner" };
    }
    if (this.#running >= TARGET_PLACES && this.#waiting.length >= QUEUE) {
      return { kind: "full" };
    }
    await this.#takePlace();
    const run = this.#startRun({ ...asked, token });
    const work = this.#startWork(key);
    if (isFatal?.(request) === true) {
      await clock.sleep(CRASH_AFTER_MS);
      this.fail();
    }
    await clock.sleep(workMs, this.#crash.signal);
    if (this.hasCrashed) {
      return { kind: "crashed" };
    }
    this.#leavePlace();
    const isLapsed = keyed && clock.readMs() > work.allowedUntilMs;
    work.end();
    const ending = isLapsed ? "lapsed" : "done";
    return { kind: "ran", run: this.#settleRun(run, body, ending) };
  }

  /** It may have waited: by now its hold may have run out already. */
  #startWork(key: number): Work & { readonly end: () => void } {
    let settle = (): void => {};
    const ended = new Promise<void>((resolve) => settle = resolve);
    const hold = this.#holds.find(({ from, to }) => from <= key && key <= to);
    const work = {
      key,
      allowedUntilMs: hold?.untilMs ?? -Infinity,
      ended,
      end: () => {
        this.#working.delete(work);
        settle();
      },
    };
    this.#working.add(work);
    return work;
  }

  #startRun(
    of: Pick<TargetRun, "requestId" | "key" | "path" | "token">,
  ): TargetRun {
    const { id: target, service, clock, observeRun } = this.#options;
    const run: TargetRun = {
      ...of,
      target,
      service,
      sequence: ++this.#runs,
      startedAtMs: clock.readMs(),
      endedAtMs: null,
      ending: "running",
    };
    this.ran.push(of.requestId);
    observeRun?.(run);
    return run;
  }

  #settleRun(run: TargetRun, body: string, ending: RunState): TargetRun {
    const answerDigest = createHash("sha256").update(body).digest("hex");
    const endedAtMs = this.#options.clock.readMs();
    const settled = { ...run, endedAtMs, ending, answerDigest };
    this.#options.observeRun?.(settled);
    return settled;
  }

  async #takePlace(): Promise<void> {
    if (this.#running >= TARGET_PLACES) {
      await new Promise<void>((resolve) => this.#waiting.push(resolve));
    }
    this.#running++;
  }

  #leavePlace(): void {
    this.#running--;
    this.#waiting.shift()?.();
  }
}
