/**
 * Tracks which targets this instance cannot reach, from the outcomes of its own
 * requests, orders and probes.
 *
 * A send that gets no response has two explanations: the target has failed, or
 * the network path from this instance to it has. An instance cannot tell them
 * apart by its own sends to that target. It can tell that its own paths are
 * doubtful if no target at all has responded since the send began, and that a
 * path is lost if another instance reaches the target meanwhile.
 */
import type { SendOutcome } from "@lentilspur/ports/request_sender";
import {
  formatTargetIncarnation,
  type TargetIncarnation,
} from "./target_incarnation.ts";

/** How a send that got no response ended. */
export type PathFailure = "no-connection" | "reset" | "silent";

export type PathEvidence =
  /** The target responded. */
  | { readonly kind: "response" }
  | { readonly kind: "failure"; readonly failure: PathFailure };

export type PathEvent =
  | {
    readonly kind: "path-lost";
    readonly targetId: string;
    readonly failure: PathFailure;
  }
  | {
    readonly kind: "path-regained";
    readonly targetId: string;
    readonly lostForMs: number;
    /** Whether another instance reached the target meanwhile. */
    readonly wasReachedElsewhere: boolean;
  }
  | {
    /** Another instance has reached a target that this one cannot reach. */
    readonly kind: "path-loss-proved";
    readonly targetId: string;
    readonly peer: string;
  }
  | {
    /** This instance counts as isolated, or a target has responded again. */
    readonly kind: "paths";
    readonly state: "isolated" | "working";
    readonly lostPaths: number;
    /** How long the previous state lasted, in milliseconds. */
    readonly afterMs: number;
  };

interface MutableLostPath {
  readonly target: TargetIncarnation;
  readonly sinceMs: number;
  /** Another instance has reached the target since. */
  isReachedElsewhere: boolean;
  /** Until when other instances count as unable to reach the target too. */
  downUntilMs: number;
}

export type LostPath = Readonly<MutableLostPath>;

export interface TargetPathsOptions {
  readonly observe: (event: PathEvent) => void;
}

/** A doubtful instance that gets no response for this long is isolated. */
const ISOLATED_AFTER_MS = 400;
/**
 * How long a target that another instance could not reach either counts as
 * failed. Each request for it would otherwise be sent through another instance.
 */
const DOWN_MS = 500;

type State = "working" | "doubtful" | "isolated";

export class TargetPaths {
  readonly #observe: (event: PathEvent) => void;
  /** By incarnation. */
  readonly #lost = new Map<string, MutableLostPath>();
  #state: State = "working";
  #stateSinceMs = -Infinity;
  #lastResponseAtMs = -Infinity;
  /** Targets that failed since the last response of any target. */
  readonly #failedTargets = new Set<string>();

  constructor({ observe }: TargetPathsOptions) {
    this.#observe = observe;
  }

  /** Whether no target has responded since a send that failed began. */
  get isDoubtful(): boolean {
    return this.#state !== "working";
  }

  /** Whether this has lasted so long that all paths count as lost. */
  get isIsolated(): boolean {
    return this.#state === "isolated";
  }

  /** Number of targets that only this instance is known not to reach. */
  get provedLossCount(): number {
    let count = 0;
    for (const { isReachedElsewhere } of this.#lost.values()) {
      count += isReachedElsewhere ? 1 : 0;
    }
    return count;
  }

  listLost(): readonly LostPath[] {
    return [...this.#lost.values()];
  }

  findLost(target: TargetIncarnation): LostPath | undefined {
    return this.#lost.get(formatTargetIncarnation(target));
  }

  /** Whether any path is lost or doubtful. */
  get hasLosses(): boolean {
    return this.#state !== "working" || this.#lost.size > 0;
  }

  /** Whether a request to the target should not be sent from here. */
  isLost(target: TargetIncarnation): boolean {
    return this.#state !== "working" ||
      this.#lost.has(formatTargetIncarnation(target));
  }

  /** Whether other instances could not reach the target either, just now. */
  isDown(target: TargetIncarnation, nowMs: number): boolean {
    return nowMs < (this.findLost(target)?.downUntilMs ?? -Infinity);
  }

  /**
   * Records a response of a target. It proves that this instance reaches some
   * targets; it does not end the loss of a path, since it may have come on an
   * old connection while new ones fail.
   */
  recordResponse(nowMs: number): void {
    this.#lastResponseAtMs = nowMs;
    this.#failedTargets.clear();
    this.#setState("working", nowMs);
  }

  /**
   * Records that a send or probe that began at `sentAtMs` got no response. A
   * connection that could not be opened means that the path is lost or the
   * target has failed; other failures have many causes.
   */
  recordFailure(
    target: TargetIncarnation,
    failure: PathFailure,
    { sentAtMs, nowMs }: { readonly sentAtMs: number; readonly nowMs: number },
  ): void {
    if (failure === "no-connection") {
      this.#addLost(target, failure, nowMs);
    }
    if (sentAtMs > this.#lastResponseAtMs) {
      this.#failedTargets.add(formatTargetIncarnation(target));
      if (this.#state === "working") {
        this.#setState("doubtful", nowMs);
      }
    }
  }

  /** Records that a probe of the target failed. */
  recordProbeFailure(
    target: TargetIncarnation,
    failure: PathFailure,
    times: { readonly sentAtMs: number; readonly nowMs: number },
  ): void {
    this.recordFailure(target, failure, times);
    this.#addLost(target, failure, times.nowMs);
  }

  /** Records that a new connection to the target got a response. */
  recordProbeResponse(target: TargetIncarnation, nowMs: number): void {
    this.recordResponse(nowMs);
    const key = formatTargetIncarnation(target);
    const lost = this.#lost.get(key);
    if (lost !== undefined) {
      this.#lost.delete(key);
      this.#observe({
        kind: "path-regained",
        targetId: target.id,
        lostForMs: Math.round(nowMs - lost.sinceMs),
        wasReachedElsewhere: lost.isReachedElsewhere,
      });
    }
  }

  /** Records that another instance has got a response of the target. */
  recordReachedElsewhere(target: TargetIncarnation, peer: string): void {
    const lost = this.#lost.get(formatTargetIncarnation(target));
    if (lost !== undefined) {
      lost.downUntilMs = -Infinity;
      if (!lost.isReachedElsewhere) {
        lost.isReachedElsewhere = true;
        this.#observe({
          kind: "path-loss-proved",
          targetId: target.id,
          peer,
        });
      }
    }
  }

  /** Records that other instances could not reach the target either. */
  recordUnreachedElsewhere(target: TargetIncarnation, nowMs: number): void {
    const lost = this.#lost.get(formatTargetIncarnation(target));
    if (lost !== undefined) {
      lost.downUntilMs = nowMs + DOWN_MS;
    }
  }

  /**
   * Forgets targets that are no longer known, and counts this instance as
   * isolated once it has been doubtful for long enough. A single failed target
   * is enough only where no other is known.
   */
  advance(
    known: readonly TargetIncarnation[],
    nowMs: number,
  ): void {
    const keys = new Set(known.map(formatTargetIncarnation));
    for (const key of this.#lost.keys()) {
      if (!keys.has(key)) {
        this.#lost.delete(key);
      }
    }
    if (
      this.#state === "doubtful" &&
      nowMs - this.#stateSinceMs >= ISOLATED_AFTER_MS &&
      this.#failedTargets.size >= Math.min(2, keys.size)
    ) {
      this.#setState("isolated", nowMs);
    }
  }

  #addLost(
    target: TargetIncarnation,
    failure: PathFailure,
    nowMs: number,
  ): void {
    const key = formatTargetIncarnation(target);
    if (this.#lost.has(key)) {
      return;
    }
    this.#lost.set(key, {
      target,
      sinceMs: nowMs,
      isReachedElsewhere: false,
      downUntilMs: -Infinity,
    });
    this.#observe({ kind: "path-lost", targetId: target.id, failure });
  }

  #setState(state: State, nowMs: number): void {
    if (state === this.#state) {
      return;
    }
    const afterMs = Math.round(nowMs - this.#stateSinceMs);
    const isBrief = this.#state === "doubtful" && state === "working";
    this.#state = state;
    this.#stateSinceMs = nowMs;
    // Doubts of some milliseconds are frequent where targets crash.
    if (state !== "doubtful" && !isBrief) {
      const lostPaths = this.#lost.size;
      this.#observe({ kind: "paths", state, lostPaths, afterMs });
    }
  }
}

/** What the outcome of a request says about the path to its target. */
export function findPathEvidence(
  outcome: SendOutcome,
  isOverdue: boolean,
): PathEvidence | undefined {
  switch (outcome.kind) {
    case "answered":
      return { kind: "response" };
    case "not-run":
      return outcome.cause === "unreachable"
        ? { kind: "failure", failure: "no-connection" }
        : outcome.cause === "not-sent"
        ? undefined
        : { kind: "response" };
    case "unknown":
      switch (outcome.cause) {
        case "silent":
          return { kind: "failure", failure: "silent" };
        case "reset":
          return { kind: "failure", failure: "reset" };
        case "cut":
        case "garbled":
          return { kind: "response" };
        case "cancelled":
          return isOverdue ? { kind: "failure", failure: "silent" } : undefined;
      }
  }
}
