/**
 * Injects the faults of a soak. Each fault is injected from outside the
 * processes, lasts a while, and is then reverted, so that the deployment keeps
 * its size. Several faults may be active at once.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { StoreFaultMode } from "@lentilspur/ports/fake_store";
import type { Trial } from "../start/trial.ts";
import {
  getSourceAddress,
  type InstanceProcess,
  type TargetProcess,
} from "../start/deployment_processes.ts";
import { readMonotonicMs } from "../traffic/caller.ts";
import type { CallerRecord } from "../traffic/caller_record.ts";
import type { TrafficRandom } from "../traffic/traffic_random.ts";
import type { LinkFaultMode } from "./faulty_link.ts";

export const SOAK_FAULTS = [
  "instance-killed",
  "instance-paused",
  "instance-stopped",
  "instances-killed-at-once",
  "instances-paused-at-once",
  "instances-started-at-once",
  "target-killed",
  "target-paused",
  "target-leaving",
  "target-limited",
  "target-backing-off",
  "targets-refusing",
  "request-fatal",
  "store-silent",
  "store-refusing",
  "store-losing-answers",
  "store-late",
  "store-restored",
  "store-restored-again",
  "instance-joined",
  "paths-silent",
  "paths-resetting",
  "paths-refusing-new",
  "store-link-silent",
  "store-link-deaf",
  "store-link-resetting",
  "target-link-silent",
  "target-link-deaf",
  "target-link-resetting",
  "target-link-delaying",
  "responses-repeated",
  "instance-stopped-again",
  "instance-stopped-after-reload",
  "instance-paused-while-stopping",
  "instances-stopped-at-once",
  "targets-slow",
] as const;

export type SoakFault = typeof SOAK_FAULTS[number];

/** Drawn by default; another length would change what every seed draws. */
export const DEFAULT_FAULTS: readonly SoakFault[] = SOAK_FAULTS
  .slice(0, SOAK_FAULTS.indexOf("responses-repeated"));

/** Longer than the operating system takes to report the end of a process. */
const EXIT_DELAY_MS = 1_000;
/** Lengths of pauses, shorter and longer than a hold of 3 s. */
const PAUSES_MS = [300, 1_500, 3_500, 7_000];
const RESTART_DELAYS_MS = [100, 800, 2_500];
const OUTAGES_MS = [500, 2_500, 6_000];
const RESTORE_AWAY_MS = [200, 900, 2_400];
const COPY_AGES_MS = [100, 2_000, 5_000, 10_000];
/** Time after a restore of the store before the next one. */
const RESTORE_PAUSES_MS = [300, 4_000];
const JOINED_MS = [3_000, 9_000];
/** The grace period that instances have by default. */
const GRACE_PERIOD_MS = 6_000;
const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;
/** Time from a reload to the stop signal. */
const MIN_RELOAD_MS = 50;
const MAX_RELOAD_MS = 300;
/** Longest time between the stops of two instances. */
const MAX_STOP_INTERVAL_MS = 1_000;
const STOP_PAUSES_MS = [200, 700, 1_500];
/** After the signal: at once, and shortly before the process ends. */
const STOP_PAUSE_STARTS_MS = [0, GRACE_PERIOD_MS - 600];
const STOP_EXTENTS = ["data-centre", "all-but-one"] as const;
/** Requests whose work takes a large share of their timeout. */
const SLOW_MS = [6_000, 9_000];
const SLOW_REQUEST_INTERVAL_MS = 250;
const MIN_SLOW_SHARE = 0.6;
const MAX_SLOW_SHARE = 0.97;
const SLOW_DEADLINES_MS = [undefined, undefined, 3_000];
/** Orders that a disturbance holds up arrive within this time after it. */
const HELD_UP_MS = 1_000;
/** A fatal request is sent this many times, `FATAL_INTERVAL_MS` apart. */
const FATAL_REPEATS = 40;
const FATAL_INTERVAL_MS = 1_000;
const LIMITS_PER_SECOND = [0.5, 2.5, 8];
const RATE_LIMIT_DURATION_MS = 10_000;
/** Pauses that a target asks for, and how long it goes on refusing. */
const BACKOFFS_S = [0.2, 1.5, 4];
const BACKOFF_DURATION_MS = 6_000;
/**
 * Interval of extra requests for the service of a target whose rate is limited.
 */
const EXTRA_REQUEST_INTERVAL_MS = 40;
/** How many instances lose their paths, how often, how long, and how far apart. */
const PATH_LOSS_EXTENTS = [
  "one",
  "several",
  "data-centre",
  "all-but-one",
  "all",
] as const;
const PATH_LOSS_COUNTS = [1, 1, 3];
const PATH_LOSSES_MS = [300, 1_500, 6_000, 12_000];
const PATH_PAUSES_MS = [200, 1_500];
/** How long targets send copies of responses. */
const REPEATING_MS = [2_000, 5_000, 9_000];
/** How often some instances are paused, and how long after the last time. */
const SERIES_COUNTS = [1, 3, 6];
const SERIES_INTERVALS_MS = [200, 600, 1_500];
/** Share of their requests that refusing targets refuse, and how long. */
const REFUSED_SHARE = 0.55;
const REFUSING_MS = [3_000, 9_000, 15_000];
/** A target is stopped this long after it announced that it leaves. */
const LEAVING_MS = 6_000;

/** A fault counts as active for this long after its end. */
const QUIET_MS = 3_000;
/** Begins the description of a fault that was not injected. */
const SKIPPED = "skipped";

interface FaultPeriod {
  readonly fromMs: number;
  toMs: number;
}

export class FaultInjector {
  readonly #trial: Trial;
  readonly #random: TrafficRandom;
  /**
   * Names of the instances, targets and resources that active faults affect.
   */
  readonly #inUse = new Set<string>();
  #fatalRequestCount = 0;
  /** When each fault was active. */
  readonly #periods = new Set<FaultPeriod>();

  constructor(trial: Trial, random: TrafficRandom) {
    this.#trial = trial;
    this.#random = random;
  }

  /** Injects a fault and reverts it; returns a description of what was done. */
  async inject(fault: SoakFault): Promise<string> {
    const period = { fromMs: readMonotonicMs(), toMs: Infinity };
    this.#periods.add(period);
    const description = await this.#injectFault(fault);
    period.toMs = readMonotonicMs();
    if (description.startsWith(SKIPPED)) {
      this.#periods.delete(period);
    }
    return description;
  }

  async #injectFault(fault: SoakFault): Promise<string> {
    switch (fault) {
      case "instance-killed":
      case "instance-paused":
      case "instance-stopped":
        return await this.#failInstance(fault);
      case "instances-killed-at-once":
        return await this.#killInstances();
      case "instances-paused-at-once":
        return await this.#injectPauses();
      case "instances-started-at-once":
        return await this.#startInstances();
      case "target-killed":
      case "target-paused":
      case "target-leaving":
        return await this.#failTarget(fault);
      case "target-limited":
        return await this.#setRateLimit();
      case "target-backing-off":
        return await this.#setBackoff();
      case "targets-refusing":
        return await this.#setRefusals();
      case "request-fatal":
        return await this.#sendFatalRequests();
      case "store-silent":
        return await this.#failStore("silent");
      case "store-refusing":
        return await this.#failStore("refusing");
      case "store-losing-answers":
        return await this.#failStore("losing-answers");
      case "store-late":
        return await this.#failStore("late");
      case "store-restored":
        return await this.#restoreStore(1);
      case "store-restored-again":
        return await this.#restoreStore(2);
      case "instance-joined":
        return await this.#addInstance();
      case "paths-silent":
        return await this.#failPaths("silent");
      case "paths-resetting":
        return await this.#failPaths("resetting");
      case "paths-refusing-new":
        return await this.#failPaths("refusing-new");
      case "store-link-silent":
        return await this.#failLink("instance", "silent");
      case "store-link-deaf":
        return await this.#failLink("instance", "deaf");
      case "store-link-resetting":
        return await this.#failLink("instance", "resetting");
      case "target-link-silent":
        return await this.#failLink("target", "silent");
      case "target-link-deaf":
        return await this.#failLink("target", "deaf");
      case "target-link-resetting":
        return await this.#failLink("target", "resetting");
      case "target-link-delaying":
        return await this.#failLink("target", "delaying");
      case "responses-repeated":
        return await this.#injectCopies();
      case "instance-stopped-again":
      case "instance-stopped-after-reload":
      case "instance-paused-while-stopping":
        return await this.#stopInstance(fault);
      case "instances-stopped-at-once":
        return await this.#stopInstances();
      case "targets-slow":
        return await this.#sendSlowRequests();
    }
  }

  async #failInstance(
    fault: "instance-killed" | "instance-paused" | "instance-stopped",
  ): Promise<string> {
    const { processes } = this.#trial;
    const instance = this.#takeUnused(processes.instances, ({ name }) => name);
    if (instance === undefined) {
      return "skipped: no instance is available";
    }
    switch (fault) {
      case "instance-killed":
        await processes.killInstance(instance);
        await this.#restartInstance(instance);
        break;
      case "instance-stopped":
        await this.#checkPlannedStop(instance);
        await this.#restartInstance(instance);
        break;
      case "instance-paused":
        instance.child.send("SIGSTOP");
        await sleep(this.#drawValue(PAUSES_MS));
        instance.child.send("SIGCONT");
        break;
    }
    this.#inUse.delete(instance.name);
    return instance.name;
  }

  /** Returns a description. */
  async #checkPlannedStop(
    instance: InstanceProcess,
    disturb?: () => Promise<void>,
  ): Promise<string> {
    const tookMs = await this.#trial.checkPlannedStop(
      instance,
      (record) => isCutOff(record, instance),
      disturb,
    );
    return `${instance.name} ended after ${tookMs} ms`;
  }

  /** Stops an instance, and sends it further signals before or meanwhile. */
  async #stopInstance(
    fault:
      | "instance-stopped-again"
      | "instance-stopped-after-reload"
      | "instance-paused-while-stopping",
  ): Promise<string> {
    const { instances } = this.#trial.processes;
    const instance = this.#takeUnused(instances, ({ name }) => name);
    if (instance === undefined) {
      return `${SKIPPED}: no instance is available`;
    }
    const { name, child } = instance;
    const described: string[] = [];
    switch (fault) {
      case "instance-stopped-again": {
        const signals = [
          this.#drawValue(STOP_SIGNALS),
          this.#drawValue(STOP_SIGNALS),
          "SIGHUP" as const,
        ].map((signal) => ({
          signal,
          afterMs: Math.round(GRACE_PERIOD_MS * this.#random.draw()),
        }));
        const stop = await this.#checkPlannedStop(instance, async () => {
          await Promise.all(signals.map(async ({ signal, afterMs }) => {
            await sleep(afterMs);
            child.send(signal);
          }));
        });
        described.push(
          stop,
          ...signals.map(({ signal, afterMs }) => `${signal} ${afterMs} ms`),
        );
        break;
      }
      case "instance-stopped-after-reload":
        child.send("SIGHUP");
        await sleep(
          MIN_RELOAD_MS + (MAX_RELOAD_MS - MIN_RELOAD_MS) * this.#random.draw(),
        );
        described.push(await this.#checkPlannedStop(instance));
        break;
      case "instance-paused-while-stopping": {
        const startMs = this.#drawValue(STOP_PAUSE_STARTS_MS);
        const pauseMs = this.#drawValue(STOP_PAUSES_MS);
        const stop = await this.#checkPlannedStop(instance, async () => {
          await sleep(startMs);
          const fromMs = readMonotonicMs();
          child.send("SIGSTOP");
          await sleep(pauseMs);
          child.send("SIGCONT");
          this.#recordHeldUpOrders(fromMs, readMonotonicMs());
        });
        described.push(stop, `paused after ${startMs} for ${pauseMs} ms`);
        break;
      }
    }
    await this.#restartInstance(instance);
    this.#inUse.delete(name);
    return described.join(", ");
  }

  /** Stops the instances of a data centre, or all but one, in series. */
  async #stopInstances(): Promise<string> {
    const stopped = this.#takeInstances(this.#drawInstances(STOP_EXTENTS));
    if (stopped.length === 0) {
      return `${SKIPPED}: no instance is available`;
    }
    const stops: Promise<string>[] = [];
    for (const instance of stopped) {
      const stop = async (): Promise<string> => {
        const description = await this.#checkPlannedStop(instance);
        await this.#restartInstance(instance);
        this.#inUse.delete(instance.name);
        return description;
      };
      stops.push(stop());
      await sleep(MAX_STOP_INTERVAL_MS * this.#random.draw());
    }
    return (await Promise.all(stops)).join(", ");
  }

  /** Sends requests that targets take long for, to those that stop if any. */
  async #sendSlowRequests(): Promise<string> {
    if (this.#inUse.has("slow")) {
      return `${SKIPPED}: requests are slow already`;
    }
    this.#inUse.add("slow");
    const durationMs = this.#drawValue(SLOW_MS);
    const endMs = readMonotonicMs() + durationMs;
    const sent: Promise<void>[] = [];
    while (readMonotonicMs() < endMs) {
      const share = MIN_SLOW_SHARE +
        (MAX_SLOW_SHARE - MIN_SLOW_SHARE) * this.#random.draw();
      const deadlineMs = this.#drawValue(SLOW_DEADLINES_MS);
      sent.push(this.#trial.traffic.sendSlowRequest({ share, deadlineMs }));
      await sleep(SLOW_REQUEST_INTERVAL_MS);
    }
    await Promise.all(sent);
    this.#inUse.delete("slow");
    return `${sent.length} requests in ${durationMs} ms`;
  }

  /** Takes those of the named instances that no other fault uses. */
  #takeInstances(names: readonly string[]): readonly InstanceProcess[] {
    const taken = this.#trial.processes.instances.filter(({ name }) =>
      names.includes(name) && !this.#inUse.has(name)
    );
    taken.forEach(({ name }) => this.#inUse.add(name));
    return taken;
  }

  /** Kills all instances that no other fault uses, as a power failure does. */
  async #killInstances(): Promise<string> {
    const { processes } = this.#trial;
    const killed = processes.instances
      .filter(({ name }) => !this.#inUse.has(name));
    killed.forEach(({ name }) => this.#inUse.add(name));
    await Promise.all(killed.map((one) => processes.killInstance(one)));
    await Promise.all(killed.map((one) => this.#restartInstance(one)));
    killed.forEach(({ name }) => this.#inUse.delete(name));
    return killed.map(({ name }) => name).join(", ");
  }

  /** Pauses some instances together, once or several times. */
  async #injectPauses(): Promise<string> {
    const names = this.#drawInstances();
    const paused = this.#takeInstances(names);
    const lengths: number[] = [];
    const times = this.#drawValue(SERIES_COUNTS);
    for (let count = 0; count < times; count++) {
      lengths.push(this.#drawValue(PAUSES_MS));
      const fromMs = readMonotonicMs();
      paused.forEach(({ child }) => child.send("SIGSTOP"));
      await sleep(lengths.at(-1));
      paused.forEach(({ child }) => child.send("SIGCONT"));
      this.#recordHeldUpOrders(fromMs, readMonotonicMs());
      await sleep(this.#drawValue(SERIES_INTERVALS_MS));
    }
    paused.forEach(({ name }) => this.#inUse.delete(name));
    return `${paused.length} instances for ${lengths.join(", ")} ms`;
  }

  /** Starts as many instances as there are, and stops them again. */
  async #startInstances(): Promise<string> {
    if (this.#inUse.has("joined")) {
      return `${SKIPPED}: instances have joined already`;
    }
    this.#inUse.add("joined");
    const { processes } = this.#trial;
    const started = await Promise.all(
      processes.instances.map(() => processes.startInstance()),
    );
    started.forEach(({ name }) => this.#inUse.add(name));
    await sleep(this.#drawValue(JOINED_MS));
    await Promise.all(started.map((one) => processes.stopInstance(one)));
    started.forEach(({ name }) => this.#inUse.delete(name));
    this.#inUse.delete("joined");
    return started.map(({ name }) => name).join(", ");
  }

  async #restartInstance({ name }: InstanceProcess): Promise<void> {
    await sleep(this.#drawValue(RESTART_DELAYS_MS));
    await this.#trial.processes.startInstance(name);
  }

  async #failTarget(
    fault: "target-killed" | "target-paused" | "target-leaving",
  ): Promise<string> {
    const { processes, leavingTargets } = this.#trial;
    const target = this.#takeTarget();
    if (target === undefined) {
      return "skipped: no target is available";
    }
    switch (fault) {
      case "target-killed":
        await processes.killTarget(target);
        await sleep(this.#drawValue(RESTART_DELAYS_MS));
        // The new process has the same address, so it receives messages that
        // are meant for the old process.
        await processes.startTarget(target);
        break;
      case "target-paused":
        await this.#recordDisturbance(target.id, async () => {
          target.child.send("SIGSTOP");
          await sleep(this.#drawValue(PAUSES_MS));
          target.child.send("SIGCONT");
        });
        break;
      case "target-leaving":
        await processes.startTarget({
          group: target.group,
          dataCentre: target.dataCentre,
        });
        if (
          !await this.#sendToTarget(target, () => processes.drainTarget(target))
        ) {
          processes.recordTargetExit(target);
          this.#inUse.delete(target.id);
          return `${SKIPPED}: ${target.id} had crashed`;
        }
        leavingTargets.push({ target: target.id, atMs: readMonotonicMs() });
        await sleep(LEAVING_MS);
        await processes.stopTarget(target);
        break;
    }
    this.#inUse.delete(target.id);
    return target.id;
  }

  /** Sends a target a command; returns false if its process has ended. */
  async #sendToTarget(
    { child }: TargetProcess,
    call: () => Promise<void>,
  ): Promise<boolean> {
    try {
      await call();
      return true;
    } catch (error) {
      // Its port may be closed some milliseconds before its end is known.
      await Promise.race([child.ended, sleep(EXIT_DELAY_MS)]);
      if (child.hasEnded) {
        return false;
      }
      throw error;
    }
  }

  async #setRateLimit(): Promise<string> {
    const { processes, rateLimits } = this.#trial;
    const target = this.#takeTarget();
    if (target === undefined) {
      return "skipped: no target is available";
    }
    const perSecond = this.#drawValue(LIMITS_PER_SECOND);
    const fromMs = readMonotonicMs();
    const isSet = await this.#sendToTarget(
      target,
      () => processes.setTargetLimit(target, perSecond),
    );
    if (!isSet) {
      this.#inUse.delete(target.id);
      await Promise.all(this.#restartCrashed());
      return `${SKIPPED}: ${target.id} had crashed`;
    }
    const sent: Promise<void>[] = [];
    while (readMonotonicMs() < fromMs + RATE_LIMIT_DURATION_MS) {
      sent.push(this.#trial.traffic.sendExtraRequest(target.group.template));
      await sleep(EXTRA_REQUEST_INTERVAL_MS);
    }
    const toMs = readMonotonicMs();
    await Promise.all(sent);
    rateLimits.push({ target: target.id, perSecond, fromMs, toMs });
    await this.#sendToTarget(
      target,
      () => processes.setTargetLimit(target, null),
    );
    this.#inUse.delete(target.id);
    await Promise.all(this.#restartCrashed());
    return `${target.id} limited to ${perSecond} requests per second`;
  }

  /** Lets a target refuse all requests and ask for a pause. */
  async #setBackoff(): Promise<string> {
    const target = this.#takeTarget();
    if (target === undefined) {
      return "skipped: no target is available";
    }
    const { processes } = this.#trial;
    const seconds = this.#drawValue(BACKOFFS_S);
    const set = (value: number | null) =>
      this.#sendToTarget(
        target,
        () => processes.setTargetBackoff(target, value),
      );
    if (await set(seconds)) {
      await sleep(BACKOFF_DURATION_MS);
      await set(null);
    }
    this.#inUse.delete(target.id);
    return `${target.id} asked for pauses of ${seconds} s`;
  }

  /** Lets all targets of a service refuse half of their requests. */
  async #setRefusals(): Promise<string> {
    if (this.#inUse.has("refusals")) {
      return `${SKIPPED}: targets refuse requests already`;
    }
    this.#inUse.add("refusals");
    const { processes } = this.#trial;
    const { template } = this.#drawValue(processes.targets).group;
    const durationMs = this.#drawValue(REFUSING_MS);
    await this.#setRefusedShare(template, REFUSED_SHARE);
    await sleep(durationMs);
    await this.#setRefusedShare(template, 0);
    this.#inUse.delete("refusals");
    return `all targets of ${template} for ${durationMs} ms`;
  }

  async #setRefusedShare(template: string, share: number): Promise<void> {
    const { processes } = this.#trial;
    const targets = processes.targets
      .filter(({ group }) => group.template === template);
    // A target may end or stand still meanwhile.
    await Promise.allSettled(
      targets.map((target) => processes.setTargetRefusals(target, share)),
    );
  }

  async #sendFatalRequests(): Promise<string> {
    if (this.#inUse.has("fatal")) {
      return "skipped: another fatal request is active";
    }
    this.#inUse.add("fatal");
    const name = String(++this.#fatalRequestCount);
    const restarts: Promise<void>[] = [];
    for (let count = 0; count < FATAL_REPEATS; count++) {
      await this.#trial.traffic.sendFatalRequest(name);
      await sleep(FATAL_INTERVAL_MS);
      restarts.push(...this.#restartCrashed());
    }
    await Promise.all(restarts);
    this.#inUse.delete("fatal");
    return `${restarts.length} targets crashed`;
  }

  #restartCrashed(): readonly Promise<void>[] {
    const { processes } = this.#trial;
    const crashed = processes.targets
      .filter(({ id, child }) => child.hasEnded && !this.#inUse.has(id));
    return crashed.map(async (target) => {
      processes.recordTargetExit(target);
      await sleep(this.#drawValue(RESTART_DELAYS_MS));
      await processes.startTarget(target);
    });
  }

  async #failStore(faultMode: StoreFaultMode): Promise<string> {
    if (this.#inUse.has("store")) {
      return "skipped: the store already fails";
    }
    this.#inUse.add("store");
    const { processes } = this.#trial;
    const fromMs = readMonotonicMs();
    await processes.setStoreFaultMode(faultMode);
    const durationMs = this.#drawValue(OUTAGES_MS);
    await sleep(durationMs);
    await processes.setStoreFaultMode("serving");
    this.#recordStoreOutage(fromMs);
    this.#inUse.delete("store");
    return `${durationMs} ms`;
  }

  /** The store is away for a moment and comes back from an older copy. */
  async #restoreStore(times: number): Promise<string> {
    if (this.#inUse.has("store")) {
      return "skipped: the store already fails";
    }
    this.#inUse.add("store");
    const { processes } = this.#trial;
    const fromMs = readMonotonicMs();
    const restores: string[] = [];
    for (let count = 0; count < times; count++) {
      const awayMs = this.#drawValue(RESTORE_AWAY_MS);
      const copyAgeMs = this.#drawValue(COPY_AGES_MS);
      await processes.setStoreFaultMode("silent");
      await sleep(awayMs);
      await processes.restoreStore(copyAgeMs);
      await processes.setStoreFaultMode("serving");
      restores.push(`away ${awayMs} ms, copy ${copyAgeMs} ms old`);
      await sleep(this.#drawValue(RESTORE_PAUSES_MS));
    }
    this.#recordStoreOutage(fromMs);
    this.#inUse.delete("store");
    return restores.join("; ");
  }

  /** Starts an instance under a new name, and stops it again later. */
  async #addInstance(): Promise<string> {
    const { processes } = this.#trial;
    if (this.#inUse.has("joined")) {
      return "skipped: an instance has joined already";
    }
    this.#inUse.add("joined");
    const instance = await processes.startInstance();
    this.#inUse.add(instance.name);
    await sleep(this.#drawValue(JOINED_MS));
    await this.#checkPlannedStop(instance);
    this.#inUse.delete(instance.name);
    this.#inUse.delete("joined");
    return instance.name;
  }

  /**
   * Some instances lose their paths to all targets, once or several times. If
   * no other fault is active meanwhile, their callers must be served nearly as
   * often as those of the others.
   */
  async #failPaths(faultMode: LinkFaultMode): Promise<string> {
    if (this.#inUse.has("paths")) {
      return "skipped: paths are lost already";
    }
    this.#inUse.add("paths");
    const names = this.#drawInstances();
    const lengths: number[] = [];
    const times = this.#drawValue(PATH_LOSS_COUNTS);
    for (let count = 0; count < times; count++) {
      const fromMs = readMonotonicMs();
      this.#setPaths(names, faultMode);
      lengths.push(this.#drawValue(PATH_LOSSES_MS));
      await sleep(lengths.at(-1));
      this.#setPaths(names, undefined);
      const toMs = readMonotonicMs();
      this.#recordHeldUpOrders(fromMs, toMs);
      if (this.#countFaults(fromMs, toMs) === 1) {
        await this.#trial.checkServedAlike(names, { fromMs, toMs });
      }
      await sleep(this.#drawValue(PATH_PAUSES_MS));
    }
    this.#inUse.delete("paths");
    return `${names.join(", ")} for ${lengths.join(", ")} ms`;
  }

  /** Counts the faults that were active in a period. */
  #countFaults(fromMs: number, toMs: number): number {
    return [...this.#periods].filter((period) =>
      period.fromMs < toMs && period.toMs > fromMs - QUIET_MS
    ).length;
  }

  /** Draws one instance, several, a data centre, all but one, or all. */
  #drawInstances(
    extents: readonly (typeof PATH_LOSS_EXTENTS[number])[] = PATH_LOSS_EXTENTS,
  ): readonly string[] {
    const { processes } = this.#trial;
    const names = processes.instances.map(({ name }) => name);
    const [first = "", ...others] = names
      .toSorted(() => this.#random.draw() - 0.5);
    switch (this.#drawValue(extents)) {
      case "one":
        return [first];
      case "several":
        return [first, ...others.slice(0, 1)];
      case "data-centre":
        return names.filter((name) =>
          processes.getDataCentre(name) === processes.getDataCentre(first)
        );
      case "all-but-one":
        return others;
      case "all":
        return names;
    }
  }

  #setPaths(
    instances: readonly string[],
    faultMode: LinkFaultMode | undefined,
  ): void {
    const { links, targets } = this.#trial.processes;
    for (const { id } of targets) {
      for (const name of instances) {
        links.get(id)?.setSourceMode(getSourceAddress(name), faultMode);
      }
    }
  }

  /** All targets send copies of responses late. */
  async #injectCopies(): Promise<string> {
    if (this.#inUse.has("paths")) {
      return `${SKIPPED}: paths are lost`;
    }
    this.#inUse.add("paths");
    const { processes } = this.#trial;
    const names = processes.instances.map(({ name }) => name);
    const durationMs = this.#drawValue(REPEATING_MS);
    this.#setPaths(names, "repeating");
    await sleep(durationMs);
    this.#setPaths(names, undefined);
    this.#inUse.delete("paths");
    return `${durationMs} ms`;
  }

  #recordHeldUpOrders(fromMs: number, toMs: number): void {
    const { processes, targetDisturbances } = this.#trial;
    for (const { id: target } of processes.targets) {
      targetDisturbances.push({ target, fromMs, toMs: toMs + HELD_UP_MS });
    }
  }

  async #failLink(
    kind: "instance" | "target",
    faultMode: LinkFaultMode,
  ): Promise<string> {
    const { processes } = this.#trial;
    const names = kind === "instance"
      ? processes.instances.map(({ name }) => name)
      : processes.targets.map(({ id }) => id);
    const name = names[this.#random.drawIndex(names.length)];
    const link = name === undefined ? undefined : processes.links.get(name);
    if (name === undefined || link === undefined) {
      return "skipped: no link is available";
    }
    const fromMs = readMonotonicMs();
    await this.#recordDisturbance(name, async () => {
      link.setFaultMode(faultMode);
      await sleep(this.#drawValue(OUTAGES_MS));
      link.setFaultMode("passing");
    });
    if (kind === "instance") {
      this.#recordStoreOutage(fromMs);
    }
    return name;
  }

  /** Records that orders to a target may be held up during a fault. */
  async #recordDisturbance(
    target: string,
    inject: () => Promise<void>,
  ): Promise<void> {
    const fromMs = readMonotonicMs();
    await inject();
    const toMs = readMonotonicMs() + HELD_UP_MS;
    this.#trial.targetDisturbances.push({ target, fromMs, toMs });
  }

  #recordStoreOutage(fromMs: number): void {
    this.#trial.storeOutages.push({ fromMs, toMs: readMonotonicMs() });
  }

  #takeTarget(): TargetProcess | undefined {
    const running = this.#trial.processes.targets
      .filter(({ child }) => !child.hasEnded);
    return this.#takeUnused(running, ({ id }) => id);
  }

  #takeUnused<Item extends InstanceProcess | TargetProcess>(
    items: readonly Item[],
    getName: (item: Item) => string,
  ): Item | undefined {
    const free = items.filter((item) => !this.#inUse.has(getName(item)));
    const chosen = free[this.#random.drawIndex(free.length)];
    if (chosen !== undefined) {
      this.#inUse.add(getName(chosen));
    }
    return chosen;
  }

  #drawValue<Value>(values: readonly Value[]): Value {
    return values[this.#random.drawIndex(values.length)]!;
  }
}

/**
 * Whether a stop cut an attempt off. Other instances may be killed meanwhile, so
 * only attempts sent to this one count; it takes no new connections late in its
 * grace period.
 */
function isCutOff(
  { outcome, entry, isConnectionRefused }: CallerRecord,
  { address }: InstanceProcess,
): boolean {
  return outcome === "none" && entry === address &&
    isConnectionRefused !== true;
}
