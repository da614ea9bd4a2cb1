/**
 * One instance as a process: its settings, clients and servers put together.
 * Decisions are made elsewhere.
 */
import { InstanceListClient } from "@lentilspur/transport/instance_list_client";
import { LogClient } from "@lentilspur/transport/log_client";
import { TargetClient } from "@lentilspur/transport/target_client";
import { SystemClock, SystemRandom } from "@lentilspur/ports/system_clock";
import { PeerClient } from "@lentilspur/protocol/peer_client";
import { PeerServer } from "@lentilspur/protocol/peer_server";
import { DecisionLog, LineLog } from "./decision_log.ts";
import { HostedInstance } from "./hosted_instance.ts";
import { HttpEntry } from "./http/http_entry.ts";
import { Instance } from "./instance.ts";
import { Metrics } from "./metrics.ts";
import { ReplicaReport } from "./replica_report.ts";
import type { InstanceSettings } from "./settings.ts";

/** Larger than any body that a template may allow, with room for its head. */
const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;
/** Balancers look for readiness about this often; callers still get in. */
const BALANCER_NOTICE_MS = 1_000;
/** Between two looks whether the instance was taken over. */
const END_CHECK_MS = 250;

export interface DaemonOptions {
  readonly settings: InstanceSettings;
  /** Where log lines go; standard output by default. */
  readonly logTo?: NodeJS.WritableStream;
}

export interface Daemon {
  readonly httpAddress: string;
  readonly peerAddress: string;
  /**
   * Resolves when the instance has ended, by `stop` or because it was taken
   * over; in the second case a process with a new id must take its place.
   */
  readonly ended: Promise<"stopped" | "taken-over">;
  /** Resolves once every request in progress is finished. */
  stop(): Promise<void>;
}

/** Resolves once the instance has joined. Rejects if it cannot listen. */
export async function startDaemon(options: DaemonOptions): Promise<Daemon> {
  const daemon = new InstanceDaemon(options);
  await daemon.start();
  return daemon;
}

class InstanceDaemon implements Daemon {
  readonly #settings: InstanceSettings;
  readonly #lines: LineLog;
  readonly #clock = new SystemClock();
  readonly #hosted: HostedInstance;
  readonly #metrics: Metrics;
  readonly #peers: PeerClient;
  readonly #targets: TargetClient;
  readonly #log: LogClient;
  readonly #instanceList: InstanceListClient;
  readonly #http: HttpEntry;
  readonly #peerServer: PeerServer;
  readonly #running = new AbortController();
  readonly #replicaReport = new ReplicaReport({
    clock: this.#clock,
    report: (level, message) => this.#report(level, message),
  });
  readonly ended: Promise<"stopped" | "taken-over">;
  #settleEnd: (how: "stopped" | "taken-over") => void = () => {};
  #instance: Instance | undefined;
  #httpAddress = "";
  #peerAddress = "";
  #stopped: Promise<void> | undefined;

  constructor(options: DaemonOptions) {
    const { settings } = options;
    const clock = this.#clock;
    this.#settings = settings;
    this.#lines = new LineLog(settings.logLevel, options.logTo);
    this.#hosted = new HostedInstance(settings);
    this.#metrics = new Metrics({
      next: new DecisionLog({
        instanceId: settings.instanceId,
        clock,
        lines: this.#lines,
        getState: () => this.#hosted.state,
      }),
      readGauges: () => this.#hosted.readGauges(),
    });
    this.#peers = new PeerClient({ clock, maxMessageBytes: MAX_MESSAGE_BYTES });
    this.#targets = new TargetClient({ clock });
    this.#log = new LogClient(settings.logUrl, { clock });
    this.#instanceList = new InstanceListClient(settings.instanceListUrl, {
      clock,
    });
    this.#http = new HttpEntry({
      instanceId: settings.instanceId,
      host: settings.httpHost,
      port: settings.httpPort,
      gateway: this.#hosted,
      instance: this.#hosted,
    });
    this.#peerServer = new PeerServer({
      instanceId: settings.instanceId,
      host: settings.peerHost,
      port: settings.peerPort,
      maxMessageBytes: MAX_MESSAGE_BYTES,
      service: this.#hosted.peerService,
    });
    this.ended = new Promise((resolve) => this.#settleEnd = resolve);
  }

  get httpAddress(): string {
    return this.#httpAddress;
  }

  get peerAddress(): string {
    return this.#peerAddress;
  }

  async start(): Promise<void> {
    this.#peerAddress = await this.#peerServer.start();
    this.#httpAddress = await this.#http.start();
    const instance = this.#createInstance();
    this.#instance = instance;
    this.#hosted.open(instance, this.#metrics);
    await instance.start();
    this.#report("info", "The instance has joined");
    void this.#watchForTakeOver(instance);
  }

  stop(): Promise<void> {
    this.#stopped ??= this.#runStop();
    return this.#stopped;
  }

  /**
   * Not ready first, then targets go to other instances while every caller
   * that still comes in is served; the listener closes when the balancer has
   * had time to notice.
   */
  async #runStop(): Promise<void> {
    this.#report("info", "The instance stops");
    this.#http.drain();
    const callersGone = this.#clock.sleep(BALANCER_NOTICE_MS)
      .then(() => this.#http.stop());
    await this.#instance?.stop({ callersGone });
    await callersGone;
    await this.#close();
    this.#settleEnd("stopped");
  }

  /**
   * Guards against a process that was paused for longer than its lease: it
   * wakes up with its targets in other hands and can never act again under its
   * id. It finishes what its callers wait for and ends.
   */
  async #watchForTakeOver(instance: Instance): Promise<void> {
    const { signal } = this.#running;
    while (!instance.hasEnded() && !signal.aborted) {
      await this.#clock.sleep(END_CHECK_MS, signal);
    }
    if (this.#stopped === undefined) {
      this.#report("error", "The instance was taken over and ends");
      this.#http.drain();
      this.#stopped = this.#http.stop().then(() => this.#close());
      await this.#stopped;
      this.#settleEnd("taken-over");
    }
  }

  async #close(): Promise<void> {
    this.#running.abort();
    await this.#peerServer.stop();
    this.#peers.close();
    this.#targets.close();
    this.#log.close();
    this.#instanceList.close();
  }

  #createInstance(): Instance {
    const { instanceId: id, dataCentre } = this.#settings;
    const { httpAddress, peerAddress } = this;
    return new Instance({
      instance: { id, dataCentre, httpAddress, peerAddress },
      timing: this.#settings.timing,
      logStream: this.#settings.logStream,
      checkpointStream: this.#settings.checkpointStream,
      clock: this.#clock,
      random: new SystemRandom(),
      log: this.#log,
      instanceList: this.#instanceList,
      targets: this.#targets,
      peers: this.#peers,
      decisions: this.#metrics,
      recordEarlyRefusal: (kind) => this.#metrics.recordEarlyRefusal(kind),
      observeReplica: (event) => this.#replicaReport.observe(event),
    });
  }

  #report(level: "info" | "error", message: string): void {
    const instance = this.#settings.instanceId;
    this.#lines.logMessage(level, message, { instance });
  }
}
