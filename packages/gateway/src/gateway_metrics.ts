/** Counters, gauges and latency histograms, served at the metrics address. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Covers latency goals of 150 to 600 ms and deadlines of 1 to 6 s. */
const LATENCY_BUCKETS_S = [
  0.01,
  0.025,
  0.05,
  0.1,
  0.15,
  0.25,
  0.4,
  0.6,
  1,
  2,
  5,
];

export interface GatewayGauges {
  readonly waiting: number;
  readonly openRequests: number;
  readonly openRetries: number;
  readonly heldRequests: number;
  readonly readAheadBytes: number;
  readonly callerMemoryBytes: number;
  readonly targets: number;
  readonly configurationVersion: number;
  readonly droppedLines: number;
  readonly quarantined: number;
  readonly limited: number;
  readonly lostPaths: number;
  readonly evacuated: number;
}

export class GatewayMetrics {
  readonly #registry = new Registry();
  readonly requests = new Counter({
    name: "lentilspur_requests_total",
    help: "Requests that were answered, by service and outcome",
    labelNames: ["service", "outcome"] as const,
    registers: [this.#registry],
  });
  readonly latency = new Histogram({
    name: "lentilspur_request_seconds",
    help:
      "Time from the head of a request to its answer, by service and outcome",
    labelNames: ["service", "outcome"] as const,
    buckets: LATENCY_BUCKETS_S,
    registers: [this.#registry],
  });
  readonly placeWait = new Histogram({
    name: "lentilspur_place_wait_seconds",
    help: "How long a request waited for a place at a target, by service",
    labelNames: ["service"] as const,
    buckets: LATENCY_BUCKETS_S,
    registers: [this.#registry],
  });
  readonly placeRefusals = new Counter({
    name: "lentilspur_place_refusals_total",
    help: "Requests that failed without a place at a target, by reason",
    labelNames: ["service", "reason"] as const,
    registers: [this.#registry],
  });
  readonly rechecks = new Counter({
    name: "lentilspur_rechecks_total",
    help:
      "Sends against an outdated estimate of a target, by service and outcome",
    labelNames: ["service", "outcome"] as const,
    registers: [this.#registry],
  });
  readonly sends = new Counter({
    name: "lentilspur_sends_total",
    help: "Requests sent on a connection to a target, by service and outcome",
    labelNames: ["service", "outcome"] as const,
    registers: [this.#registry],
  });
  readonly notRunSends = new Counter({
    name: "lentilspur_not_run_sends_total",
    help:
      "Sends that are proved not to have run, by service, whether the request may run twice, and proof",
    labelNames: ["service", "idempotent", "proof"] as const,
    registers: [this.#registry],
  });
  readonly forwards = new Counter({
    name: "lentilspur_forwards_total",
    help:
      "Requests forwarded to other instances, by service and what the instance did",
    labelNames: ["service", "outcome"] as const,
    registers: [this.#registry],
  });
  readonly streamedResponses = new Counter({
    name: "lentilspur_streamed_responses_total",
    help: "Responses that were passed on in parts, by how that ended",
    labelNames: ["result"] as const,
    registers: [this.#registry],
  });
  readonly streamedBytes = new Counter({
    name: "lentilspur_streamed_bytes_total",
    help: "Bytes of responses that were passed on in parts",
    registers: [this.#registry],
  });
  readonly retries = new Counter({
    name: "lentilspur_retries_total",
    help: "Sends after the first of their request, by service and outcome",
    labelNames: ["service", "outcome"] as const,
    registers: [this.#registry],
  });
  readonly closeDelimitedResponses = new Counter({
    name: "lentilspur_close_delimited_responses_total",
    help: "Responses that ended with the target's connection, by service",
    labelNames: ["service"] as const,
    registers: [this.#registry],
  });
  readonly invalidResponses = new Counter({
    name: "lentilspur_invalid_responses_total",
    help:
      "Responses of targets and peers that were not valid, too large or another request's, by service",
    labelNames: ["service"] as const,
    registers: [this.#registry],
  });
  readonly overdueSends = new Counter({
    name: "lentilspur_overdue_sends_total",
    help: "Sends that were given up because their response was overdue",
    labelNames: ["service"] as const,
    registers: [this.#registry],
  });
  readonly retryClaims = new Counter({
    name: "lentilspur_retry_claims_total",
    help:
      "Retries that the budget granted and that were sent, by the part that they were taken from, and requests that failed after it refused one",
    labelNames: ["service", "decision"] as const,
    registers: [this.#registry],
  });
  readonly closedConnections = new Counter({
    name: "lentilspur_closed_connections_total",
    help: "Connections of callers that were closed because too many were open",
    registers: [this.#registry],
  });
  readonly lateCallers = new Counter({
    name: "lentilspur_late_callers_total",
    help: "Callers that were answered with 408, by the part that was late",
    labelNames: ["part"] as const,
    registers: [this.#registry],
  });
  readonly refusedBodies = new Counter({
    name: "lentilspur_refused_bodies_total",
    help:
      "Bodies of requests that were refused because their memory is used up",
    registers: [this.#registry],
  });
  readonly lateRequests = new Counter({
    name: "lentilspur_late_requests_total",
    help: "Requests that callers may have sent half a second before or more",
    registers: [this.#registry],
  });
  readonly latePermits = new Counter({
    name: "lentilspur_late_permits_total",
    help: "Permits for targets that came too late to be used",
    registers: [this.#registry],
  });
  readonly storeCalls = new Counter({
    name: "lentilspur_store_calls_total",
    help: "Calls to the store, by call and outcome",
    labelNames: ["call", "outcome"] as const,
    registers: [this.#registry],
  });
  readonly storeEra = new Gauge({
    name: "lentilspur_store_era",
    help: "Era of the store, which rises when it comes back from an older copy",
    registers: [this.#registry],
  });
  readonly storeRestores = new Counter({
    name: "lentilspur_store_restores_total",
    help: "Times that the store came back from an older copy, since the start",
    registers: [this.#registry],
  });
  readonly orders = new Counter({
    name: "lentilspur_key_orders_total",
    help: "Grants, renewals and releases of keys, by outcome",
    labelNames: ["order", "outcome"] as const,
    registers: [this.#registry],
  });

  readonly plannedKeys = new Counter({
    name: "lentilspur_planned_keys_total",
    help: "Keys that this instance as keeper moved to another owner, by reason",
    labelNames: ["reason"] as const,
    registers: [this.#registry],
  });

  readonly unreadableRecords = new Counter({
    name: "lentilspur_unreadable_records_total",
    help:
      "Records of the store and messages of other instances that were left out because they could not be decoded",
    labelNames: ["record"] as const,
    registers: [this.#registry],
  });

  readonly evacuations = new Counter({
    name: "lentilspur_evacuations_total",
    help: "Data centres evacuated or restored, by state",
    labelNames: ["state"] as const,
    registers: [this.#registry],
  });

  readonly suspicions = new Counter({
    name: "lentilspur_suspicions_total",
    help:
      "Crashes of targets on requests, sends that do not count as crashes, and quarantines that began, were tried or ended",
    labelNames: ["event", "reason"] as const,
    registers: [this.#registry],
  });

  readonly pathEvents = new Counter({
    name: "lentilspur_path_events_total",
    help:
      "Paths to targets lost, proved lost and regained, and times isolated from all targets or working again",
    labelNames: ["event"] as const,
    registers: [this.#registry],
  });

  constructor(readGauges: () => GatewayGauges) {
    this.#addGauge(
      "lentilspur_waiting_requests",
      "Requests that wait for a place at a target",
      () => readGauges().waiting,
    );
    this.#addGauge(
      "lentilspur_open_requests",
      "Requests without an answer yet",
      () => readGauges().openRequests,
    );
    this.#addGauge(
      "lentilspur_open_retries",
      "Granted retries that may still reach their targets",
      () => readGauges().openRetries,
    );
    this.#addGauge(
      "lentilspur_held_requests",
      "Requests that wait for earlier ones of their connections",
      () => readGauges().heldRequests,
    );
    this.#addGauge(
      "lentilspur_read_ahead_bytes",
      "Memory of large responses that callers have not taken yet",
      () => readGauges().readAheadBytes,
    );
    this.#addGauge(
      "lentilspur_caller_memory_bytes",
      "Memory of bodies of requests, and of responses that are read ahead",
      () => readGauges().callerMemoryBytes,
    );
    this.#addGauge(
      "lentilspur_targets",
      "Targets that this instance knows",
      () => readGauges().targets,
    );
    this.#addGauge(
      "lentilspur_configuration_version",
      "Version of the configuration in force",
      () => readGauges().configurationVersion,
    );
    this.#addGauge(
      "lentilspur_dropped_lines",
      "Log lines dropped since the start",
      () => readGauges().droppedLines,
    );
    this.#addGauge(
      "lentilspur_quarantined_requests",
      "Requests that are not sent to any target, since targets crash on them",
      () => readGauges().quarantined,
    );
    this.#addGauge(
      "lentilspur_evacuated_data_centres",
      "Data centres whose targets get no new work",
      () => readGauges().evacuated,
    );
    this.#addGauge(
      "lentilspur_lost_paths",
      "Targets that this instance cannot reach",
      () => readGauges().lostPaths,
    );
    this.#addGauge(
      "lentilspur_limited_targets",
      "Targets that set a limit on their requests per second",
      () => readGauges().limited,
    );
  }

  render(): Promise<string> {
    return this.#registry.metrics();
  }

  #addGauge(name: string, help: string, read: () => number): void {
    new Gauge({
      name,
      help,
      registers: [this.#registry],
      collect() {
        this.set(read());
      },
    });
  }
}
