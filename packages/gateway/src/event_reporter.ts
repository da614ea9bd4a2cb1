/**
 * Turns the events of an instance's components into log lines and metrics. Each
 * line carries what led to a decision and how old that information was, so that
 * an operator can trace a request's outcome to its cause by the request id.
 */
import type { ErrorKind } from "@lentilspur/outcomes/error_kinds";
import type { StoreEraChange } from "@lentilspur/ports/store";
import type { LatePart } from "./entry/caller_connection.ts";
import type { StreamDelivery } from "./entry/stream_writer.ts";
import { removeOldest } from "@lentilspur/routing/bounded_collections";
import type { CatalogueEvent, IgnoredEvent } from "./views/catalogue_event.ts";
import type { Fault, UnreadableRecord } from "./fault.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { KeeperServiceEvent } from "./keeper/keeper_service.ts";
import type {
  LogFields,
  LogPriority,
  StructuredLogger,
} from "./structured_logger.ts";
import type { QuarantineEvent } from "./requests/request_quarantine.ts";
import type { RetryClaim } from "@lentilspur/routing/retry_budget";
import type { PathEvent } from "@lentilspur/routing/target_paths";
import type { LateRequests } from "./requests/service_registry.ts";
import type { LimitEvent } from "./requests/target_limits.ts";
import type { PartitionViewEvent } from "./views/partition_view.ts";
import type { RequestEvent } from "./requests/request_reporter.ts";

/** Records whose last fault is remembered, so that it is logged only once. */
const MAX_REMEMBERED_FAULTS = 1_000;

export class EventReporter {
  readonly #logger: StructuredLogger;
  readonly #metrics: GatewayMetrics;
  #hasReportedAssignmentFailure = false;
  /** By record and key: why it could not be decoded when this was last logged. */
  readonly #lastFaults = new Map<string, string>();

  constructor(logger: StructuredLogger, metrics: GatewayMetrics) {
    this.#logger = logger;
    this.#metrics = metrics;
  }

  observeRequest(event: RequestEvent): void {
    const { kind, ...fields } = event;
    this.#logger.log(kind, choosePriority(event), fields);
    const { service, outcome } = event;
    if (event.kind !== "forward" && event.retryClaim !== undefined) {
      this.#countRetryClaim(event.kind, service, event.retryClaim);
    }
    switch (event.kind) {
      case "send":
        this.#metrics.sends.inc({ service, outcome });
        if (event.proof !== undefined) {
          const { idempotent, proof } = event;
          this.#metrics.notRunSends
            .inc({ service, idempotent: String(idempotent), proof });
        }
        if (event.cause === "garbled") {
          this.#metrics.invalidResponses.inc({ service });
        }
        if (event.isRecheck === true) {
          this.#metrics.rechecks.inc({ service, outcome });
        }
        if (event.expectedMs !== undefined) {
          this.#metrics.overdueSends.inc({ service });
        }
        if (event.attempt > 1) {
          this.#metrics.retries.inc({ service, outcome });
        }
        this.#metrics.placeWait.observe({ service }, event.waitedMs / 1_000);
        return;
      case "forward":
        this.#metrics.forwards.inc({ service, outcome });
        if (event.cause === "garbled" && outcome === "lost") {
          this.#metrics.invalidResponses.inc({ service });
        }
        return;
      case "final":
        this.#metrics.requests.inc({ service, outcome });
        if (event.refusal !== undefined) {
          const { reason } = event.refusal;
          this.#metrics.placeRefusals.inc({ service, reason });
        }
        this.#metrics.latency.observe(
          { service, outcome },
          event.tookMs / 1_000,
        );
        if (event.isCloseDelimited === true) {
          this.#metrics.closeDelimitedResponses.inc({ service });
        }
        return;
    }
  }

  /** Counts a granted claim when it is sent, a refused one at the end. */
  #countRetryClaim(
    kind: "send" | "final",
    service: string,
    claim: RetryClaim,
  ): void {
    if (kind === "send" && claim.kind === "granted") {
      this.#metrics.retryClaims.inc({ service, decision: claim.ticket.part });
    } else if (kind === "final" && claim.kind === "refused") {
      this.#metrics.retryClaims.inc({ service, decision: "refused" });
    }
  }

  observeLateRequests({ requests, latenessMs }: LateRequests): void {
    const rounded = Math.round(latenessMs);
    this.#log("late-requests", { requests, latenessMs: rounded });
    this.#metrics.lateRequests.inc(requests);
  }

  /** A connection was closed since `connections` were open. */
  observeClosedConnection(connections: number): void {
    this.#log("connection-closed", { reason: "limit", connections });
    this.#metrics.closedConnections.inc();
  }

  /** A caller was answered with 408. */
  observeLateCaller(part: LatePart): void {
    this.#log("caller-late", { part });
    this.#metrics.lateCallers.inc({ part });
  }

  observeDelivery(
    { requestId, result, bytes, message }: StreamDelivery & {
      readonly requestId: string | undefined;
    },
  ): void {
    this.#metrics.streamedResponses.inc({ result });
    this.#metrics.streamedBytes.inc(bytes);
    // The `final` line tells enough of a response that was delivered whole.
    if (result !== "complete") {
      this.#log("streamed", { requestId, result, bytes, message });
    }
  }

  observeCatalogue(event: CatalogueEvent): void {
    const { kind, ...fields } = event;
    if ("isUnreadable" in event && event.isUnreadable) {
      this.#observeUnreadable(toUnreadableRecord(event));
      return;
    }
    this.#logger.log(kind, "notable", fields);
    if (event.kind === "evacuation") {
      this.#metrics.evacuations.inc({ state: event.state });
    }
  }

  observeStoreView(event: PartitionViewEvent): void {
    const { kind, ...fields } = event;
    this.#logger.log(`store-${kind}`, "notable", fields);
  }

  observeStoreEra({ era, previousEra }: StoreEraChange): void {
    this.#logger.log("era-changed", "notable", { era, previousEra });
    this.#metrics.storeEra.set(era);
    if (previousEra !== undefined) {
      this.#metrics.storeRestores.inc();
    }
  }

  observeQuarantine(event: QuarantineEvent): void {
    this.#metrics.suspicions.inc({
      event: event.kind,
      reason: "reason" in event ? event.reason : "",
    });
    this.#log(`request-${event.kind}`, event);
  }

  observePath(event: PathEvent): void {
    const label = event.kind === "paths" ? event.state : event.kind;
    this.#metrics.pathEvents.inc({ event: label });
    this.#log(event.kind, event);
  }

  observeLimit(event: LimitEvent): void {
    const { kind, ...fields } = event;
    this.#logger.log(kind, "notable", fields);
  }

  observeKeeper(event: KeeperServiceEvent): void {
    switch (event.kind) {
      case "keeper":
        this.#observeKeeperEvent(event);
        return;
      case "share-failed":
        this.#reportAssignmentFailure(event.cause);
        return;
      case "share":
        this.#hasReportedAssignmentFailure = false;
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
    this.#logger.log("final", "notable", { requestId, outcome, message });
    this.#metrics.requests.inc({ service: "", outcome });
  }

  reportFault(fault: Fault): void {
    if (typeof fault === "string") {
      this.#logger.log("fault", "notable", { message: fault });
    } else {
      this.#observeUnreadable(fault);
    }
  }

  /**
   * Counts a record that was left out, and logs it unless the last line about
   * its key said the same: a writer may repeat its record every second.
   */
  #observeUnreadable({ record, key, why }: UnreadableRecord): void {
    this.#metrics.unreadableRecords.inc({ record });
    const name = `${record} ${key}`;
    if (this.#lastFaults.get(name) === why) {
      return;
    }
    this.#lastFaults.delete(name);
    this.#lastFaults.set(name, why);
    removeOldest(this.#lastFaults, MAX_REMEMBERED_FAULTS);
    this.#logger.log("record-ignored", "unreadable", { record, key, why });
  }

  /**
   * Reports that this instance could not join the group of keepers, which
   * assigns partitions to it. While the store is unavailable, each attempt
   * fails; only the first failure is logged.
   */
  #reportAssignmentFailure(cause: string): void {
    if (!this.#hasReportedAssignmentFailure) {
      this.#logger.log("keeper-share-failed", "notable", { cause });
    }
    this.#hasReportedAssignmentFailure = true;
  }

  #observeKeeperEvent(event: KeeperServiceEvent & { kind: "keeper" }): void {
    const { partition, event: keeperEvent } = event;
    if (keeperEvent.kind === "planned") {
      for (const [reason, count] of Object.entries(keeperEvent.movedKeys)) {
        this.#metrics.plannedKeys.inc({ reason }, count);
      }
    }
    if (keeperEvent.kind !== "order") {
      this.#log(`keeper-${keeperEvent.kind}`, {
        part: partition.part,
        ...keeperEvent,
      });
      return;
    }
    this.#metrics.orders.inc({
      order: keeperEvent.order,
      outcome: keeperEvent.isForeign ? "foreign" : keeperEvent.outcome,
    });
    // Successful renewals are only counted, since their lines would add
    // nothing.
    if (keeperEvent.order !== "renew" || keeperEvent.outcome !== "done") {
      this.#log("key-order", { part: partition.part, ...keeperEvent });
    }
  }

  #log(
    event: string,
    fields: LogFields,
    priority: LogPriority = "notable",
  ): void {
    const { kind: _kind, ...rest } = fields;
    this.#logger.log(event, priority, rest);
  }
}

function toUnreadableRecord(event: IgnoredEvent): UnreadableRecord {
  return event.kind === "target-ignored"
    ? { record: "target", key: event.targetId, why: event.why }
    : { record: "configuration", key: "", why: event.why };
}

function choosePriority(event: RequestEvent): LogPriority {
  if (event.idempotent === false && isOfRepeatedRequest(event)) {
    return "repeated";
  }
  const isAnswered = event.outcome === "answered" ||
    (event.kind === "forward" && event.sendOutcome === "answered");
  return isAnswered ? "routine" : "notable";
}

/** Whether the request was sent before, or may be sent again after this. */
function isOfRepeatedRequest(event: RequestEvent): boolean {
  switch (event.kind) {
    case "send":
      return event.attempt > 1 || event.proof !== undefined ||
        event.origin !== undefined;
    case "forward":
      return true;
    case "final":
      return event.sends > 1;
  }
}
