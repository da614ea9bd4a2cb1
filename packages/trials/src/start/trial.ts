/**
 * One deployment in small, from a cold start: traffic with a hot key, a target
 * that leaves, an instance that is killed and replaced, a planned stop.
 */
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import type { Random } from "@lentilspur/ports/clock";
import { request } from "undici";
import { readMonotonicMs } from "../traffic/caller.ts";
import type { CallerRecord } from "../traffic/caller_record.ts";
import type { Deployment } from "../traffic/deployment.ts";
import type { LeavingTarget, StoreOutage } from "../traffic/violations.ts";
import type { RateLimitPeriod } from "../traffic/target_limit.ts";
import { TrafficGenerator } from "../traffic/traffic_generator.ts";
import { Balancer } from "./balancer.ts";
import {
  DeploymentProcesses,
  type InstanceProcess,
  waitUntil,
} from "./deployment_processes.ts";
import { buildReport, type TrialReport } from "./trial_report.ts";

export interface TrialOptions {
  readonly deployment: Deployment;
  readonly directory: string;
  readonly print: (line: string) => void;
  readonly random: Random;
  /** Whether faults can be put between the processes. */
  readonly hasFaultyLinks?: boolean;
}

/** Everything must be served this soon after a cold start. */
const START_LIMIT_MS = 20_000;
/** An accepted configuration is in force everywhere within this time. */
const IN_FORCE_LIMIT = "5s";
const STEADY_MS = 3_000;
const LEAVING_MS = 6_000;
const LOSS_MS = 7_000;
/** For answers on their way to reach the callers' records. */
const SETTLE_MS = 500;

/** One running deployment with its callers. */
export class Trial {
  readonly processes: DeploymentProcesses;
  readonly balancer = new Balancer();
  readonly traffic: TrafficGenerator;
  readonly leavingTargets: LeavingTarget[] = [];
  /** Times in which the store, or the way to it, was made to fail. */
  readonly storeOutages: StoreOutage[] = [];
  readonly rateLimits: RateLimitPeriod[] = [];
  readonly failedChecks: string[] = [];
  readonly #options: TrialOptions;
  readonly #end = new AbortController();

  constructor(options: TrialOptions) {
    this.#options = options;
    const { deployment, directory, random, hasFaultyLinks: hasLinks = false } =
      options;
    this.processes = new DeploymentProcesses({
      deployment,
      directory,
      hasFaultyLinks: hasLinks,
    });
    this.traffic = new TrafficGenerator({
      deployment,
      random,
      listReadyAddresses: () => this.balancer.listReadyAddresses(),
    });
  }

  /** Starts all processes, publishes, and waits until every key is served. */
  async start(): Promise<void> {
    const { deployment, print } = this.#options;
    const startedAt = readMonotonicMs();
    await this.processes.startStore();
    await Promise.all([
      this.processes.startTargets(),
      this.processes.startInstances(),
    ]);
    void this.balancer.run(() => this.processes.instances, this.#end.signal);
    await this.#publish();
    const isServed = await waitUntil(
      () => this.traffic.checkAllKeysServed(),
      START_LIMIT_MS,
    );
    if (!isServed) {
      this.failedChecks.push("not every key was served after the start");
    }
    this.traffic.records.length = 0;
    const tookMs = Math.round(readMonotonicMs() - startedAt);
    print(`${deployment.name}: every key is served after ${tookMs} ms`);
    this.traffic.start();
  }

  /** Stops the callers, reports, and ends all processes. */
  async stopAndReport(): Promise<TrialReport> {
    await this.traffic.stop();
    await this.#checkVersions();
    this.#writeRecords();
    const report = await buildReport({
      deployment: this.#options.deployment.name,
      records: this.traffic.records,
      historyFile: this.processes.historyFile,
      leavingTargets: this.leavingTargets,
      storeOutages: this.storeOutages,
      rateLimits: this.rateLimits,
      targetExits: this.processes.targetExits,
      instanceLogFiles: this.processes.instanceLogFiles,
      failedChecks: this.failedChecks,
    });
    await this.close();
    return report;
  }

  async close(): Promise<void> {
    this.#end.abort();
    await this.processes.stopAll();
  }

  /** A target says that it leaves; later its process stops. */
  async removeTarget(): Promise<void> {
    const target = this.processes.targets[0]!;
    this.#options.print(`  target ${target.id} leaves`);
    await this.processes.drainTarget(target);
    this.leavingTargets.push({ target: target.id, atMs: readMonotonicMs() });
    await sleep(LEAVING_MS);
    await this.processes.stopTarget(target);
  }

  async killAndReplaceInstance(): Promise<void> {
    const instance = this.processes.instances[0]!;
    this.#options.print(`  ${instance.name} is killed and replaced`);
    await this.processes.killInstance(instance);
    await this.processes.startInstance(instance.name);
    await sleep(LOSS_MS);
  }

  async stopInstance(): Promise<void> {
    const instance = this.processes.instances[0]!;
    this.#options.print(`  ${instance.name} stops as planned`);
    await this.checkPlannedStop(instance, (record) => !isServedOrTold(record));
    await sleep(STEADY_MS);
  }

  /**
   * A planned stop fails no request, through whichever instance it came. Where
   * other things go wrong meanwhile, only those cut off are held against it.
   */
  async checkPlannedStop(
    instance: InstanceProcess,
    isFailed: (record: CallerRecord) => boolean,
  ): Promise<void> {
    const since = readMonotonicMs();
    const code = await this.processes.stopInstance(instance);
    if (code !== 0) {
      this.failedChecks.push(`${instance.name} ended with "${code}"`);
    }
    await sleep(SETTLE_MS);
    const failed = this.traffic.records.filter((record) =>
      record.receivedAtMs >= since && isFailed(record)
    );
    for (const { requestId, entry, outcome, errorKind } of failed) {
      this.failedChecks.push(
        `"${requestId ?? "no id"}" through ${entry} ended as ${outcome} ` +
          `(${errorKind ?? "cut off"}) in the stop of ${instance.name}`,
      );
    }
  }

  /** Once nothing is broken any more, every key is served again. */
  async checkRecovery(limitMs: number): Promise<void> {
    if (!await waitUntil(() => this.traffic.checkAllKeysServed(), limitMs)) {
      this.failedChecks.push(
        "not every key was served again after the last fault",
      );
    }
  }

  /** Beside the logs, for finding out how a fault came about. */
  #writeRecords(): void {
    const file = join(this.#options.directory, "callers.jsonl");
    const lines = this.traffic.records.map((each) => JSON.stringify(each));
    writeFileSync(file, lines.join("\n"));
  }

  async #publish(): Promise<void> {
    const code = await this.processes.runCommand([
      "publish",
      `playground/${this.#options.deployment.name}`,
      ...["--expect-version", "0", "--operator", "playground"],
      ...["--wait-in-force", IN_FORCE_LIMIT],
    ]);
    if (code !== 0) {
      this.failedChecks.push(`publishing ended with "${code}"`);
    }
  }

  /** What was accepted is in force on every instance at the end. */
  async #checkVersions(): Promise<void> {
    for (const instance of this.processes.instances) {
      const version = await readVersion(instance);
      if (version !== 1) {
        this.failedChecks.push(
          `${instance.name} has version "${version}" in force`,
        );
      }
    }
  }
}

/** Runs the whole of it; takes well under a minute. */
export async function runTrial(options: TrialOptions): Promise<TrialReport> {
  const trial = new Trial(options);
  try {
    await trial.start();
    await sleep(STEADY_MS);
    await trial.removeTarget();
    await trial.killAndReplaceInstance();
    await trial.stopInstance();
    return await trial.stopAndReport();
  } finally {
    await trial.close();
  }
}

/** Refused for a reason that would hold without the stop as well. */
function isServedOrTold(record: CallerRecord): boolean {
  return record.outcome === "ran" ||
    record.errorKind === "overloaded" ||
    record.errorKind === "account-over-limit";
}

async function readVersion(instance: InstanceProcess): Promise<unknown> {
  try {
    const url = `http://${instance.statusAddress}/status`;
    const answer = await request(url, { signal: AbortSignal.timeout(2_000) });
    const status = await answer.body.json() as Record<string, unknown>;
    return status["configurationVersion"];
  } catch {
    return undefined;
  }
}
