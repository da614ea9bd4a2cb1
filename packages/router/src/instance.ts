/**
 * One instance, assembled from ports: the replica of the log, the control
 * side, and the data path. It knows no network, so the fuzzer runs the same
 * code on fakes and a virtual clock.
 */
import type { ErrorKind } from "@lentilspur/outcomes/error_kinds";
import type { Clock, Random } from "@lentilspur/ports/clock";
import type { InstanceListPort } from "@lentilspur/ports/instance_list";
import type { LogPort } from "@lentilspur/ports/log";
import type {
  ForwardReply,
  ForwardRequest,
  PeerPort,
  PeerService,
} from "@lentilspur/ports/peer";
import type { TargetPort } from "@lentilspur/ports/target";
import type { ReplicaListener } from "@lentilspur/transport/folded_log";
import { Replica } from "@lentilspur/transport/replica";
import type { DecisionSink } from "@lentilspur/proof/decision_line";
import type { InstanceDescription } from "@lentilspur/state/entries";
import type { StateView } from "@lentilspur/state/view";
import { ConfigurationWatch } from "./configuration_watch.ts";
import { Control } from "./control/control.ts";
import type { CallerAnswer, CallerRequest } from "./entry/caller.ts";
import { Gateway } from "./entry/gateway.ts";
import { ReplicaAccess } from "./replica_access.ts";
import type { ControlTiming } from "./settings.ts";
import type { StateSource } from "./state_source.ts";
import { Dispatcher } from "./steward/dispatcher.ts";

export interface InstanceOptions {
  readonly instance: InstanceDescription;
  readonly timing: ControlTiming;
  readonly logStream: string;
  readonly checkpointStream: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: LogPort;
  readonly instanceList: InstanceListPort;
  readonly targets: TargetPort;
  readonly peers: PeerPort;
  readonly decisions: DecisionSink;
  /** Told of refusals that leave no decision line, for the metrics. */
  readonly recordEarlyRefusal?: (kind: ErrorKind) => void;
  /** Told of everything that the replica of the log meets. */
  readonly observeReplica?: ReplicaListener;
}

type Phase = "starting" | "serving" | "stopping" | "left" | "ended";

/** Between two looks whether the requests in progress are done. */
const DRAIN_POLL_MS = 10;
/** A peer hands over one target a second; the last instance never gets away. */
const LEAVE_ATTEMPTS = 5;
/** Peers that lag behind the log still ask for this long, and are sent on. */
const PEER_NOTICE_MS = 500;

export class Instance {
  readonly service: PeerService;
  readonly #options: InstanceOptions;
  readonly #replica: Replica;
  readonly #access: ReplicaAccess;
  readonly #control: Control;
  readonly #dispatcher: Dispatcher;
  readonly #gateway: Gateway;
  readonly #configuration: ConfigurationWatch;
  readonly #running = new AbortController();
  #phase: Phase = "starting";
  #requestsInProgress = 0;

  constructor(options: InstanceOptions) {
    this.#options = options;
    const { instance, timing, clock, peers, decisions } = options;
    this.#replica = createReplica(options);
    this.#access = new ReplicaAccess(this.#replica, instance.id);
    this.#configuration = new ConfigurationWatch({
      clock,
      decisions,
      readVersion: () => this.#replica.view.configurationVersion,
    });
    this.#replica.watch((event) => this.#configuration.observe(event));
    if (options.observeReplica !== undefined) {
      this.#replica.watch(options.observeReplica);
    }
    this.#control = new Control({
      ...options,
      log: this.#access,
      getMeter: () => this.#dispatcher.meter,
      getWork: () => this.#dispatcher,
    });
    const shared = {
      state: this.#access,
      clock,
      decisions,
      maxChangeWaitMs: timing.maxChangeWaitMs,
    };
    this.#dispatcher = new Dispatcher({
      ...options,
      ...shared,
      authority: this.#control.stewardships,
    });
    this.#gateway = new Gateway({
      ...shared,
      instanceId: instance.id,
      local: this.#dispatcher,
      peers,
      ...(options.recordEarlyRefusal === undefined
        ? {}
        : { recordEarlyRefusal: options.recordEarlyRefusal }),
    });
    this.service = this.#buildService();
  }

  /** Resolves once this instance has joined; its tasks go on until it stops. */
  async start(): Promise<void> {
    const signal = this.#running.signal;
    void this.#replica.run(signal);
    await this.#replica.waitUntilCaughtUp(signal);
    await this.#control.start();
    void this.#gateway.run(signal);
    if (this.#phase === "starting") {
      this.#phase = "serving";
    }
    void this.#watchForEnd();
  }

  /** Answers one caller's request; never rejects. */
  async handle(
    request: CallerRequest,
    signal: AbortSignal,
  ): Promise<CallerAnswer> {
    this.#requestsInProgress++;
    try {
      return await this.#gateway.handle(request, signal);
    } finally {
      this.#requestsInProgress--;
    }
  }

  /** For what an HTTP server must know before it reads a body. */
  get gateway(): Gateway {
    return this.#gateway;
  }

  get state(): StateSource {
    return this.#access;
  }

  get view(): StateView {
    return this.#access.getView();
  }

  /** Milliseconds since this instance took the present configuration up. */
  get inForceSinceMs(): number {
    return this.#configuration.inForceSinceMs;
  }

  isLeaseHeld(): boolean {
    return this.#control.isLeaseHeld();
  }

  /** Whether the platform's balancer should send callers here. */
  isReady(): boolean {
    return this.#phase === "serving" && this.isLeaseHeld();
  }

  /** It was taken over, or can never hold its lease again: start a new one. */
  hasEnded(): boolean {
    return this.#phase === "ended";
  }

  /**
   * A planned stop: hands every target over, finishes every request in
   * progress, leaves the members, and ends.
   *
   * It goes on reading the log until `callersGone` resolves: a caller that
   * still comes in would otherwise meet an instance that stands still.
   */
  async stop(
    options: { readonly callersGone?: Promise<void> } = {},
  ): Promise<void> {
    this.#phase = "stopping";
    await this.#control.drain();
    await options.callersGone;
    await this.#waitForCallers();
    await this.#leaveMembers();
    this.#phase = "left";
    await this.#options.clock.sleep(PEER_NOTICE_MS);
    await this.#waitForCallers();
    this.close();
  }

  async #waitForCallers(): Promise<void> {
    while (this.#requestsInProgress > 0) {
      await this.#options.clock.sleep(DRAIN_POLL_MS);
    }
  }

  /**
   * Guards against a peer that does not know of the stop and hands a target
   * back: it shows as a refusal of the leave. The target is handed over again;
   * left behind, it would be unserved until a take-over.
   */
  async #leaveMembers(): Promise<void> {
    const { id } = this.#options.instance;
    for (let attempt = 0; attempt < LEAVE_ATTEMPTS; attempt++) {
      await this.#control.drain();
      await this.#control.leave();
      if (this.view.getMember(id) === undefined) {
        return;
      }
    }
  }

  /** Ends every task at once, as a loss of the process would. */
  close(): void {
    this.#phase = "ended";
    this.#control.stop();
    this.#running.abort();
  }

  async #watchForEnd(): Promise<void> {
    const { clock, timing } = this.#options;
    while (!this.#running.signal.aborted) {
      if (this.#phase === "serving" && this.#control.isBeyondRenewal()) {
        this.close();
        return;
      }
      await clock.sleep(timing.renewEveryMs, this.#running.signal);
    }
  }

  /** After it has left, an instance sends late callers' peers on at once. */
  #answerForward(
    request: ForwardRequest,
    signal: AbortSignal,
  ): Promise<ForwardReply> {
    if (this.#phase !== "left") {
      return this.#dispatcher.forward(request, signal);
    }
    const { nextOffset: foldedOffset } = this.view;
    return Promise.resolve({ kind: "not-steward", foldedOffset });
  }

  #buildService(): PeerService {
    return {
      renew: (request) => Promise.resolve(this.#control.answerRenewal(request)),
      consent: (request) =>
        Promise.resolve(this.#control.answerConsent(request)),
      forward: (request, signal) => this.#answerForward(request, signal),
      transfer: (request) => {
        this.#control.handleTransfer(request);
        return Promise.resolve();
      },
      reportDemand: (report) =>
        Promise.resolve(this.#gateway.handleDemand(report)),
      reportLoad: (report) => {
        this.#control.handleLoadReport(report);
        return Promise.resolve();
      },
    };
  }
}

function createReplica(options: InstanceOptions): Replica {
  return new Replica({
    log: options.log,
    clock: options.clock,
    random: options.random,
    stream: options.logStream,
    checkpointStream: options.checkpointStream,
    checkpoints: {
      instanceId: options.instance.id,
      everyRecords: options.timing.checkpointEveryRecords,
    },
  });
}
