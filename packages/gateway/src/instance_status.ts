/** What an instance says of itself: whether it is ready, its state, its gauges. */
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
  /** Drawn anew at each start of the process. */
  readonly incarnation: string;
  readonly catalogue: Catalogue;
  readonly logger: StructuredLogger;
  /** Whether callers are asked to come. */
  readonly isReady: () => boolean;
  /** What this instance does for others now. */
  readonly listDuties: () => readonly Duty[];
  /** Requests without an answer yet. */
  readonly countOpenRequests: () => number;
  /** Requests that wait for a place. */
  readonly countWaitingRequests: () => number;
  readonly countQuarantinedRequests: () => number;
  readonly countLimitedTargets: () => number;
}

/** Beside readiness, on the same port. */
const STATUS_PATH = "/status";

export class InstanceStatus {
  readonly #options: InstanceStatusOptions;
  #inForceSinceMs = 0;
  #wasReady = false;
  #duties = "";

  constructor(options: InstanceStatusOptions) {
    this.#options = options;
  }

  /** Another configuration has come into force. */
  recordConfiguration(): void {
    this.#inForceSinceMs = this.#options.clock.readMs();
  }

  /** Logs where readiness has changed, with what decided it. */
  logReadinessChange(): void {
    const { isReady, logger: lines, catalogue } = this.#options;
    if (isReady() !== this.#wasReady) {
      this.#wasReady = isReady();
      lines.log("ready", "notable", {
        isReady: this.#wasReady,
        configurationVersion: catalogue.table?.version ?? null,
        targets: catalogue.targetCount,
      });
    }
  }

  /** Logs where the work that falls to this instance has changed. */
  logDutyChange(): void {
    const { listDuties, logger: lines } = this.#options;
    const duties = listDuties();
    if (duties.join() !== this.#duties) {
      this.#duties = duties.join();
      lines.log("duties", "notable", { duties });
    }
  }

  /** Any path but one asks whether it is ready. */
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
      logger: lines,
      countOpenRequests: countOpen,
      countWaitingRequests: countWaiting,
      countQuarantinedRequests: countQuarantined,
      countLimitedTargets: countLimited,
    } = this.#options;
    return {
      waiting: countWaiting(),
      openRequests: countOpen(),
      targets: catalogue.targetCount,
      configurationVersion: catalogue.table?.version ?? 0,
      droppedLines: lines.droppedCount,
      quarantined: countQuarantined(),
      limited: countLimited(),
      evacuated: catalogue.listEvacuated().length,
    };
  }

  #answerStatus(): MonitoringResponse {
    const { settings, incarnation, clock, catalogue } = this.#options;
    const { isReady, countOpenRequests: countOpen, listDuties } = this.#options;
    const status = {
      instance: settings.instance,
      incarnation,
      dataCentre: settings.dataCentre,
      isReady: isReady(),
      configurationVersion: catalogue.table?.version ?? 0,
      inForceForMs: Math.round(clock.readMs() - this.#inForceSinceMs),
      targets: catalogue.targetCount,
      openRequests: countOpen(),
      duties: listDuties(),
      evacuated: catalogue.listEvacuated(),
    };
    return {
      status: 200,
      contentType: "application/json",
      body: JSON.stringify(status),
    };
  }
}
