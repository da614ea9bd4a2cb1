/**
 * Turns what the parts of an instance observe into log lines and metrics. Each
 * line says what decided and how old that was, so that a request's id leads to
 * its cause.
 */
import type { ErrorKind } from "@lentilspur/outcomes/error_kinds";
import type { CatalogueEvent } from "./views/catalogue_event.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { KeeperServiceEvent } from "./keeper/keeper_service.ts";
import type {
  LogFields,
  LogPriority,
  StructuredLogger,
} from "./structured_logger.ts";
import type { QuarantineEvent } from "./requests/request_quarantine.ts";
import type { LimitEvent } from "./requests/target_limits.ts";
import type { PartitionViewEvent } from "./views/partition_view.ts";
import type { RequestEvent } from "./requests/request_reporter.ts";

export class EventReporter {
  readonly #lines: StructuredLogger;
  readonly #metrics: GatewayMetrics;
  #shareFails = false;

  constructor(lines: StructuredLogger, metrics: GatewayMetrics) {
    this.#lines = lines;
    this.#metrics = metrics;
  }

  observeRequest(event: RequestEvent): void {
    const { kind, ...fields } = event;
    const isAnswered = event.outcome === "answered";
    this.#lines.log(kind, isAnswered ? "routine" : "notable", fields);
    const { service, outcome } = event;
    switch (event.kind) {
      case "send":
        this.#metrics.sends.inc({ service, outcome });
        this.#metrics.placeWait.observe({ service }, event.waitedMs / 1_000);
        return;
      case "final":
        this.#metrics.requests.inc({ service, outcome });
        this.#metrics.latency.observe(
          { service, outcome },
          event.tookMs / 1_000,
        );
        return;
    }
  }

  observeCatalogue(event: CatalogueEvent): void {
    const { kind, ...fields } = event;
    this.#lines.log(kind, "notable", fields);
    if (event.kind === "evacuation") {
      this.#metrics.evacuations.inc({ state: event.state });
    }
  }

  observeStoreView(event: PartitionViewEvent): void {
    const { kind, ...fields } = event;
    this.#lines.log(`store-${kind}`, "notable", fields);
  }

  observeQuarantine(event: QuarantineEvent): void {
    this.#metrics.suspicions.inc({ event: event.kind });
    this.#log(`request-${event.kind}`, event);
  }

  observeLimit(event: LimitEvent): void {
    const { kind, ...fields } = event;
    this.#lines.log(kind, "notable", fields);
  }

  observeKeeper(event: KeeperServiceEvent): void {
    switch (event.kind) {
      case "keeper":
        this.#observeKeeperEvent(event);
        return;
      case "share-failed":
        this.#reportShare(event.cause);
        return;
      case "share":
        this.#shareFails = false;
        this.#log("keeper-share", event);
        return;
      case "claimed":
      case "claim-failed":
      case "waits":
      case "record-fault":
      case "pledges-asked":
      case "pledge-answered":
      case "predecessor-stopped":
        this.#log(`keeper-${event.kind}`, event);
        return;
    }
  }

  reportEarlyFailure(failure: {
    readonly requestId: string | undefined;
    readonly kind: ErrorKind;
    readonly message: string;
  }): void {
    const { kind: outcome, requestId, message } = failure;
    this.#lines.log("final", "notable", { requestId, outcome, message });
    this.#metrics.requests.inc({ service: "", outcome });
  }

  reportFault(message: string): void {
    this.#lines.log("fault", "notable", { message });
  }

  /** A store that is away fails each join: the first one says it. */
  #reportShare(cause: string): void {
    if (!this.#shareFails) {
      this.#lines.log("keeper-share-failed", "notable", { cause });
    }
    this.#shareFails = true;
  }

  #observeKeeperEvent(event: KeeperServiceEvent & { kind: "keeper" }): void {
    const { partition, event: inner } = event;
    if (inner.kind !== "order") {
      this.#log(`keeper-${inner.kind}`, { part: partition.part, ...inner });
      return;
    }
    this.#metrics.orders.inc({ order: inner.order, outcome: inner.outcome });
    // Renewals that succeed say nothing new; the counter has them.
    if (inner.order !== "renew" || inner.outcome !== "done") {
      this.#log("key-order", { part: partition.part, ...inner });
    }
  }

  #log(
    event: string,
    fields: LogFields,
    weight: LogPriority = "notable",
  ): void {
    const { kind: _kind, ...rest } = fields;
    this.#lines.log(event, weight, rest);
  }
}
