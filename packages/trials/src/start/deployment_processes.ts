/** The processes of one deployment: platform, targets and instances. */
import { mkdirSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import type { StoreFaultMode } from "@lentilspur/ports/fake_store";
import { request } from "undici";
import { readMonotonicMs } from "../traffic/caller.ts";
import type { Deployment, TargetGroup } from "../traffic/deployment.ts";
import { FaultyLink } from "../soak/faulty_link.ts";
import { Child } from "./child.ts";

/** Files built by `npm run build`, relative to the repository's root. */
const STANDIN_FILE = "packages/trials/dist/standins/standin_cli.js";
const COMMAND_FILE = "packages/cli/bin/lentilspur.js";
const START_TIMEOUT_MS = 20_000;
const STOP_PATIENCE_MS = 15_000;

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
  /** Its lines, for the audit. */
  readonly logFile: string;
}

/** When a target's process was killed, in the machine's time. */
export interface TargetExit {
  readonly target: string;
  readonly atMs: number;
}

export interface DeploymentProcessesOptions {
  readonly deployment: Deployment;
  /** Logs and histories go here. */
  readonly directory: string;
  /** Whether each instance reaches the store, and each target is reached, by a link that can fail. */
  readonly hasFaultyLinks: boolean;
}

export class DeploymentProcesses {
  readonly targets: TargetProcess[] = [];
  readonly instances: InstanceProcess[] = [];
  readonly targetExits: TargetExit[] = [];
  /** By the name of the instance or target at one end. */
  readonly links = new Map<string, FaultyLink>();
  readonly #options: DeploymentProcessesOptions;
  readonly #platform: Child[] = [];
  #storeAddress = "";
  #startedInstances = 0;
  #startedTargets = 0;

  constructor(options: DeploymentProcessesOptions) {
    this.#options = options;
    mkdirSync(options.directory, { recursive: true });
  }

  get storeAddress(): string {
    return this.#storeAddress;
  }

  /** Files with the lines of all instances that were ever started. */
  readonly instanceLogFiles: string[] = [];

  get historyFile(): string {
    return join(this.#options.directory, "history.jsonl");
  }

  async startStore(): Promise<void> {
    const child = this.#createChild("store", [STANDIN_FILE, "store"]);
    this.#platform.push(child);
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

  /** Starts a target; each start has an id of its own, also at an old address. */
  async startTarget(
    wanted: Pick<TargetProcess, "group" | "dataCentre"> & {
      readonly address?: string;
    },
  ): Promise<void> {
    const { group, dataCentre, address: known } = wanted;
    const id = `${group.template}-${++this.#startedTargets}`;
    const port = known?.split(":")[1] ?? "0";
    const child = this.#createChild(id, [
      STANDIN_FILE,
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

  /** Under the name of an instance that has ended, or under a new one. */
  async startInstance(
    name = `instance-${++this.#startedInstances}`,
  ): Promise<InstanceProcess> {
    const { dataCentres } = this.#options.deployment;
    const index = Number(name.split("-")[1]) - 1;
    const child = this.#createChild(name, [
      COMMAND_FILE,
      "serve",
      ...["--instance-name", name],
      ...["--data-centre", dataCentres[index % dataCentres.length]!],
      ...["--port", "0", "--peer-port", "0"],
      ...["--status-port", "0", "--metrics-port", "0"],
      ...["--store", await this.#openLink(name, this.#storeAddress)],
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

  /** Runs one `lentilspur` command to its exit code. */
  async runCommand(words: readonly string[]): Promise<number | null> {
    const child = this.#createChild("command", [
      COMMAND_FILE,
      ...words,
      ...["--store", this.#storeAddress],
    ]);
    return await child.ended;
  }

  /** The target says in the store that it leaves, and serves on. */
  async drainTarget({ address }: TargetProcess): Promise<void> {
    await sendJson(`http://${address}/standin/drain`, {});
  }

  /** The target names a limit of requests a second in its answers, or none. */
  async setTargetLimit(
    { address }: TargetProcess,
    perSecond: number | null,
  ): Promise<void> {
    await sendJson(`http://${address}/standin/limit`, { perSecond });
  }

  /** How the store treats calls from now on. */
  async setStoreFaultMode(mood: StoreFaultMode): Promise<void> {
    await sendJson(`http://${this.#storeAddress}/standin/mood`, { mood });
  }

  /** Ends a target's process without warning. */
  async killTarget(target: TargetProcess): Promise<void> {
    target.child.send("SIGKILL");
    await target.child.ended;
    this.recordTargetExit(target);
  }

  /** A target's process has ended by itself. */
  recordTargetExit(target: TargetProcess): void {
    this.targetExits.push({ target: target.id, atMs: readMonotonicMs() });
    this.targets.splice(this.targets.indexOf(target), 1);
  }

  /** Ends an instance's process without warning. */
  async killInstance(instance: InstanceProcess): Promise<void> {
    this.instances.splice(this.instances.indexOf(instance), 1);
    instance.child.send("SIGKILL");
    await instance.child.ended;
  }

  /** A planned stop; gives the exit code. */
  async stopInstance(instance: InstanceProcess): Promise<number | null> {
    const code = await instance.child.stop(STOP_PATIENCE_MS);
    this.instances.splice(this.instances.indexOf(instance), 1);
    return code;
  }

  async stopTarget(target: TargetProcess): Promise<void> {
    await target.child.stop(STOP_PATIENCE_MS);
    this.targets.splice(this.targets.indexOf(target), 1);
  }

  /** Ends everything, instances first. */
  async stopAll(): Promise<void> {
    const instances = this.instances.map(({ child }) => child);
    const targets = this.targets.map(({ child }) => child);
    for (const group of [instances, targets, this.#platform]) {
      await Promise.all(group.map((child) => stopChild(child)));
    }
    this.links.forEach((link) => link.close());
  }

  /** The address by which a process is reached; a link's, where there are any. */
  async #openLink(name: string, address: string): Promise<string> {
    if (!this.#options.hasFaultyLinks) {
      return address;
    }
    const link = new FaultyLink(address);
    this.links.set(name, link);
    return await link.open();
  }

  #createChild(name: string, words: readonly string[]): Child {
    const logFile = join(this.#options.directory, `${name}.log`);
    return new Child({ name, args: words, logFile });
  }
}

/** Resolves once `check` holds; false if it does not within `timeoutMs`. */
export async function waitUntil(
  check: () => Promise<boolean>,
  timeoutMs: number,
): Promise<boolean> {
  const endsAt = readMonotonicMs() + timeoutMs;
  while (readMonotonicMs() < endsAt) {
    if (await check()) {
      return true;
    }
    await sleep(CHECK_EVERY_MS);
  }
  return false;
}

const CHECK_EVERY_MS = 100;
/** A frozen child takes no SIGTERM until it goes on. */
const END_PATIENCE_MS = 3_000;

async function stopChild(child: Child): Promise<void> {
  child.send("SIGCONT");
  await child.stop(END_PATIENCE_MS);
}

function waitForListening(child: Child): Promise<string> {
  return child.waitForOutput(/"listening":"([^"]+)"/, START_TIMEOUT_MS);
}

async function sendJson(url: string, body: unknown): Promise<void> {
  const answer = await request(url, {
    method: "POST",
    body: JSON.stringify(body),
  });
  await answer.body.dump();
  if (answer.statusCode !== 200) {
    throw new Error(`"${url}" answered with status ${answer.statusCode}`);
  }
}
