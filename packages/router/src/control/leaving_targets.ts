/**
 * Since when targets are known to be leaving. A few seconds later they get no
 * new work, whether their units could be moved off by then or not.
 *
 * Usually the units are gone long before. But they may have to stay (a target
 * that does not check its grants, after a take-over), there may be no other
 * target, or the log may be down; a target that was told that it may end must
 * not be given work all the same.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type { InstanceListPort } from "@lentilspur/ports/instance_list";
import type { ControlTiming } from "../settings.ts";
import { isInContact, type LogAccess } from "./log_access.ts";
import { waitAtMost } from "./time_limit.ts";

export interface LeavingTargetsOptions {
  readonly clock: Clock;
  readonly log: LogAccess;
  readonly instanceList: InstanceListPort;
  readonly timing: ControlTiming;
}

/** Time for the drain to move the units off while their callers go on. */
const DRAIN_MS = 3_000;

export class LeavingTargets {
  readonly #options: LeavingTargetsOptions;
  readonly #sinceMs = new Map<string, number>();

  constructor(options: LeavingTargetsOptions) {
    this.#options = options;
  }

  /** Whether the target gets no new work any more. */
  isClosed(target: string, nowMs: number): boolean {
    const sinceMs = this.#sinceMs.get(target);
    return sinceMs !== undefined && nowMs - sinceMs >= DRAIN_MS;
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { log, timing } = this.#options;
    while (!signal.aborted) {
      await this.#updateTimes();
      await log.waitForFold(timing.listEveryMs, signal);
    }
  }

  async #updateTimes(): Promise<void> {
    const { clock, log } = this.#options;
    const nowMs = clock.readMs();
    const leaving = new Set(
      log.getView().listTargets()
        .filter((state) => state.leaving)
        .map((state) => state.target.id),
    );
    // Usually the planner alone reads the list and the log tells the others.
    // While the log is silent everyone reads it.
    if (!isInContact(log, nowMs)) {
      (await this.#fetchLeaving()).forEach((id) => leaving.add(id));
    }
    for (const id of this.#sinceMs.keys()) {
      if (!leaving.has(id)) {
        this.#sinceMs.delete(id);
      }
    }
    for (const id of leaving) {
      this.#sinceMs.set(id, this.#sinceMs.get(id) ?? nowMs);
    }
  }

  async #fetchLeaving(): Promise<readonly string[]> {
    const { clock, instanceList, timing } = this.#options;
    const call = instanceList.list();
    const list = await waitAtMost(clock, timing.listEveryMs, call);
    return list === undefined || !list.ok
      ? [...this.#sinceMs.keys()]
      : list.val.filter(({ state }) => state === "leaving")
        .map(({ id }) => id);
  }
}
