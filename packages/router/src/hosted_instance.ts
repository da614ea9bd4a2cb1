/**
 * The instance as its servers see it. They listen before it exists, because it
 * has to know its own addresses when it joins; until then it can do nothing,
 * and says so truly.
 */
import { makeRequestError } from "@lentilspur/outcomes/error_kinds";
import type { PeerService } from "@lentilspur/ports/peer";
import { makeErrorAnswer } from "./entry/answers.ts";
import type { CallerAnswer, CallerRequest } from "./entry/caller.ts";
import type { CallerGateway } from "./http/caller_handler.ts";
import type {
  InstanceStatus,
  InstanceView,
} from "./http/instance_endpoints.ts";
import type { Instance } from "./instance.ts";
import type { InstanceGauges, Metrics } from "./metrics.ts";
import type { StateSource } from "./state_source.ts";

/** A guardian that has not joined has pledged nothing and consents to nothing. */
const NOT_JOINED_RETRY_MS = 500;

export class HostedInstance implements CallerGateway, InstanceView {
  readonly #instanceId: string;
  readonly #dataCentre: string;
  #instance: Instance | undefined;
  #metrics: Metrics | undefined;

  constructor(options: {
    readonly instanceId: string;
    readonly dataCentre: string;
  }) {
    this.#instanceId = options.instanceId;
    this.#dataCentre = options.dataCentre;
  }

  /** Gives the servers the instance that they serve from now on. */
  open(instance: Instance, metrics: Metrics): void {
    this.#instance = instance;
    this.#metrics = metrics;
  }

  get state(): StateSource | undefined {
    return this.#instance?.state;
  }

  async handle(
    request: CallerRequest,
    signal: AbortSignal,
  ): Promise<CallerAnswer> {
    if (this.#instance === undefined) {
      return makeErrorAnswer(makeNotReadyError());
    }
    return await this.#instance.handle(request, signal);
  }

  getStatus(): InstanceStatus {
    const gauges = this.readGauges();
    return {
      instanceId: this.#instanceId,
      dataCentre: this.#dataCentre,
      inForceSinceMs: this.#instance?.inForceSinceMs ?? 0,
      ...gauges,
    };
  }

  readGauges(): InstanceGauges {
    const instance = this.#instance;
    return {
      configurationVersion: instance?.view.configurationVersion ?? 0,
      foldedOffset: instance?.view.nextOffset ?? 0,
      leaseHeld: instance?.isLeaseHeld() ?? false,
      ready: instance?.isReady() ?? false,
    };
  }

  isKnownCaller(authorization: string | undefined): boolean {
    const intake = this.#instance?.gateway.intake;
    return intake?.findAccount(authorization) !== undefined;
  }

  mintRequestId(): string {
    const intake = this.#instance?.gateway.intake;
    if (intake === undefined) {
      throw new Error("An instance that has not joined mints no request ids");
    }
    return intake.mintRequestId();
  }

  get metricsContentType(): string {
    return this.#metrics?.contentType ?? "text/plain";
  }

  renderMetrics(): Promise<string> {
    return this.#metrics?.render() ?? Promise.resolve("");
  }

  /** What peers reach. */
  get peerService(): PeerService {
    return {
      renew: (request) =>
        this.#instance?.service.renew(request) ??
          Promise.resolve({ kind: "unable", message: "not joined yet" }),
      consent: (request) =>
        this.#instance?.service.consent(request) ??
          Promise.resolve({ kind: "pledged", forMs: NOT_JOINED_RETRY_MS }),
      forward: (request, signal) =>
        this.#instance?.service.forward(request, signal) ??
          Promise.resolve({ kind: "not-steward", foldedOffset: 0 }),
      transfer: (request) =>
        this.#instance?.service.transfer(request) ?? Promise.resolve(),
      reportLoad: (report) =>
        this.#instance?.service.reportLoad(report) ?? Promise.resolve(),
      reportDemand: (report) =>
        this.#instance?.service.reportDemand(report) ??
          Promise.resolve({ others: [] }),
    };
  }
}

function makeNotReadyError() {
  return makeRequestError("not-ready", "The instance has not joined yet", {
    retryAfterMs: NOT_JOINED_RETRY_MS,
  });
}
