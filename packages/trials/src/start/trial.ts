/**
 * Runs a deployment as processes with simulated callers, and checks the
 * results. `runTrial` runs one from a cold start: traffic with a hot key, a
 * target that leaves, an instance that is killed and replaced, and a planned
 * stop.
 */
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import type { Random } from "@lentilspur/ports/clock";
import type { TargetRun } from "@lentilspur/ports/fake_target";
import { request } from "undici";
import { readMonotonicMs } from "../traffic/caller.ts";
import type { RetryLimits } from "@lentilspur/routing/retry_budget";
import type { CallerRecord } from "../traffic/caller_record.ts";
import type { Deployment } from "../traffic/deployment.ts";
import type { LeavingTarget, StoreOutage } from "../traffic/violations.ts";
import type { HolderDisturbance } from "../traffic/key_holds.ts";
import type { RateLimitPeriod } from "../traffic/target_limit.ts";
import { TrafficGenerator } from "../traffic/traffic_generator.ts";
import { Balancer } from "./balancer.ts";
import {
  DeploymentProcesses,
  type InstanceProcess,
  waitUntil,
} from "./deployment_processes.ts";
import {
  describeFailedAttempt,
  isResetAtTheEnd,
  type KnownFailure,
  type PlannedStop,
} from "./planned_stop.ts";
import {
  buildReport,
  listRuns,
  loadHistory,
  type TrialReport,
} from "./trial_report.ts";

export interface TrialOptions {
  readonly deployment: Deployment;
  readonly directory: string;
  readonly print: (line: string) => void;
  readonly random: Random;
  /** Whether the processes connect through proxies that can inject faults. */
  readonly hasFaultyLinks?: boolean;
  /** Limits that the instances get as settings; the defaults if missing. */
  readonly retryLimits?: RetryLimits;
  /** Requests that arrive at this rate, however many are under way. */
  readonly steadyPerSecond?: number;
  /** A failure that the trial passes with, if it occurs once. */
  readonly knownFailure?: KnownFailure;
}

/** Every key must be served within this time after a cold start. */
const START_TIMEOUT_MS = 20_000;
/**
 * A published configuration must be in force on all instances within this time.
 */
const IN_FORCE_TIMEOUT_S = 5;
/** Interval between two checks whether it is. */
const IN_FORCE_POLL_MS = 100;
/** Time without failures before the first one and after the last one. */
const STEADY_TRAFFIC_MS = 3_000;
/**
 * Longer than `MAX_LEAVING_MS` of violations.ts, so that a run that starts too
 * late is recorded.
 */
const LEAVING_MS = 6_000;
/** Time with the new instance before the next step. */
const REPLACEMENT_MS = 7_000;
/** After this, instances without paths have to serve their callers. */
const PATHS_LOST_SETTLED_MS = 3_000;
/** They serve at least this often, relative to the others. */
const SERVED_ALIKE_SHARE = 0.95;
/** Targets end what they run within this time after the last request. */
const RUNS_TIMEOUT_MS = 10_000;
/** Time for responses in flight to reach the callers' records. */
const RESPONSE_DELAY_MS = 500;

/** One running deployment with its callers. */
export class Trial {
  readonly processes: DeploymentProcesses;
  readonly balancer = new Balancer();
  readonly traffic: TrafficGenerator;
  readonly leavingTargets: LeavingTarget[] = [];
  /** Periods in which the store, or a link to it, was made to fail. */
  readonly storeOutages: StoreOutage[] = [];
  readonly rateLimits: RateLimitPeriod[] = [];
  readonly targetDisturbances: HolderDisturbance[] = [];
  readonly failedChecks: string[] = [];
  /** Failures that the options name as known. */
  readonly knownFailures: string[] = [];
  readonly #options: TrialOptions;
  readonly #stoppingAddresses = new Set<string>();
  #startRecords: readonly CallerRecord[] = [];
  readonly #stopController = new AbortController();

  constructor(options: TrialOptions) {
    this.#options = options;
    const { deployment, directory, random, hasFaultyLinks = false } = options;
    const { retryLimits, steadyPerSecond = 0 } = options;
    this.processes = new DeploymentProcesses({
      deployment,
      directory,
      hasFaultyLinks,
      ...(retryLimits === undefined ? {} : { retryLimits }),
    });
    this.traffic = new TrafficGenerator({
      deployment,
      random,
      listReadyAddresses: () => this.balancer.listReadyAddresses(),
      listRunningAddresses: () =>
        this.processes.instances.map(({ address }) => address),
      listStoppingAddresses: () => [...this.#stoppingAddresses],
      steadyPerSecond,
    });
  }

  /**
   * Starts all processes, publishes a configuration, and waits until every key
   * is served.
   */
  async start(): Promise<void> {
    const { deployment, print } = this.#options;
    const startedAtMs = readMonotonicMs();
    await this.processes.startStore();
    await Promise.all([
      this.processes.startTargets(),
      this.processes.startInstances(),
    ]);
    void this.balancer.run(
      () => this.processes.instances,
      this.#stopController.signal,
    );
    await this.#publish();
    const isServed = await waitUntil(
      () => this.traffic.checkAllKeysServed(),
      START_TIMEOUT_MS,
    );
    if (!isServed) {
      this.failedChecks.push("not every key was served after the start");
    }
    this.#startRecords = this.traffic.records.splice(0);
    const tookMs = Math.round(readMonotonicMs() - startedAtMs);
    print(`${deployment.name}: every key is served after ${tookMs} ms`);
    this.traffic.start();
  }

  /** Stops the callers, builds the report, and stops all processes. */
  async stopAndReport(): Promise<TrialReport> {
    await this.traffic.stop();
    await this.#checkVersions();
    // A target may work on a request that its caller no longer waits for.
    await waitUntil(
      () => Promise.resolve(this.#listRuns().every(hasEnded)),
      RUNS_TIMEOUT_MS,
    );
    this.#writeRecords();
    const report = await buildReport({
      deployment: this.#options.deployment,
      records: this.traffic.records,
      historyFile: this.processes.historyFile,
      leavingTargets: this.leavingTargets,
      storeOutages: this.storeOutages,
      rateLimits: this.rateLimits,
      retryLimits: this.processes.retryLimits,
      startRecords: this.#startRecords,
      targetExits: this.processes.targetExits,
      targetDisturbances: this.targetDisturbances,
      instanceLogFiles: this.processes.instanceLogFiles,
      failedChecks: this.failedChecks,
      knownFailures: this.knownFailures,
    });
    await this.close();
    return report;
  }

  async close(): Promise<void> {
    this.#stopController.abort();
    await this.processes.stopAll();
  }

  /**
   * Announces that a target leaves, and stops its process `LEAVING_MS` later.
   */
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
    await sleep(REPLACEMENT_MS);
  }

  async stopInstance(): Promise<void> {
    const instance = this.processes.instances[0]!;
    this.#options.print(`  ${instance.name} stops as planned`);
    await this.checkPlannedStop(
      instance,
      (record) => !isServedOrOverLimit(record),
    );
    await sleep(STEADY_TRAFFIC_MS);
  }

  /**
   * Stops an instance as planned, and reports each attempt during the stop that
   * `isFailed` matches, through whichever instance it came. Where other faults
   * are active, `isFailed` must match only attempts that the stop cut off.
   * `disturb` is called just after the signal. Returns how long the process ran
   * on, in milliseconds.
   */
  async checkPlannedStop(
    instance: InstanceProcess,
    isFailed: (record: CallerRecord) => boolean,
    disturb: () => Promise<void> = () => Promise.resolve(),
  ): Promise<number> {
    const signalledAtMs = readMonotonicMs();
    this.#stoppingAddresses.add(instance.address);
    const stopped = this.processes.stopInstance(instance);
    const disturbed = disturb();
    const code = await stopped;
    const endedAtMs = readMonotonicMs();
    this.#stoppingAddresses.delete(instance.address);
    await disturbed;
    if (code !== 0) {
      this.failedChecks.push(
        `${instance.name} exited with code "${code}" after a planned stop, not 0`,
      );
    }
    await sleep(RESPONSE_DELAY_MS);
    const failed = this.traffic.records.filter((record) =>
      record.receivedAtMs >= signalledAtMs && isFailed(record)
    );
    this.#reportFailed(failed, {
      instance: instance.name,
      signalledAtMs,
      endedAtMs,
    });
    return Math.round(endedAtMs - signalledAtMs);
  }

  /** One failure of a kind passes, since one was seen. */
  #isKnown(failure: KnownFailure): boolean {
    return this.#options.knownFailure === failure &&
      this.knownFailures.length === 0;
  }

  #listRuns(): readonly TargetRun[] {
    const { historyFile, targetExits } = this.processes;
    return listRuns(loadHistory(historyFile).runs, targetExits);
  }

  #reportFailed(failed: readonly CallerRecord[], stop: PlannedStop): void {
    if (failed.length === 0) {
      return;
    }
    const runs = this.#listRuns();
    const { records } = this.traffic;
    const observations = { records, runs };
    for (const record of failed) {
      const isKnown = this.#isKnown("reset-at-the-end") &&
        isResetAtTheEnd(record, stop, observations);
      (isKnown ? this.knownFailures : this.failedChecks)
        .push(describeFailedAttempt(record, stop, observations));
    }
  }

  /**
   * Checks that every key is served within `timeoutMs` after the last fault.
   */
  async checkRecovery(timeoutMs: number): Promise<void> {
    if (!await waitUntil(() => this.traffic.checkAllKeysServed(), timeoutMs)) {
      this.failedChecks.push(
        "not every key was served again after the last fault",
      );
    }
  }

  /**
   * Checks that callers of instances without paths to targets were served
   * nearly as often as those of the others.
   */
  async checkServedAlike(
    names: readonly string[],
    { fromMs, toMs }: StoreOutage,
  ): Promise<void> {
    await sleep(RESPONSE_DELAY_MS);
    const { instances } = this.processes;
    const addresses = instances.filter(({ name }) => names.includes(name))
      .map(({ address }) => address);
    const tries = this.traffic.records.filter(({ sentAtMs }) =>
      sentAtMs >= fromMs + PATHS_LOST_SETTLED_MS && sentAtMs < toMs
    );
    const count = (isOwn: boolean, onlyServed: boolean): number =>
      tries.filter(({ entry, outcome }) =>
        addresses.includes(entry) === isOwn &&
        (!onlyServed || outcome === "ran")
      ).length;
    const own = count(true, true) / count(true, false);
    const other = count(false, true) / count(false, false);
    if (own < SERVED_ALIKE_SHARE * other) {
      this.failedChecks.push(
        `${names.join(", ")}, without paths to targets, served ${
          own.toFixed(3)
        } of their requests, the others ${other.toFixed(3)}`,
      );
    }
  }

  /**
   * Writes the callers' records next to the logs, to help find causes of
   * failures.
   */
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
      ...["--wait-in-force", `${IN_FORCE_TIMEOUT_S}s`],
    ]);
    if (code !== 0) {
      this.failedChecks.push(
        `publishing the configuration exited with code "${code}", not 0`,
      );
    }
  }

  /**
   * Checks that every instance ends with the published configuration in force.
   * An instance may have started while the store failed, so it has as long as a
   * new version may take to be in force everywhere.
   */
  async #checkVersions(): Promise<void> {
    const endMs = readMonotonicMs() + 1_000 * IN_FORCE_TIMEOUT_S;
    for (const instance of this.processes.instances) {
      let version = await readVersion(instance);
      while (version !== 1 && readMonotonicMs() < endMs) {
        await sleep(IN_FORCE_POLL_MS);
        version = await readVersion(instance);
      }
      if (version !== 1) {
        this.failedChecks.push(
          `${instance.name} has configuration version "${version}" in force, not 1`,
        );
      }
    }
  }
}

/** Runs all steps of the trial, which take well under a minute. */
export async function runTrial(options: TrialOptions): Promise<TrialReport> {
  const trial = new Trial(options);
  try {
    await trial.start();
    await sleep(STEADY_TRAFFIC_MS);
    await trial.removeTarget();
    await trial.killAndReplaceInstance();
    await trial.stopInstance();
    return await trial.stopAndReport();
  } finally {
    await trial.close();
  }
}

/**
 * Checks whether a request ran, or was refused for a reason unrelated to the
 * stop.
 */
function isServedOrOverLimit(record: CallerRecord): boolean {
  return record.outcome === "ran" ||
    record.errorKind === "overloaded" ||
    record.errorKind === "account-over-limit";
}

function hasEnded({ endedAtMs }: TargetRun): boolean {
  return endedAtMs !== null;
}

async function readVersion(instance: InstanceProcess): Promise<unknown> {
  try {
    const url = `http://${instance.statusAddress}/status`;
    const response = await request(url, { signal: AbortSignal.timeout(2_000) });
    const status = await response.body.json() as Record<string, unknown>;
    return status["configurationVersion"];
  } catch {
    return undefined;
  }
}
