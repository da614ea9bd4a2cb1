/**
 * Real processes for the measurement of the path: the stand-ins of the
 * platform, targets that answer at once, and instances.
 */
import type {
  ClientAccount,
  Template,
} from "@lentilspur/declarations/template";
import { LogClient } from "@lentilspur/transport/log_client";
import { SystemClock } from "@lentilspur/ports/system_clock";
import { hashCredential } from "@lentilspur/router/entry/credential_index";
import { serializeEnvelope } from "@lentilspur/state/entry_schema";
import { request } from "undici";
import { StartedProcess } from "./started_process.ts";

export const CREDENTIAL = "measured-credential";
export const TEMPLATE_NAME = "calendars";
const LOG_STREAM = "measured";
const DATA_CENTRES = ["Kariakoo", "Msasani", "Sinza", "Upanga"] as const;
const STANDINS = "packages/standins/dist/cli.js";
const COMMANDS = "packages/cli/bin/lentilspur.js";
/** Targets are given owners and grants within a few planning rounds. */
const READY_TIMEOUT_MS = 30_000;
const POLL_MS = 20;
const SHARD_COUNT = 64;

const TEMPLATE: Template = {
  name: TEMPLATE_NAME,
  routes: [
    { method: "GET", path: "/calendars/{key}", idempotent: true },
    { method: "POST", path: "/calendars/{key}/holds", idempotent: false },
  ],
  shardCount: SHARD_COUNT,
  placesPerTarget: 2,
  deadlines: { defaultMs: 10_000, maxMs: 60_000 },
  limits: {
    maxBodyBytes: 65_536,
    maxAnswerBytes: 65_536,
    maxQueuedPerTarget: 1_000,
    maxQueueMs: 5_000,
  },
  placement: { imbalance: 1, churn: 1, unservedTime: 1 },
  retry: { budgetRatio: 0.1, maxAttempts: 2 },
  maxHotKeys: 0,
  drainPriority: 0,
};

const ACCOUNT: ClientAccount = {
  name: "measured",
  credentialDigests: [hashCredential(CREDENTIAL)],
  templates: [{
    template: TEMPLATE_NAME,
    weight: 1,
    requestsPerSecond: 1_000_000,
    burst: 1_000_000,
    maxConcurrent: 10_000,
  }],
};

interface Routed {
  readonly decision?: string;
  readonly key?: string;
  readonly steward?: string;
}

export interface MeasuredInstance {
  readonly process: StartedProcess;
  readonly id: string;
  /** The steward that this entry last chose, by key. */
  readonly stewards: ReadonlyMap<string, string>;
}

export class PathCluster {
  readonly #log: StartedProcess;
  readonly #list: StartedProcess;
  readonly #logClient: LogClient;
  readonly #targets: StartedProcess[] = [];
  readonly #instances: MeasuredInstance[] = [];
  #version = 0;

  constructor(log: StartedProcess, list: StartedProcess) {
    this.#log = log;
    this.#list = list;
    const clock = new SystemClock();
    this.#logClient = new LogClient(`http://${log.address}`, { clock });
  }

  static async start(): Promise<PathCluster> {
    const log = await startStandin(["log"]);
    const list = await startStandin(["instance-list"]);
    return new PathCluster(log, list);
  }

  get targets(): readonly StartedProcess[] {
    return this.#targets;
  }

  get instances(): readonly MeasuredInstance[] {
    return this.#instances;
  }

  /** Adds them all at once, so that they are spread in one round. */
  async addTargets(count: number): Promise<void> {
    const started = Array.from(
      { length: count },
      (_, number) => this.#startTarget(number),
    );
    this.#targets.push(...await Promise.all(started));
  }

  async addInstance(): Promise<void> {
    const number = this.#instances.length;
    const stewards = new Map<string, string>();
    const process = await StartedProcess.start({
      module: COMMANDS,
      args: [
        "serve",
        "--data-centre",
        DATA_CENTRES[number % DATA_CENTRES.length]!,
        "--http-port",
        "0",
        "--peer-port",
        "0",
        "--log-stream",
        LOG_STREAM,
        "--log-url",
        `http://${this.#log.address}`,
        "--instance-list-url",
        `http://${this.#list.address}`,
      ],
      findAddress: (line) => /callers on ([0-9.:]+)/.exec(line)?.[1],
      observe: (line) => recordSteward(line, stewards),
    });
    const { instanceId } = await readStatus(process.address);
    this.#instances.push({ process, id: instanceId, stewards });
  }

  #startTarget(number: number): Promise<StartedProcess> {
    return startStandin([
      "target",
      "--id",
      `t${number}`,
      "--template",
      TEMPLATE_NAME,
      "--data-centre",
      DATA_CENTRES[number % DATA_CENTRES.length]!,
      "--run-ms",
      "0",
      "--instance-list-url",
      `http://${this.#list.address}`,
    ]);
  }

  /** Publishes the same declarations as a further version. */
  async publish(): Promise<number> {
    const expectedVersion = this.#version;
    this.#version++;
    const envelope = serializeEnvelope({
      id: `operator:measure/${expectedVersion}`,
      author: "operator:measure",
      entries: [{
        kind: "configuration-published",
        expectedVersion,
        operator: "measure",
        changes: [
          { kind: "template", name: TEMPLATE.name, content: TEMPLATE },
          { kind: "clientAccount", name: ACCOUNT.name, content: ACCOUNT },
        ],
      }],
    });
    const appended = await this.#logClient.append(LOG_STREAM, envelope);
    if (!appended.ok) {
      throw new Error(`The log refused the publication: ${appended.val.kind}`);
    }
    return this.#version;
  }

  /** Resolves once every key that is asked for is answered. */
  async waitUntilServed(keys: readonly string[]): Promise<void> {
    const giveUpAt = performance.now() + READY_TIMEOUT_MS;
    for (const { process } of this.#instances) {
      for (const key of keys) {
        while (!await isServed(process.address, key)) {
          if (performance.now() > giveUpAt) {
            throw new Error(`Key "${key}" is not served`);
          }
          await sleep(POLL_MS);
        }
      }
    }
  }

  async stop(): Promise<void> {
    await Promise.all(
      this.#instances.map((instance) => instance.process.stop()),
    );
    await Promise.all(this.#targets.map((target) => target.stop()));
    this.#logClient.close();
    await Promise.all([this.#log.stop(), this.#list.stop()]);
  }
}

export interface MeasuredStatus {
  readonly instanceId: string;
  readonly configurationVersion: number;
}

export async function readStatus(address: string): Promise<MeasuredStatus> {
  const answer = await request(`http://${address}/admin/status`);
  return await answer.body.json() as MeasuredStatus;
}

/** Processor time of an instance since its start, in seconds. */
export async function readProcessorSeconds(address: string): Promise<number> {
  const answer = await request(`http://${address}/metrics`);
  const text = await answer.body.text();
  return Number(/^process_cpu_seconds_total (\S+)/m.exec(text)?.[1]);
}

function startStandin(args: readonly string[]): Promise<StartedProcess> {
  return StartedProcess.start({
    module: STANDINS,
    args,
    findAddress: (line) => /"listening":"([0-9.:]+)"/.exec(line)?.[1],
  });
}

function recordSteward(line: string, stewards: Map<string, string>): void {
  if (!line.includes('"request-routed"')) {
    return;
  }
  const { key, steward } = JSON.parse(line) as Routed;
  if (key !== undefined && steward !== undefined) {
    stewards.set(key, steward);
  }
}

async function isServed(address: string, key: string): Promise<boolean> {
  const answer = await request(`http://${address}/calendars/${key}`, {
    headers: { authorization: `Bearer ${CREDENTIAL}` },
  });
  await answer.body.dump();
  return answer.statusCode === 200;
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
