/** Describes this instance to the outside: readiness, status and gauges. */
import type { Clock } from "@lentilspur/ports/clock";
import type { Catalogue } from "./views/catalogue.ts";
import type { Duty } from "./members/duties.ts";
import type { GatewayGauges } from "./gateway_metrics.ts";
import type { ResolvedGatewaySettings } from "./gateway_settings.ts";
import type { StructuredLogger } from "./structured_logger.ts";
import type { MonitoringResponse } from "./entry/monitoring_server.ts";

export interface InstanceStatusOptions {
  readonly clock: Clock;
  readonly settings: ResolvedGatewaySettings;
  /** Random, and new at each start of the process. */
  readonly incarnation: string;
  readonly catalogue: Catalogue;
  readonly logger: StructuredLogger;
  /** Whether callers should send requests to this instance. */
  readonly isReady: () => boolean;
  readonly listDuties: () => readonly Duty[];
  /** Requests without an answer yet. */
  readonly countOpenRequests: () => number;
  /** Granted retries that may still reach their targets. */
  readonly countOpenRetries: () => number;
  readonly countHeldRequests: () => number;
  /** Memory of large responses that are read ahead. */
  readonly countReadAheadBytes: () => number;
  readonly countCallerMemoryBytes: () => number;
  /** Requests that wait for a place at a target. */
  readonly countWaitingRequests: () => number;
  readonly countQuarantinedRequests: () => number;
  readonly countLimitedTargets: () => number;
  /** Targets that this instance cannot reach. */
  readonly countLostPaths: () => number;
  /** Whether this instance reaches no target. */
  readonly isIsolated: () => boolean;
}

/** Served on the same port as readiness. */
const STATUS_PATH = "/status";

export class InstanceStatus {
  readonly #options: InstanceStatusOptions;
  #inForceSinceMs = 0;
  #wasReady = false;
  #duties = "";

  constructor(options: InstanceStatusOptions) {
    this.#options = options;
  }

  /** Records when a new configuration comes into force. */
  recordConfiguration(): void {
    this.#inForceSinceMs = this.#options.clock.readMs();
  }

  /** Logs a change of readiness with its cause. */
  logReadinessChange(): void {
    const { isReady, logger, catalogue } = this.#options;
    if (isReady() !== this.#wasReady) {
      this.#wasReady = isReady();
      logger.log("ready", "notable", {
        isReady: this.#wasReady,
        configurationVersion: catalogue.routingTable?.version ?? null,
        targets: catalogue.targetCount,
      });
    }
  }

  /** Logs a change of the instance's duties. */
  logDutyChange(): void {
    const { listDuties, logger } = this.#options;
    const duties = listDuties();
    if (duties.join() !== this.#duties) {
      this.#duties = duties.join();
      logger.log("duties", "notable", { duties });
    }
  }

  /** Answers with the status on `STATUS_PATH`, and with readiness on others. */
  answer(path: string): MonitoringResponse {
    if (path === STATUS_PATH) {
      return this.#answerStatus();
    }
    const isReady = this.#options.isReady();
    return {
      status: isReady ? 200 : 503,
      contentType: "text/plain",
      body: isReady ? "ready\n" : "not ready\n",
    };
  }

  readGauges(): GatewayGauges {
    const {
      catalogue,
      logger,
      countOpenRequests,
      countOpenRetries,
      countHeldRequests,
      countReadAheadBytes,
      countCallerMemoryBytes,
      countWaitingRequests,
      countQuarantinedRequests,
      countLimitedTargets,
      countLostPaths,
    } = this.#options;
    return {
      waiting: countWaitingRequests(),
      openRequests: countOpenRequests(),
      openRetries: countOpenRetries(),
      heldRequests: countHeldRequests(),
      readAheadBytes: countReadAheadBytes(),
      callerMemoryBytes: countCallerMemoryBytes(),
      targets: catalogue.targetCount,
      configurationVersion: catalogue.routingTable?.version ?? 0,
      droppedLines: logger.droppedCount,
      quarantined: countQuarantinedRequests(),
      limited: countLimitedTargets(),
      lostPaths: countLostPaths(),
      evacuated: catalogue.listEvacuated().length,
    };
  }

  #answerStatus(): MonitoringResponse {
    const { settings, incarnation, clock, catalogue } = this.#options;
    const { isReady, countOpenRequests, listDuties, countLostPaths } =
      this.#options;
    const { isIsolated } = this.#options;
    const status = {
      instance: settings.instance,
      incarnation,
      dataCentre: settings.dataCentre,
      isReady: isReady(),
      configurationVersion: catalogue.routingTable?.version ?? 0,
      inForceForMs: Math.round(clock.readMs() - this.#inForceSinceMs),
      targets: catalogue.targetCount,
      openRequests: countOpenRequests(),
      duties: listDuties(),
      evacuated: catalogue.listEvacuated(),
      lostPaths: countLostPaths(),
      isIsolated: isIsolated(),
    };
    return {
      status: 200,
      contentType: "application/json",
      body: JSON.stringify(status),
    };
  }
}
