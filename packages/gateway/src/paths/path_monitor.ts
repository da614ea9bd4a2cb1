/**
 * Watches this instance's network paths to the targets: collects the evidence
 * of its requests and orders.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type {
  KeyOrderSender,
  OrderOutcome,
  OrderReceiver,
} from "@lentilspur/ports/key_orders";
import type { SendOutcome } from "@lentilspur/ports/request_sender";
import type { TargetIncarnation } from "@lentilspur/routing/target_incarnation";
import {
  findPathEvidence,
  type PathEvent,
  type PathEvidence,
  TargetPaths,
} from "@lentilspur/routing/target_paths";

export interface PathMonitorOptions {
  readonly clock: Clock;
  readonly findTarget: (id: string) => TargetIncarnation | undefined;
  /** Lists all targets that this instance knows. */
  readonly listTargets: () => readonly TargetIncarnation[];
  readonly observe: (event: PathEvent) => void;
}

export class PathMonitor {
  readonly paths: TargetPaths;
  readonly #options: PathMonitorOptions;

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

  /** Must be called at short intervals. */
  advance(): void {
    const { clock, listTargets } = this.#options;
    this.paths.advance(listTargets(), clock.readMs());
  }

  #record(
    target: TargetIncarnation,
    evidence: PathEvidence | undefined,
    sentAtMs: number,
  ): void {
    const nowMs = this.#options.clock.readMs();
    switch (evidence?.kind) {
      case "response":
        this.paths.recordResponse(nowMs);
        return;
      case "failure":
        this.paths.recordFailure(target, evidence.failure, { sentAtMs, nowMs });
        return;
      case undefined:
        return;
    }
  }
}

function findOrderEvidence(outcome: OrderOutcome): PathEvidence | undefined {
  switch (outcome.kind) {
    case "done":
    case "superseded":
    case "replaced":
      return { kind: "response" };
    case "unsent":
      return { kind: "failure", failure: "no-connection" };
    case "unanswered":
      return { kind: "failure", failure: "silent" };
    case "session-over":
      return undefined;
  }
}
