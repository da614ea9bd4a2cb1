/**
 * What goes wrong in a soak. Each fault is brought about from outside the
 * processes, lasts a while, and is made good, so that the deployment keeps its
 * size. Several may be at work at once.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { StoreFaultMode } from "@lentilspur/ports/fake_store";
import type { Trial } from "../start/trial.ts";
import type {
  InstanceProcess,
  TargetProcess,
} from "../start/deployment_processes.ts";
import { readMonotonicMs } from "../traffic/caller.ts";
import type { TrafficRandom } from "../traffic/traffic_random.ts";
import type { LinkFaultMode } from "./faulty_link.ts";

export const SOAK_FAULTS = [
  "instance-killed",
  "instance-paused",
  "instance-stopped",
  "instances-killed-at-once",
  "target-killed",
  "target-paused",
  "target-leaving",
  "target-limited",
  "request-fatal",
  "store-silent",
  "store-refusing",
  "store-losing-answers",
  "store-link-silent",
  "store-link-deaf",
  "store-link-resetting",
  "target-link-silent",
  "target-link-deaf",
  "target-link-resetting",
  "target-link-delaying",
] as const;

export type SoakFault = typeof SOAK_FAULTS[number];

/** Within a hold of 3 s, and beyond it. */
const PAUSES_MS = [300, 1_500, 3_500, 7_000];
const RESTARTS_MS = [100, 800, 2_500];
const OUTAGES_MS = [500, 2_500, 6_000];
/** A request that crashes its targets comes so often, and after this long. */
const FATAL_REPEATS = 40;
const FATAL_PAUSE_MS = 1_000;
const LIMITS_PER_SECOND = [0.5, 2.5, 8];
const LIMITED_MS = 10_000;
/** Requests for the service of a limited target, beyond those of the callers. */
const EXTRA_EVERY_MS = 40;
/** A target is stopped this long after it said that it leaves. */
const LEAVING_MS = 6_000;

export class FaultInjector {
  readonly #trial: Trial;
  readonly #random: TrafficRandom;
  /** What another fault has in hand already. */
  readonly #inUse = new Set<string>();
  #fatalRequests = 0;

  constructor(trial: Trial, random: TrafficRandom) {
    this.#trial = trial;
    this.#random = random;
  }

  /** Resolves once the fault is made good; gives what was done. */
  async inject(fault: SoakFault): Promise<string> {
    switch (fault) {
      case "instance-killed":
      case "instance-paused":
      case "instance-stopped":
        return await this.#failInstance(fault);
      case "instances-killed-at-once":
        return await this.#killInstances();
      case "target-killed":
      case "target-paused":
      case "target-leaving":
        return await this.#failTarget(fault);
      case "target-limited":
        return await this.#setLimit();
      case "request-fatal":
        return await this.#sendFatal();
      case "store-silent":
        return await this.#failStore("silent");
      case "store-refusing":
        return await this.#failStore("refusing");
      case "store-losing-answers":
        return await this.#failStore("losing-answers");
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
    }
  }

  async #failInstance(
    fault: "instance-killed" | "instance-paused" | "instance-stopped",
  ): Promise<string> {
    const { processes } = this.#trial;
    const instance = this.#take(processes.instances, ({ name }) => name);
    if (instance === undefined) {
      return "nothing: no instance is at hand";
    }
    switch (fault) {
      case "instance-killed":
        await processes.killInstance(instance);
        await this.#startAgain(instance);
        break;
      case "instance-stopped":
        // Other instances may be killed meanwhile: only its own callers count.
        await this.#trial.checkPlannedStop(
          instance,
          ({ outcome, entry }) =>
            outcome === "none" && entry === instance.address,
        );
        await this.#startAgain(instance);
        break;
      case "instance-paused":
        instance.child.send("SIGSTOP");
        await sleep(this.#draw(PAUSES_MS));
        instance.child.send("SIGCONT");
        break;
    }
    this.#inUse.delete(instance.name);
    return instance.name;
  }

  /** All that are not in hand, as in a loss of power. */
  async #killInstances(): Promise<string> {
    const { processes } = this.#trial;
    const lost = processes.instances
      .filter(({ name }) => !this.#inUse.has(name));
    lost.forEach(({ name }) => this.#inUse.add(name));
    await Promise.all(lost.map((one) => processes.killInstance(one)));
    await Promise.all(lost.map((one) => this.#startAgain(one)));
    lost.forEach(({ name }) => this.#inUse.delete(name));
    return lost.map(({ name }) => name).join(", ");
  }

  async #startAgain({ name }: InstanceProcess): Promise<void> {
    await sleep(this.#draw(RESTARTS_MS));
    await this.#trial.processes.startInstance(name);
  }

  async #failTarget(
    fault: "target-killed" | "target-paused" | "target-leaving",
  ): Promise<string> {
    const { processes, leavingTargets: leaving } = this.#trial;
    const target = this.#takeTarget();
    if (target === undefined) {
      return "nothing: no target is at hand";
    }
    switch (fault) {
      case "target-killed":
        await processes.killTarget(target);
        await sleep(this.#draw(RESTARTS_MS));
        // Another process at the address: every message names the one before.
        await processes.startTarget(target);
        break;
      case "target-paused":
        target.child.send("SIGSTOP");
        await sleep(this.#draw(PAUSES_MS));
        target.child.send("SIGCONT");
        break;
      case "target-leaving":
        await processes.startTarget({
          group: target.group,
          dataCentre: target.dataCentre,
        });
        await processes.drainTarget(target);
        leaving.push({ target: target.id, atMs: readMonotonicMs() });
        await sleep(LEAVING_MS);
        await processes.stopTarget(target);
        break;
    }
    this.#inUse.delete(target.id);
    return target.id;
  }

  async #setLimit(): Promise<string> {
    const { processes, rateLimits: limits } = this.#trial;
    const target = this.#takeTarget();
    if (target === undefined) {
      return "nothing: no target is at hand";
    }
    const perSecond = this.#draw(LIMITS_PER_SECOND);
    const fromMs = readMonotonicMs();
    await processes.setTargetLimit(target, perSecond);
    const sent: Promise<void>[] = [];
    while (readMonotonicMs() < fromMs + LIMITED_MS) {
      sent.push(this.#trial.traffic.sendExtraRequest(target.group.template));
      await sleep(EXTRA_EVERY_MS);
    }
    const toMs = readMonotonicMs();
    await Promise.all(sent);
    limits.push({ target: target.id, perSecond, fromMs, toMs });
    if (!target.child.hasEnded) {
      await processes.setTargetLimit(target, null);
    }
    this.#inUse.delete(target.id);
    await Promise.all(this.#restartCrashed());
    return `${target.id} takes ${perSecond} a second`;
  }

  async #sendFatal(): Promise<string> {
    if (this.#inUse.has("fatal")) {
      return "nothing: another such request is on its way";
    }
    this.#inUse.add("fatal");
    const name = String(++this.#fatalRequests);
    const restarts: Promise<void>[] = [];
    for (let nth = 0; nth < FATAL_REPEATS; nth++) {
      await this.#trial.traffic.sendFatalRequest(name);
      await sleep(FATAL_PAUSE_MS);
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
      await sleep(this.#draw(RESTARTS_MS));
      await processes.startTarget(target);
    });
  }

  async #failStore(mood: StoreFaultMode): Promise<string> {
    if (this.#inUse.has("store")) {
      return "nothing: the store fails already";
    }
    this.#inUse.add("store");
    const { processes } = this.#trial;
    const fromMs = readMonotonicMs();
    await processes.setStoreFaultMode(mood);
    const lengthMs = this.#draw(OUTAGES_MS);
    await sleep(lengthMs);
    await processes.setStoreFaultMode("serving");
    this.#recordDisturbance(fromMs);
    this.#inUse.delete("store");
    return `${lengthMs} ms`;
  }

  async #failLink(
    to: "instance" | "target",
    mood: LinkFaultMode,
  ): Promise<string> {
    const { processes } = this.#trial;
    const names = to === "instance"
      ? processes.instances.map(({ name }) => name)
      : processes.targets.map(({ id }) => id);
    const name = names[this.#random.drawIndex(names.length)];
    const link = name === undefined ? undefined : processes.links.get(name);
    if (name === undefined || link === undefined) {
      return "nothing: no link is at hand";
    }
    const fromMs = readMonotonicMs();
    link.setFaultMode(mood);
    await sleep(this.#draw(OUTAGES_MS));
    link.setFaultMode("passing");
    if (to === "instance") {
      this.#recordDisturbance(fromMs);
    }
    return name;
  }

  #recordDisturbance(fromMs: number): void {
    this.#trial.storeOutages.push({ fromMs, toMs: readMonotonicMs() });
  }

  #takeTarget(): TargetProcess | undefined {
    const running = this.#trial.processes.targets
      .filter(({ child }) => !child.hasEnded);
    return this.#take(running, ({ id }) => id);
  }

  #take<Item extends InstanceProcess | TargetProcess>(
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

  #draw(values: readonly number[]): number {
    return values[this.#random.drawIndex(values.length)]!;
  }
}
