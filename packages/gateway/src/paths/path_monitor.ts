/**
 * Watches this instance's network paths to the targets: collects the evidence
 * of its requests and orders, and probes targets that it does not reach.
 *
 * Nothing is probed while sends succeed. A probe uses a new connection, since
 * old connections may live on while new ones fail, and it waits for a response,
 * since a middlebox may accept connections of a target that it does not reach.
 */
import type { Clock, Random } from "@lentilspur/ports/clock";
import type {
  KeyOrderSender,
  OrderOutcome,
  OrderReceiver,
} from "@lentilspur/ports/key_orders";
import type { SendOutcome } from "@lentilspur/ports/request_sender";
import type { RoutingTarget } from "@lentilspur/ports/routing_table";
import type { TargetProber } from "@lentilspur/ports/target_prober";
import {
  formatTargetIncarnation,
  type TargetIncarnation,
} from "@lentilspur/routing/target_incarnation";
import {
  findPathEvidence,
  type PathEvent,
  type PathEvidence,
  type PathFailure,
  TargetPaths,
} from "@lentilspur/routing/target_paths";
import type { ReachAnswer } from "../forwarding/forwarded_request.ts";
import type { PathCheck } from "../forwarding/path_checker.ts";
import { PathLosses } from "./path_losses.ts";

export interface PathMonitorOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly prober: TargetProber;
  readonly findTarget: (id: string) => RoutingTarget | undefined;
  /** Lists all targets that this instance knows. */
  readonly listTargets: () => readonly RoutingTarget[];
  /** Path of the health checks of a service, if it has one. */
  readonly findHealthPath: (service: string) => string | undefined;
  /** Asks other instances whether they reach a target. */
  readonly checkElsewhere: (target: RoutingTarget) => Promise<PathCheck>;
  /**
   * Called for a target that is not reached: other instances do not reach it
   * either (`isConfirmed`), or cannot tell.
   */
  readonly onUnreachable: (
    target: RoutingTarget,
    check: { readonly isConfirmed: boolean },
  ) => void;
  /** Called when a target has responded on a new connection. */
  readonly onRegained: (target: RoutingTarget) => void;
  readonly observe: (event: PathEvent) => void;
}

/** Probes that run at the same time. */
const MAX_PROBES = 4;
/** The same right after a path has been regained. */
const MAX_PROBES_AFTER_REGAIN = 8;
/** Interval between two probes of a target. */
const PROBE_INTERVAL_MS = 250;
/** The same once its path has been lost for `LONG_LOSS_MS`. */
const LONG_PROBE_INTERVAL_MS = 500;
const LONG_LOSS_MS = 3_000;
/** Interval at which others are asked about a target, until one reaches it. */
const CHECK_ELSEWHERE_INTERVAL_MS = 500;
/** Interval at which what is kept of unknown targets is removed. */
const CLEAN_UP_INTERVAL_MS = 5_000;
/**
 * Targets that are probed at random in addition to those whose paths are known
 * to be lost, while no target responds or several paths are lost: others may be
 * lost as well, and each would cost a request the time of a failed connection.
 */
const RANDOM_PROBES = 2;
const MIN_CORRELATED_LOSSES = 2;

/** Many instances may ask about the same target at once. */
const REACH_ANSWER_TTL_MS = 250;

interface GivenReachAnswer {
  readonly atMs: number;
  readonly answer: Promise<ReachAnswer>;
}

export class PathMonitor {
  readonly paths: TargetPaths;
  readonly #options: PathMonitorOptions;
  /** When each target was last probed, by incarnation. */
  readonly #probedAtMs = new Map<string, number>();
  /** When each target last responded, by incarnation. */
  readonly #respondedAtMs = new Map<string, number>();
  readonly #losses = new PathLosses();
  /** When others were last asked about each target, by incarnation. */
  readonly #askedAtMs = new Map<string, number>();
  /** What other instances were last told of each target, by incarnation. */
  readonly #reachAnswers = new Map<string, GivenReachAnswer>();
  #cleanedUpAtMs = -Infinity;
  #runningProbes = 0;
  #maxProbes = MAX_PROBES;

  constructor(options: PathMonitorOptions) {
    this.#options = options;
    this.paths = new TargetPaths(options);
  }

  /** Records the outcome of a request that this instance sent itself. */
  recordOutcome(
    target: TargetIncarnation,
    outcome: SendOutcome,
    { sentAtMs, isOverdue }: {
      readonly sentAtMs: number;
      /** Whether the send was aborted because its response was overdue. */
      readonly isOverdue: boolean;
    },
  ): void {
    this.#record(target, findPathEvidence(outcome, isOverdue), sentAtMs);
  }

  /**
   * Probes a target whose response to a send is overdue. The send may still be
   * answered, so it is no evidence itself.
   */
  checkOverdue(target: TargetIncarnation, sentAtMs: number): void {
    const known = this.#options.findTarget(target.id);
    if (known !== undefined && this.#isEvidence(target, "silent", sentAtMs)) {
      this.#startProbe(known, LONG_PROBE_INTERVAL_MS);
    }
  }

  /** Wraps a sender of orders so that their outcomes are recorded. */
  observeOrders(orders: KeyOrderSender): KeyOrderSender {
    const record = async (
      { id }: OrderReceiver,
      sent: Promise<OrderOutcome>,
    ): Promise<OrderOutcome> => {
      const sentAtMs = this.#options.clock.readMs();
      const outcome = await sent;
      const target = this.#options.findTarget(id);
      if (target !== undefined) {
        this.#record(target, findOrderEvidence(outcome), sentAtMs);
      }
      return outcome;
    };
    return {
      getSession: (to) => orders.getSession(to),
      grant: (to, order, session) =>
        record(to, orders.grant(to, order, session)),
      release: (from, order) => record(from, orders.release(from, order)),
    };
  }

  /**
   * Number of targets that this instance has not reached lately while others
   * have.
   */
  countLosses(): number {
    return this.#losses.count();
  }

  /** Must be called at short intervals. */
  advance(): void {
    const { clock, listTargets } = this.#options;
    const nowMs = clock.readMs();
    const isCleanUpDue = nowMs - this.#cleanedUpAtMs >= CLEAN_UP_INTERVAL_MS;
    if (!this.paths.hasLosses && !isCleanUpDue) {
      this.#losses.observe(this.paths, 0, nowMs);
      return;
    }
    const targets = listTargets();
    this.paths.advance(targets, nowMs);
    this.#losses.observe(this.paths, targets.length, nowMs);
    if (isCleanUpDue) {
      this.#cleanedUpAtMs = nowMs;
      this.#removeUnknown(targets);
    }
    this.#startProbes();
  }

  #removeUnknown(targets: readonly RoutingTarget[]): void {
    const known = new Set(targets.map(formatTargetIncarnation));
    const byTarget: readonly Map<string, unknown>[] = [
      this.#probedAtMs,
      this.#respondedAtMs,
      this.#askedAtMs,
      this.#reachAnswers,
    ];
    for (const entries of byTarget) {
      for (const key of entries.keys()) {
        if (!known.has(key)) {
          entries.delete(key);
        }
      }
    }
  }

  #startProbes(): void {
    if (!this.paths.hasLosses) {
      return;
    }
    const { findTarget, listTargets, clock } = this.#options;
    const nowMs = clock.readMs();
    for (const { target: { id }, ...lost } of this.paths.listLost()) {
      const { sinceMs, isReachedElsewhere } = lost;
      const target = findTarget(id);
      if (target !== undefined && !isReachedElsewhere) {
        this.#startCheck(target, nowMs);
      }
      const intervalMs = nowMs - sinceMs < LONG_LOSS_MS
        ? PROBE_INTERVAL_MS
        : LONG_PROBE_INTERVAL_MS;
      if (target !== undefined) {
        this.#startProbe(target, intervalMs);
      }
    }
    const lostCount = this.paths.listLost().length;
    if (this.paths.isDoubtful || lostCount >= MIN_CORRELATED_LOSSES) {
      const targets = listTargets();
      for (
        let count = 0;
        count < RANDOM_PROBES && targets.length > 0;
        count++
      ) {
        const index = this.#options.random.draw() * targets.length;
        this.#startProbe(targets[Math.floor(index)]!, PROBE_INTERVAL_MS);
      }
    }
  }

  #startCheck(target: RoutingTarget, nowMs: number): void {
    const key = formatTargetIncarnation(target);
    const sinceMs = nowMs - (this.#askedAtMs.get(key) ?? -Infinity);
    if (sinceMs >= CHECK_ELSEWHERE_INTERVAL_MS) {
      this.#askedAtMs.set(key, nowMs);
      void this.#checkElsewhere(target);
    }
  }

  async #checkElsewhere(target: RoutingTarget): Promise<void> {
    const { clock, checkElsewhere, onUnreachable } = this.#options;
    const check = await checkElsewhere(target);
    if (this.paths.findLost(target) === undefined) {
      return;
    }
    switch (check.kind) {
      case "reached":
        this.paths.recordReachedElsewhere(target, check.peer);
        return;
      case "unreached":
        this.paths.recordUnreachedElsewhere(target, clock.readMs());
        onUnreachable(target, { isConfirmed: true });
        return;
      case "unknown":
        onUnreachable(target, { isConfirmed: false });
        return;
    }
  }

  /** Answers another instance that does not reach a target. */
  async answerReach(targetId: string): Promise<ReachAnswer> {
    const target = this.#options.findTarget(targetId);
    if (target === undefined || this.paths.isDoubtful) {
      return "unknown";
    }
    const lost = this.paths.findLost(target);
    if (lost !== undefined) {
      return lost.isReachedElsewhere ? "reached" : "unreached";
    }
    const key = formatTargetIncarnation(target);
    const nowMs = this.#options.clock.readMs();
    const known = this.#reachAnswers.get(key);
    if (known !== undefined && nowMs - known.atMs < REACH_ANSWER_TTL_MS) {
      return await known.answer;
    }
    const answer = this.#probeForOthers(target);
    this.#reachAnswers.set(key, { atMs: nowMs, answer });
    return await answer;
  }

  async #probeForOthers(target: RoutingTarget): Promise<ReachAnswer> {
    const { prober, findHealthPath } = this.#options;
    const { kind } = await prober.probe(target, findHealthPath(target.service));
    return kind === "answered" ? "reached" : "unreached";
  }

  /** Probes a target, unless this was done within the interval. */
  #startProbe(target: RoutingTarget, intervalMs: number): void {
    const key = formatTargetIncarnation(target);
    const nowMs = this.#options.clock.readMs();
    const sinceMs = nowMs - (this.#probedAtMs.get(key) ?? -Infinity);
    if (this.#runningProbes < this.#maxProbes && sinceMs >= intervalMs) {
      this.#probedAtMs.set(key, nowMs);
      void this.#probe(target);
    }
  }

  async #probe(target: RoutingTarget): Promise<void> {
    const { clock, prober, findHealthPath, onRegained } = this.#options;
    const sentAtMs = clock.readMs();
    this.#runningProbes++;
    const outcome = await prober.probe(
      target,
      findHealthPath(target.service),
    );
    this.#runningProbes--;
    const nowMs = clock.readMs();
    switch (outcome.kind) {
      case "answered":
        this.#maxProbes = MAX_PROBES_AFTER_REGAIN;
        if (this.paths.findLost(target) !== undefined) {
          // Other paths may be back as well.
          this.#probedAtMs.clear();
        }
        this.#probedAtMs.set(formatTargetIncarnation(target), nowMs);
        this.paths.recordProbeResponse(target, nowMs);
        onRegained(target);
        break;
      case "failed":
        this.#maxProbes = MAX_PROBES;
        if (this.#isEvidence(target, outcome.failure, sentAtMs)) {
          this.paths.recordProbeFailure(target, outcome.failure, {
            sentAtMs,
            nowMs,
          });
        }
        break;
    }
    this.#startProbes();
  }

  /**
   * Whether a failure says something about the path: a target that has responded
   * since the send began is reached, unless new connections to it fail.
   */
  #isEvidence(
    target: TargetIncarnation,
    failure: PathFailure,
    sentAtMs: number,
  ): boolean {
    const key = formatTargetIncarnation(target);
    return failure === "no-connection" ||
      (this.#respondedAtMs.get(key) ?? -Infinity) < sentAtMs;
  }

  #record(
    target: TargetIncarnation,
    evidence: PathEvidence | undefined,
    sentAtMs: number,
  ): void {
    const nowMs = this.#options.clock.readMs();
    switch (evidence?.kind) {
      case "response":
        this.#respondedAtMs.set(formatTargetIncarnation(target), nowMs);
        this.paths.recordResponse(nowMs);
        return;
      case "failure":
        if (this.#isEvidence(target, evidence.failure, sentAtMs)) {
          this.#recordFailure(target, evidence.failure, { sentAtMs, nowMs });
        }
        return;
      case undefined:
        return;
    }
  }

  /**
   * Probes the target, since a response that is missing on an old connection
   * may mean that its path is lost.
   */
  #recordFailure(
    target: TargetIncarnation,
    failure: PathFailure,
    times: { readonly sentAtMs: number; readonly nowMs: number },
  ): void {
    this.paths.recordFailure(target, failure, times);
    const known = this.#options.findTarget(target.id);
    if (known !== undefined) {
      this.#startProbe(known, LONG_PROBE_INTERVAL_MS);
    }
    this.#startProbes();
  }
}

function findOrderEvidence(outcome: OrderOutcome): PathEvidence | undefined {
  switch (outcome.kind) {
    case "done":
    case "superseded":
    case "replaced":
      return { kind: "response" };
    case "unsent":
      return outcome.isUnreachable
        ? { kind: "failure", failure: "no-connection" }
        : undefined;
    case "unanswered":
      return { kind: "failure", failure: "silent" };
    case "session-over":
      return undefined;
  }
}
