/**
 * What Prometheus scrapes from `/metrics`. Request figures are taken from the
 * decisions themselves, so that a metric and the lines never disagree.
 */
import type { Decision, DecisionSink } from "@lentilspur/proof/decision_line";
import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from "prom-client";

/** Up to the longest usual deadline; dense where most answers lie. */
const SECONDS_BUCKETS = [
  0.001,
  0.002,
  0.005,
  0.01,
  0.017,
  0.05,
  0.1,
  0.25,
  0.5,
  1,
  2.5,
  5,
  10,
];
const MS_PER_SECOND = 1_000;

/** What a scrape asks the instance for. */
export interface InstanceGauges {
  readonly leaseHeld: boolean;
  readonly ready: boolean;
  readonly foldedOffset: number;
  readonly configurationVersion: number;
}

export class Metrics implements DecisionSink {
  readonly #next: DecisionSink;
  readonly #registry = new Registry();
  readonly #answered: Counter<"template" | "outcome" | "error">;
  readonly #answerSeconds: Histogram<"template">;
  readonly #dispatched: Counter<"template" | "outcome" | "cause">;
  readonly #queuedSeconds: Histogram<"template">;
  readonly #targetSeconds: Histogram<"template">;
  readonly #resends: Counter<"template" | "memory">;
  readonly #decisions: Counter<"decision">;
  readonly #refused: Counter<"error">;

  constructor(options: {
    readonly next: DecisionSink;
    readonly readGauges: () => InstanceGauges;
  }) {
    this.#next = options.next;
    const registers = [this.#registry];
    collectDefaultMetrics({ register: this.#registry });
    this.#answered = new Counter({
      name: "lentilspur_requests_answered_total",
      help: "Requests answered by this entry",
      labelNames: ["template", "outcome", "error"],
      registers,
    });
    this.#answerSeconds = new Histogram({
      name: "lentilspur_answer_seconds",
      help: "Time from a request's arrival at this entry to its answer",
      labelNames: ["template"],
      buckets: SECONDS_BUCKETS,
      registers,
    });
    this.#dispatched = new Counter({
      name: "lentilspur_dispatches_total",
      help: "Dispatches to targets that this steward settled",
      labelNames: ["template", "outcome", "cause"],
      registers,
    });
    this.#queuedSeconds = new Histogram({
      name: "lentilspur_queued_seconds",
      help: "Time a request waited for a place of its target",
      labelNames: ["template"],
      buckets: SECONDS_BUCKETS,
      registers,
    });
    this.#targetSeconds = new Histogram({
      name: "lentilspur_target_seconds",
      help: "Time from a dispatch to its settlement",
      labelNames: ["template"],
      buckets: SECONDS_BUCKETS,
      registers,
    });
    this.#resends = new Counter({
      name: "lentilspur_resends_total",
      help: "Resends that this steward answered from memory, or could not",
      labelNames: ["template", "memory"],
      registers,
    });
    this.#decisions = new Counter({
      name: "lentilspur_control_decisions_total",
      help: "Placement, lease and grant decisions of this instance",
      labelNames: ["decision"],
      registers,
    });
    this.#refused = new Counter({
      name: "lentilspur_requests_refused_early_total",
      help: "Requests refused before they had a client account and a route",
      labelNames: ["error"],
      registers,
    });
    this.#addGauges(options.readGauges);
  }

  log(decision: Decision): void {
    this.#observe(decision);
    this.#next.log(decision);
  }

  /** Counts a request that leaves no decision line. */
  recordEarlyRefusal(error: string): void {
    this.#refused.inc({ error });
  }

  get contentType(): string {
    return this.#registry.contentType;
  }

  render(): Promise<string> {
    return this.#registry.metrics();
  }

  #observe(decision: Decision): void {
    switch (decision.decision) {
      case "request-routed":
        break;
      case "request-dispatched":
        this.#queuedSeconds.observe(
          { template: decision.template },
          decision.queuedMs / MS_PER_SECOND,
        );
        break;
      case "request-settled": {
        const { template, outcome, cause = "" } = decision;
        this.#dispatched.inc({ template, outcome, cause });
        this.#targetSeconds.observe(
          { template },
          decision.tookMs / MS_PER_SECOND,
        );
        break;
      }
      case "request-answered": {
        const { template, outcome, errorKind: error = "" } = decision;
        this.#answered.inc({ template, outcome, error });
        this.#answerSeconds.observe(
          { template },
          decision.tookMs / MS_PER_SECOND,
        );
        break;
      }
      case "resend-recognised": {
        const { template, memory } = decision;
        this.#resends.inc({ template, memory });
        break;
      }
      case "move-proposed":
      case "move-released":
      case "grant-sent":
      case "target-declared-lost":
      case "instance-taken-over":
      case "lease-changed":
      case "stewardship-changed":
      case "configuration-in-force":
        this.#decisions.inc({ decision: decision.decision });
        break;
    }
  }

  #addGauges(readGauges: () => InstanceGauges): void {
    const add = (
      name: string,
      help: string,
      read: (gauges: InstanceGauges) => number,
    ): void => {
      new Gauge({
        name,
        help,
        registers: [this.#registry],
        collect() {
          this.set(read(readGauges()));
        },
      });
    };
    add(
      "lentilspur_lease_held",
      "1 while this instance may act",
      (gauges) => Number(gauges.leaseHeld),
    );
    add(
      "lentilspur_ready",
      "1 while the balancer may send here",
      (gauges) => Number(gauges.ready),
    );
    add(
      "lentilspur_folded_offset",
      "The next log offset that this instance folds",
      (gauges) => gauges.foldedOffset,
    );
    add(
      "lentilspur_configuration_version",
      "The configuration version in force here",
      (gauges) => gauges.configurationVersion,
    );
  }
}
