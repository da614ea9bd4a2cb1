/** The processes of one deployment: platform, targets and instances. */
import { mkdirSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { readMachineMs } from "@lentilspur/standins/caller";
import { request } from "undici";
import { Child } from "./child.ts";
import type { Deployment, TargetGroup } from "./deployment.ts";

/** Files built by `npm run build`, relative to the repository's root. */
const STANDIN_FILE = "packages/standins/dist/cli.js";
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
  readonly httpAddress: string;
  readonly child: Child;
}

/** When a target's process was killed, in the machine's time. */
export interface TargetDeath {
  readonly target: string;
  readonly atMs: number;
}

export interface ProcessesOptions {
  readonly deployment: Deployment;
  /** Logs and histories go here. */
  readonly directory: string;
  /** More flags for every instance. */
  readonly instanceFlags?: readonly string[];
  readonly logFlags?: readonly string[];
}

export class Processes {
  readonly targets: TargetProcess[] = [];
  readonly instances: InstanceProcess[] = [];
  readonly deaths: TargetDeath[] = [];
  readonly #options: ProcessesOptions;
  readonly #platform: Child[] = [];
  #logUrl = "";
  #listUrl = "";
  #started = 0;

  constructor(options: ProcessesOptions) {
    this.#options = options;
    mkdirSync(options.directory, { recursive: true });
  }

  get logUrl(): string {
    return this.#logUrl;
  }

  get historyFile(): string {
    return join(this.#options.directory, "history.jsonl");
  }

  async startPlatform(): Promise<void> {
    const logFlags = this.#options.logFlags ?? [];
    this.#logUrl = await this.#startStandin("log", ["log", ...logFlags]);
    this.#listUrl = await this.#startStandin("instance-list", [
      "instance-list",
      "--lag-ms",
      "1000",
    ]);
  }

  async startTargets(): Promise<void> {
    const { targets, dataCentres } = this.#options.deployment;
    const starting = targets.flatMap((group) =>
      Array.from({ length: group.count }, (_, index) => {
        const dataCentre = dataCentres[index % dataCentres.length]!;
        return this.startTarget({
          id: `${group.template}-${index + 1}`,
          group,
          dataCentre,
        });
      })
    );
    await Promise.all(starting);
  }

  /** Starts a target, or starts one anew at its old address. */
  async startTarget(
    wanted: Pick<TargetProcess, "id" | "group" | "dataCentre"> & {
      readonly address?: string;
    },
  ): Promise<void> {
    const { id, group, dataCentre, address: known } = wanted;
    const port = known?.split(":")[1] ?? "0";
    const child = this.#createChild(id, [
      STANDIN_FILE,
      "target",
      ...["--id", id, "--port", port, "--template", group.template],
      ...["--data-centre", dataCentre, "--run-ms", String(group.runMs)],
      ...["--history-file", this.historyFile],
      ...["--instance-list-url", this.#listUrl],
      ...(group.checksGrants ? ["--checks-grants"] : []),
    ]);
    const address = await waitForListening(child);
    this.targets.push({ id, group, dataCentre, address, child });
  }

  async startInstances(): Promise<void> {
    const { instances } = this.#options.deployment;
    await Promise.all(
      Array.from({ length: instances }, () => this.startInstance()),
    );
  }

  async startInstance(): Promise<InstanceProcess> {
    const { dataCentres } = this.#options.deployment;
    const index = this.#started++;
    const name = `instance-${index + 1}`;
    const child = this.#createChild(name, [
      COMMAND_FILE,
      "serve",
      ...["--instance-name", name],
      ...["--data-centre", dataCentres[index % dataCentres.length]!],
      ...["--http-port", "0", "--peer-port", "0"],
      ...["--log-url", this.#logUrl, "--instance-list-url", this.#listUrl],
      ...(this.#options.instanceFlags ?? []),
    ]);
    const httpAddress = await child.waitForOutput(
      /answers callers on (\S+),/,
      START_TIMEOUT_MS,
    );
    const instance = { name, httpAddress, child };
    this.instances.push(instance);
    return instance;
  }

  /** Runs one `lentilspur` command to its exit code. */
  async runCommand(words: readonly string[]): Promise<number | null> {
    const child = this.#createChild("command", [
      COMMAND_FILE,
      ...words,
      ...["--log-url", this.#logUrl],
    ]);
    return await child.ended;
  }

  /** Tells the instance list, which shows it late. */
  async setTargetState(id: string, state: "live" | "leaving"): Promise<void> {
    await sendJson("PATCH", `${this.#listUrl}/instances/${id}`, { state });
  }

  async removeFromList(id: string): Promise<void> {
    await sendJson("DELETE", `${this.#listUrl}/instances/${id}`, {});
  }

  async setLogFaults(faults: Readonly<Record<string, unknown>>): Promise<void> {
    await sendJson("POST", `${this.#logUrl}/control`, faults);
  }

  /** Ends a target's process without warning. */
  async killTarget(target: TargetProcess): Promise<void> {
    target.child.send("SIGKILL");
    await target.child.ended;
    this.deaths.push({ target: target.id, atMs: readMachineMs() });
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
  }

  async #startStandin(name: string, words: string[]): Promise<string> {
    const child = this.#createChild(name, [STANDIN_FILE, ...words]);
    this.#platform.push(child);
    return `http://${await waitForListening(child)}`;
  }

  #createChild(name: string, words: readonly string[]): Child {
    const logFile = join(this.#options.directory, `${name}.log`);
    return new Child({ name, words, logFile });
  }
}

/** Resolves once `check` holds; false if it does not within `timeoutMs`. */
export async function waitUntil(
  check: () => Promise<boolean>,
  timeoutMs: number,
): Promise<boolean> {
  const endsAt = readMachineMs() + timeoutMs;
  while (readMachineMs() < endsAt) {
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

async function sendJson(
  method: "POST" | "PATCH" | "DELETE",
  url: string,
  body: unknown,
): Promise<void> {
  const answer = await request(url, { method, body: JSON.stringify(body) });
  await answer.body.dump();
  if (answer.statusCode !== 200) {
    throw new Error(`"${url}" answered with status ${answer.statusCode}`);
  }
}
