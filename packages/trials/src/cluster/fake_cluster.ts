/**
 * Several real instances on fakes and one virtual clock, for tests that bring
 * about a failure and look at what callers and targets saw of it.
 */
import { createHash } from "node:crypto";
import type {
  AccountTemplateParameters,
  ClientAccount,
  Template,
} from "@lentilspur/declarations/template";
import { FakeInstanceList } from "@lentilspur/ports/fake_instance_list";
import { FakeLog, type FakeLogLink } from "@lentilspur/ports/fake_log";
import { FakeTarget, type TargetRequest } from "@lentilspur/ports/fake_target";
import {
  type FakeTargetLink,
  FakeTargetNetwork,
} from "@lentilspur/ports/fake_target_network";
import type { InstanceListPort } from "@lentilspur/ports/instance_list";
import type { LogPort } from "@lentilspur/ports/log";
import type { PeerPort } from "@lentilspur/ports/peer";
import type { TargetPort } from "@lentilspur/ports/target";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import type { DecisionLine } from "@lentilspur/proof/decision_line";
import { type CallerAnswer, WholeBody } from "@lentilspur/router/entry/caller";
import { Instance, type InstanceOptions } from "@lentilspur/router/instance";
import {
  type ControlTiming,
  DEFAULT_TIMING,
} from "@lentilspur/router/settings";
import { serializeEnvelope } from "@lentilspur/state/entry_schema";
import { FakePeerNetwork } from "./fake_peers.ts";
import { createGatedPort, GatedClock, ProcessGate } from "./process_gate.ts";
import { SeededRandom } from "../load/seeded_random.ts";

export const STREAM = "lentilspur";
export const CHECKPOINT_STREAM = "lentilspur-checkpoints";
export const CREDENTIAL = "producer-credential";
export const TEMPLATE_NAME = "calendars";

/** One instance with everything that a test may do to it. */
export interface ClusterInstance {
  readonly id: string;
  readonly instance: Instance;
  readonly gate: ProcessGate;
  readonly logLink: FakeLogLink;
  readonly targetLink: FakeTargetLink;
  readonly decisions: readonly DecisionLine[];
}

/** What one caller sent, and what it was told; null while it waits. */
export interface SentRequest {
  /** The instance that it was sent to. */
  readonly through: string;
  readonly key: string;
  readonly idempotent: boolean;
  readonly requestId: string | undefined;
  readonly sentAtMs: number;
  answeredAtMs: number | null;
  answer: CallerAnswer | null;
}

/**
 * Puts something between one instance and what it calls: tests break a guard
 * with it, and nothing else does.
 */
export interface PortChanges {
  readonly log?: (port: LogPort, instance: string) => LogPort;
  readonly targets?: (port: TargetPort, instance: string) => TargetPort;
  readonly peers?: (port: PeerPort, instance: string) => PeerPort;
  readonly instanceList?: (port: InstanceListPort) => InstanceListPort;
}

export interface ClusterOptions {
  readonly ports?: PortChanges;
  readonly seed?: number;
  readonly timing?: Partial<ControlTiming>;
  readonly template?: Partial<Template>;
  readonly account?: Partial<AccountTemplateParameters>;
  readonly retainRecords?: number;
  /** How long a target runs a request; 5 ms unless stated. */
  readonly getRunMs?: (request: TargetRequest) => number;
}

const DATA_CENTRES = ["Bole", "Kirkos", "Yeka"] as const;

export class FakeCluster {
  readonly clock = new VirtualClock();
  readonly log: FakeLog;
  readonly list: FakeInstanceList;
  readonly targets: FakeTargetNetwork;
  readonly peers: FakePeerNetwork;
  readonly instances = new Map<string, ClusterInstance>();
  readonly sent: SentRequest[] = [];
  /** Of all instances that ever ran. */
  readonly lines: DecisionLine[] = [];
  readonly #options: ClusterOptions;
  readonly #random: SeededRandom;
  #started = 0;

  constructor(options: ClusterOptions = {}) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed ?? 1);
    const { retainRecords } = options;
    this.log = new FakeLog(
      this.clock,
      retainRecords === undefined ? {} : { retainRecords },
    );
    this.list = new FakeInstanceList(this.clock);
    this.targets = new FakeTargetNetwork(this.clock);
    this.peers = new FakePeerNetwork(this.clock);
  }

  /** Publishes one template and one client account. */
  publish(): void {
    const template = makeTemplate(this.#options.template);
    const account = makeClientAccount(this.#options.account);
    this.log.appendNow(
      STREAM,
      serializeEnvelope({
        id: `operator:neema/${this.clock.readMs()}`,
        author: "operator:neema",
        entries: [{
          kind: "configuration-published",
          expectedVersion: 0,
          operator: "neema",
          changes: [
            { kind: "template", name: template.name, content: template },
            { kind: "clientAccount", name: account.name, content: account },
          ],
        }],
      }),
    );
  }

  addTarget(id: string, checksGrants: boolean): FakeTarget {
    const { getRunMs } = this.#options;
    const target = new FakeTarget({
      id,
      template: TEMPLATE_NAME,
      clock: this.clock,
      checksGrants,
      ...(getRunMs === undefined ? {} : { getRunMs }),
    });
    this.targets.add(target);
    this.list.set({
      kind: "target",
      id,
      address: id,
      dataCentre: this.#getDataCentre(this.targets.list().length),
      state: "live",
      template: TEMPLATE_NAME,
      checksGrants,
    });
    return target;
  }

  /** Starts one more instance; its id is new. */
  addInstance(): ClusterInstance {
    const id = `instance-${++this.#started}`;
    const gate = new ProcessGate();
    const logLink = this.log.createLink();
    const targetLink = this.targets.createLink();
    const decisions: DecisionLine[] = [];
    const instance: Instance = new Instance({
      instance: {
        id,
        peerAddress: id,
        httpAddress: id,
        dataCentre: this.#getDataCentre(this.#started),
      },
      timing: { ...DEFAULT_TIMING, ...this.#options.timing },
      logStream: STREAM,
      checkpointStream: CHECKPOINT_STREAM,
      clock: new GatedClock(this.clock, gate),
      random: this.#random,
      ...this.#createPorts(id, { gate, logLink, targetLink }),
      decisions: {
        log: (decision) => {
          const line: DecisionLine = {
            ...decision,
            instance: id,
            sequence: decisions.length,
            elapsedMs: this.clock.readMs(),
            time: new Date(this.clock.readMs()).toISOString(),
            foldedOffset: instance.view.nextOffset,
          };
          decisions.push(line);
          this.lines.push(line);
        },
      },
    });
    this.peers.add(id, { service: instance.service, gate });
    const member = { id, instance, gate, logLink, targetLink, decisions };
    this.instances.set(id, member);
    void instance.start();
    return member;
  }

  /** The process is lost at once; nothing of it ever goes on. */
  stopInstance(id: string): void {
    const member = this.instances.get(id);
    member?.gate.close();
    member?.targetLink.setSenderLost();
    this.peers.remove(id);
    this.instances.delete(id);
  }

  /** Cuts or mends an instance's links to all other instances. */
  setIsolated(id: string, isIsolated: boolean): void {
    for (const other of this.instances.keys()) {
      if (other !== id) {
        this.peers.setCut(id, other, isIsolated);
      }
    }
  }

  /** Sends one request through one instance. */
  send(
    through: string,
    key: string,
    options: {
      readonly idempotent?: boolean;
      readonly requestId?: string;
      readonly deadlineMs?: number;
    } = {},
  ): SentRequest {
    const idempotent = options.idempotent ?? true;
    const sent: SentRequest = {
      through,
      key,
      idempotent,
      requestId: options.requestId,
      sentAtMs: this.clock.readMs(),
      answeredAtMs: null,
      answer: null,
    };
    this.sent.push(sent);
    void this.#runRequest(through, sent, options.deadlineMs);
    return sent;
  }

  async #runRequest(
    through: string,
    sent: SentRequest,
    deadlineMs = 2_000,
  ): Promise<void> {
    const member = this.instances.get(through);
    if (member === undefined) {
      return;
    }
    await member.gate.wait();
    const headers = [
      { name: "authorization", value: `Bearer ${CREDENTIAL}` },
      { name: "lentilspur-deadline-ms", value: String(deadlineMs) },
    ];
    if (sent.requestId !== undefined) {
      headers.push({ name: "lentilspur-request-id", value: sent.requestId });
    }
    const answer = await member.instance.handle({
      method: sent.idempotent ? "GET" : "POST",
      path: `/calendars/${encodeURIComponent(sent.key)}`,
      headers,
      body: new WholeBody(new Uint8Array()),
    }, new AbortController().signal);
    await member.gate.wait();
    sent.answer = answer;
    sent.answeredAtMs = this.clock.readMs();
  }

  #createPorts(
    id: string,
    { gate, logLink, targetLink }: Pick<
      ClusterInstance,
      "gate" | "logLink" | "targetLink"
    >,
  ): Pick<InstanceOptions, "log" | "instanceList" | "targets" | "peers"> {
    const { ports = {} } = this.#options;
    const peerLink = this.peers.createLink(id);
    const log = ports.log?.(logLink, id) ?? logLink;
    const targets = ports.targets?.(targetLink, id) ?? targetLink;
    const peers = ports.peers?.(peerLink, id) ?? peerLink;
    const list = ports.instanceList?.(this.list) ?? this.list;
    return {
      log: createGatedPort(log, gate),
      instanceList: createGatedPort(list, gate),
      targets: createGatedPort(targets, gate),
      peers: createGatedPort(peers, gate),
    };
  }

  #getDataCentre(number: number): string {
    return DATA_CENTRES[number % DATA_CENTRES.length]!;
  }
}

/** The value of a header in an answer. */
export function findHeader(
  answer: CallerAnswer,
  name: string,
): string | undefined {
  return answer.headers.find((field) => field.name === name)?.value;
}

function makeTemplate(changes: Partial<Template> = {}): Template {
  return {
    name: TEMPLATE_NAME,
    routes: [
      { method: "GET", path: "/calendars/{key}", idempotent: true },
      { method: "POST", path: "/calendars/{key}", idempotent: false },
    ],
    shardCount: 16,
    placesPerTarget: 2,
    deadlines: { defaultMs: 2_000, maxMs: 10_000 },
    limits: {
      maxBodyBytes: 65_536,
      maxAnswerBytes: 65_536,
      maxQueuedPerTarget: 200,
      maxQueueMs: 2_000,
    },
    placement: { imbalance: 1, churn: 1, unservedTime: 1 },
    retry: { budgetRatio: 0.2, maxAttempts: 3 },
    maxHotKeys: 16,
    drainPriority: 0,
    ...changes,
  };
}

function makeClientAccount(
  changes: Partial<AccountTemplateParameters> = {},
): ClientAccount {
  return {
    name: "producer",
    credentialDigests: [createHash("sha256").update(CREDENTIAL).digest("hex")],
    templates: [{
      template: TEMPLATE_NAME,
      weight: 1,
      requestsPerSecond: 100_000,
      burst: 100_000,
      maxConcurrent: 10_000,
      ...changes,
    }],
  };
}
