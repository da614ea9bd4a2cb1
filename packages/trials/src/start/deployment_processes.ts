/**
 * Starts and stops the processes of one deployment: store, targets and
 * instances.
 */
import { mkdirSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import type { StoreFaultMode } from "@lentilspur/ports/fake_store";
import type { RetryLimits } from "@lentilspur/routing/retry_budget";
import { request } from "undici";
import { readMonotonicMs } from "../traffic/caller.ts";
import type { Deployment, TargetGroup } from "../traffic/deployment.ts";
import { FaultyLink } from "../soak/faulty_link.ts";
import { Child } from "./child.ts";

/** Files built by `npm run build`, relative to the repository's root. */
const STANDIN_CLI_FILE = "packages/trials/dist/standins/standin_cli.js";
const LENTILSPUR_CLI_FILE = "packages/cli/bin/lentilspur.js";
/** The settings' defaults. */
const DEFAULT_RETRY_LIMITS = { ratio: 0.1, reserve: 64, windowMs: 10_000 };
const START_TIMEOUT_MS = 20_000;
const STOP_TIMEOUT_MS = 15_000;

export interface TargetProcess {
  readonly id: string;
  readonly group: TargetGroup;
  readonly dataCentre: string;
  readonly address: string;
  readonly child: Child;
}

export interface InstanceProcess {
  readonly name: string;
  readonly address: string;
  readonly statusAddress: string;
  readonly child: Child;
  /** The instance's log lines, which the audit reads. */
  readonly logFile: string;
}

/**
 * When a target's process ended unexpectedly, on the machine's monotonic clock.
 */
export interface TargetExit {
  readonly target: string;
  readonly atMs: number;
}

export interface DeploymentProcessesOptions {
  readonly deployment: Deployment;
  /** Directory for logs and histories. */
  readonly directory: string;
  /**
   * Whether instances connect to the store and to targets through proxies that
   * can inject faults.
   */
  readonly hasFaultyLinks: boolean;
  /** Limits that the instances get as settings; the defaults if missing. */
  readonly retryLimits?: RetryLimits;
}

export class DeploymentProcesses {
  readonly targets: TargetProcess[] = [];
  readonly instances: InstanceProcess[] = [];
  readonly targetExits: TargetExit[] = [];
  /**
   * Proxies by the name of the instance before them or the target behind them.
   */
  readonly links = new Map<string, FaultyLink>();
  readonly retryLimits: RetryLimits;
  readonly #options: DeploymentProcessesOptions;
  readonly #storeProcesses: Child[] = [];
  #storeAddress = "";
  #startedInstanceCount = 0;
  #startedTargetCount = 0;

  constructor(options: DeploymentProcessesOptions) {
    this.#options = options;
    this.retryLimits = options.retryLimits ?? DEFAULT_RETRY_LIMITS;
    mkdirSync(options.directory, { recursive: true });
  }

  get storeAddress(): string {
    return this.#storeAddress;
  }

  /** Log files of all instances that were ever started. */
  readonly instanceLogFiles: string[] = [];

  get historyFile(): string {
    return join(this.#options.directory, "history.jsonl");
  }

  async startStore(): Promise<void> {
    const child = this.#createChild("store", [STANDIN_CLI_FILE, "store"]);
    this.#storeProcesses.push(child);
    this.#storeAddress = await waitForListening(child);
  }

  async startTargets(): Promise<void> {
    const { targets, dataCentres } = this.#options.deployment;
    const starting = targets.flatMap((group) =>
      Array.from({ length: group.count }, (_, index) => {
        const dataCentre = dataCentres[index % dataCentres.length]!;
        return this.startTarget({ group, dataCentre });
      })
    );
    await Promise.all(starting);
  }

  /** Starts a target under a new id, also when it reuses an address. */
  async startTarget(
    options: Pick<TargetProcess, "group" | "dataCentre"> & {
      readonly address?: string;
    },
  ): Promise<void> {
    const { group, dataCentre, address: fixedAddress } = options;
    const id = `${group.template}-${++this.#startedTargetCount}`;
    const port = fixedAddress?.split(":")[1] ?? "0";
    const child = this.#createChild(id, [
      STANDIN_CLI_FILE,
      "target",
      ...["--id", id, "--port", port, "--service", group.template],
      ...["--data-centre", dataCentre, "--work-ms", String(group.workMs)],
      ...["--history-file", this.historyFile],
      ...["--store", this.#storeAddress],
    ]);
    const address = await waitForListening(child);
    if (this.#options.hasFaultyLinks) {
      const announced = await this.#openLink(id, address);
      await sendJson(`http://${address}/standin/announce`, { announced });
    }
    this.targets.push({ id, group, dataCentre, address, child });
  }

  async startInstances(): Promise<void> {
    const { instances } = this.#options.deployment;
    await Promise.all(
      Array.from({ length: instances }, () => this.startInstance()),
    );
  }

  /**
   * Starts an instance under a new name, or under that of an ended instance.
   */
  async startInstance(
    name = `instance-${++this.#startedInstanceCount}`,
  ): Promise<InstanceProcess> {
    const { ratio, reserve, windowMs } = this.retryLimits;
    const child = this.#createChild(name, [
      LENTILSPUR_CLI_FILE,
      "serve",
      ...["--instance-name", name],
      ...["--data-centre", this.getDataCentre(name)],
      ...["--port", "0", "--peer-port", "0"],
      ...["--status-port", "0", "--metrics-port", "0"],
      ...["--store", await this.#openLink(name, this.#storeAddress)],
      ...["--source-address", getSourceAddress(name)],
      ...["--retry-ratio", String(ratio)],
      ...["--retry-reserve", String(reserve)],
      ...["--retry-window", `${windowMs}ms`],
    ]);
    const address = await child.waitForOutput(
      /answers callers on ([^,\s]+),/,
      START_TIMEOUT_MS,
    );
    const statusAddress = await child.waitForOutput(
      /says how it is on ([^,\s]+),/,
      START_TIMEOUT_MS,
    );
    const { logFile } = child;
    if (!this.instanceLogFiles.includes(logFile)) {
      this.instanceLogFiles.push(logFile);
    }
    const instance = { name, address, statusAddress, child, logFile };
    this.instances.push(instance);
    return instance;
  }

  getDataCentre(instance: string): string {
    const { dataCentres } = this.#options.deployment;
    const index = Number(instance.split("-")[1]) - 1;
    return dataCentres[index % dataCentres.length]!;
  }

  /** Runs one `lentilspur` command and returns its exit code. */
  async runCommand(args: readonly string[]): Promise<number | null> {
    const child = this.#createChild("command", [
      LENTILSPUR_CLI_FILE,
      ...args,
      ...["--store", this.#storeAddress],
    ]);
    return await child.ended;
  }

  /**
   * Makes the target announce in the store that it leaves; the target keeps
   * serving.
   */
  async drainTarget({ address }: TargetProcess): Promise<void> {
    await sendJson(`http://${address}/standin/drain`, {});
  }

  /**
   * Sets the limit in requests per second that the target reports; null for
   * none.
   */
  async setTargetLimit(
    { address }: TargetProcess,
    perSecond: number | null,
  ): Promise<void> {
    await sendJson(`http://${address}/standin/limit`, { perSecond });
  }

  /**
   * Lets the target refuse requests and ask for a pause of this many seconds;
   * null ends it.
   */
  async setTargetBackoff(
    { address }: TargetProcess,
    seconds: number | null,
  ): Promise<void> {
    await sendJson(`http://${address}/standin/backoff`, { seconds });
  }

  /** Sets the share of the requests that the target refuses. */
  async setTargetRefusals(
    { address }: TargetProcess,
    share: number,
  ): Promise<void> {
    await sendJson(`http://${address}/standin/refusals`, { share });
  }

  /** Sets how the store handles calls from now on. */
  async setStoreFaultMode(faultMode: StoreFaultMode): Promise<void> {
    await sendJson(`http://${this.#storeAddress}/standin/mood`, {
      mood: faultMode,
    });
  }

  /** Lets the store come back from a copy of this age. */
  async restoreStore(copyAgeMs: number): Promise<void> {
    await sendJson(`http://${this.#storeAddress}/standin/restore`, {
      copyAgeMs,
    });
  }

  /**
   * Kills a target's process with SIGKILL, so that it cannot stop gracefully.
   */
  async killTarget(target: TargetProcess): Promise<void> {
    target.child.send("SIGKILL");
    await target.child.ended;
    this.recordTargetExit(target);
  }

  /** Records that a target's process ended, and removes the target. */
  recordTargetExit(target: TargetProcess): void {
    this.targetExits.push({ target: target.id, atMs: readMonotonicMs() });
    this.targets.splice(this.targets.indexOf(target), 1);
  }

  /**
   * Kills an instance's process with SIGKILL, so that it cannot stop
   * gracefully.
   */
  async killInstance(instance: InstanceProcess): Promise<void> {
    this.instances.splice(this.instances.indexOf(instance), 1);
    instance.child.send("SIGKILL");
    await instance.child.ended;
  }

  /** Stops an instance gracefully and returns its exit code. */
  async stopInstance(instance: InstanceProcess): Promise<number | null> {
    const code = await instance.child.stop(STOP_TIMEOUT_MS);
    this.instances.splice(this.instances.indexOf(instance), 1);
    return code;
  }

  async stopTarget(target: TargetProcess): Promise<void> {
    await target.child.stop(STOP_TIMEOUT_MS);
    this.targets.splice(this.targets.indexOf(target), 1);
  }

  /** Stops all processes: instances, then targets, then the store. */
  async stopAll(): Promise<void> {
    const instances = this.instances.map(({ child }) => child);
    const targets = this.targets.map(({ child }) => child);
    for (const group of [instances, targets, this.#storeProcesses]) {
      await Promise.all(group.map((child) => stopChild(child)));
    }
    this.links.forEach((link) => link.close());
  }

  /**
   * Opens a proxy to `address` and returns its address; without proxies,
   * `address`.
   */
  async #openLink(name: string, address: string): Promise<string> {
    if (!this.#options.hasFaultyLinks) {
      return address;
    }
    const link = new FaultyLink(address);
    this.links.set(name, link);
    return await link.open();
  }

  #createChild(name: string, args: readonly string[]): Child {
    const logFile = join(this.#options.directory, `${name}.log`);
    return new Child({ name, args, logFile });
  }
}

/**
 * Waits until `check` returns true; returns false if it does not within
 * `timeoutMs`.
 */
export async function waitUntil(
  check: () => Promise<boolean>,
  timeoutMs: number,
): Promise<boolean> {
  const deadlineMs = readMonotonicMs() + timeoutMs;
  while (readMonotonicMs() < deadlineMs) {
    if (await check()) {
      return true;
    }
    await sleep(CHECK_INTERVAL_MS);
  }
  return false;
}

const CHECK_INTERVAL_MS = 100;
const FORCED_STOP_TIMEOUT_MS = 3_000;

async function stopChild(child: Child): Promise<void> {
  // A paused process handles SIGTERM only once it is resumed.
  child.send("SIGCONT");
  await child.stop(FORCED_STOP_TIMEOUT_MS);
}

/** The address that an instance's connections to targets come from. */
export function getSourceAddress(instance: string): string {
  return `127.0.1.${instance.split("-")[1]}`;
}

function waitForListening(child: Child): Promise<string> {
  return child.waitForOutput(/"listening":"([^"]+)"/, START_TIMEOUT_MS);
}

async function sendJson(url: string, body: unknown): Promise<void> {
  const response = await request(url, {
    method: "POST",
    body: JSON.stringify(body),
  });
  await response.body.dump();
  if (response.statusCode !== 200) {
    throw new Error(
      `POST ${url} returned status ${response.statusCode}, not 200`,
    );
  }
}
