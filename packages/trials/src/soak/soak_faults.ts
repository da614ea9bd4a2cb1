/**
 * What goes wrong in a soak. Each fault is brought about, lasts a while, and is
 * made good, so that the deployment keeps its size.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Random } from "@lentilspur/ports/clock";
import { readMachineMs } from "@lentilspur/standins/caller";
import type { Trial } from "../start/once.ts";
import type { InstanceProcess, TargetProcess } from "../start/processes.ts";

export type SoakFault =
  | "instance-killed"
  | "instance-paused"
  | "instance-stopped"
  | "target-killed"
  | "target-frozen"
  | "target-leaving"
  | "log-down"
  | "log-slow"
  | "log-answers-lost";

export const SOAK_FAULTS: readonly SoakFault[] = [
  "instance-killed",
  "instance-paused",
  "instance-stopped",
  "target-killed",
  "target-frozen",
  "target-leaving",
  "log-down",
  "log-slow",
  "log-answers-lost",
];

/** Long enough for a lease of 2 s to lapse, or short enough that it holds. */
const PAUSES_MS = [300, 1_500, 3_000, 8_000];
const RESTART_MS = 1_500;
/** Exit code of an instance that was taken over while it was paused. */
const TAKEN_OVER_CODE = 6;
const LOG_FAULT_MS = 5_000;
const LEAVING_MS = 7_000;

export class FaultInjector {
  readonly #trial: Trial;
  readonly #random: Random;
  /** What another fault has in hand already. */
  readonly #taken = new Set<string>();
  #isLogFaulty = false;
  #newTargets = 0;

  constructor(trial: Trial, random: Random) {
    this.#trial = trial;
    this.#random = random;
  }

  /** Resolves once the fault is over; gives what was done. */
  async inject(fault: SoakFault): Promise<string> {
    switch (fault) {
      case "instance-killed":
      case "instance-paused":
      case "instance-stopped":
        return await this.#failInstance(fault);
      case "target-killed":
      case "target-frozen":
      case "target-leaving":
        return await this.#failTarget(fault);
      case "log-down":
        return await this.#failLog({ isDown: true }, { isDown: false });
      case "log-slow":
        return await this.#failLog({ latencyMs: 300 }, { latencyMs: 0 });
      case "log-answers-lost":
        return await this.#failLog(
          { lostAnswers: 2, lateAppends: 2, lateByMs: 4_000 },
          { lostAnswers: 0, lateAppends: 0 },
        );
    }
  }

  async #failInstance(
    fault: "instance-killed" | "instance-paused" | "instance-stopped",
  ): Promise<string> {
    const instance = this.#claimOne(this.#trial.processes.instances);
    if (instance === undefined) {
      return "nothing";
    }
    const { processes } = this.#trial;
    switch (fault) {
      case "instance-killed":
        await processes.killInstance(instance);
        await sleep(RESTART_MS);
        await processes.startInstance();
        return `${instance.name} killed and replaced`;
      case "instance-paused":
        return await this.#freezeInstance(instance);
      case "instance-stopped":
        await this.#trial.checkPlannedStop(
          instance,
          (record) =>
            record.entry === instance.httpAddress && record.outcome === "none",
        );
        await processes.startInstance();
        return `${instance.name} stopped and replaced`;
    }
  }

  async #freezeInstance(instance: InstanceProcess): Promise<string> {
    const pauseMs = this.#drawOne(PAUSES_MS)!;
    instance.child.send("SIGSTOP");
    await sleep(pauseMs);
    instance.child.send("SIGCONT");
    this.#taken.delete(instance.name);
    return `${instance.name} paused for ${pauseMs} ms`;
  }

  /** Replaces instances that were taken over and have ended by themselves. */
  async startReplacements(): Promise<void> {
    const { processes, faults } = this.#trial;
    const ended = processes.instances.filter(({ child }) => child.hasEnded);
    for (const instance of ended) {
      if (instance.child.exitCode !== TAKEN_OVER_CODE) {
        const { exitCode } = instance.child;
        faults.push(`${instance.name} ended by itself with "${exitCode}"`);
      }
      await processes.killInstance(instance);
      await processes.startInstance();
    }
  }

  async #failTarget(
    fault: "target-killed" | "target-frozen" | "target-leaving",
  ): Promise<string> {
    const target = this.#claimOne(this.#trial.processes.targets);
    if (target === undefined) {
      return "nothing";
    }
    switch (fault) {
      case "target-killed":
        await this.#trial.processes.killTarget(target);
        await sleep(RESTART_MS);
        await this.#trial.processes.startTarget(target);
        break;
      case "target-frozen":
        target.child.send("SIGSTOP");
        await sleep(this.#drawOne(PAUSES_MS)!);
        target.child.send("SIGCONT");
        break;
      case "target-leaving":
        await this.#removeTarget(target);
        break;
    }
    this.#taken.delete(target.id);
    return `${fault}: ${target.id}`;
  }

  async #removeTarget(target: TargetProcess): Promise<void> {
    const { processes, leaving } = this.#trial;
    this.#newTargets++;
    await processes.startTarget({
      id: `${target.group.template}-new-${this.#newTargets}`,
      group: target.group,
      dataCentre: target.dataCentre,
    });
    await processes.setTargetState(target.id, "leaving");
    leaving.push({ target: target.id, atMs: readMachineMs() });
    await sleep(LEAVING_MS);
    await processes.stopTarget(target);
    await processes.removeFromList(target.id);
  }

  async #failLog(
    faults: Readonly<Record<string, unknown>>,
    cure: Readonly<Record<string, unknown>>,
  ): Promise<string> {
    if (this.#isLogFaulty) {
      return "nothing";
    }
    this.#isLogFaulty = true;
    await this.#trial.processes.setLogFaults(faults);
    await sleep(LOG_FAULT_MS);
    await this.#trial.processes.setLogFaults(cure);
    this.#isLogFaulty = false;
    return `log ${JSON.stringify(faults)}`;
  }

  /** One that no other fault has in hand. */
  #claimOne<T extends { readonly id?: string; readonly name?: string }>(
    all: readonly T[],
  ): T | undefined {
    const free = all.filter((each) => !this.#taken.has(getName(each)));
    const chosen = this.#drawOne(free);
    if (chosen !== undefined) {
      this.#taken.add(getName(chosen));
    }
    return chosen;
  }

  #drawOne<T>(all: readonly T[]): T | undefined {
    return all[Math.floor(this.#random.draw() * all.length)];
  }
}

function getName(
  subject: { readonly id?: string; readonly name?: string },
): string {
  return subject.id ?? subject.name ?? "";
}
