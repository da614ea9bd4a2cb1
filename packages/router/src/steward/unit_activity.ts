/**
 * Which units have dispatched requests that are not settled.
 *
 * A request counts for the unit it was dispatched under and for its key's own
 * unit: a key that becomes hot leaves its shard while requests that were sent
 * under the shard still run, and its move must wait for them.
 */
import type { UnitId } from "@lentilspur/state/entries";
import { makeKeyUnit } from "@lentilspur/state/units";
import { formatUnitName } from "./memory_floors.ts";

interface Activity {
  running: number;
  readonly waiters: Set<() => void>;
}

export class UnitActivity {
  readonly #units = new Map<string, Activity>();

  add(template: string, unit: UnitId, key: string): void {
    for (const name of listNames(template, unit, key)) {
      this.#claim(name).running++;
    }
  }

  settle(template: string, unit: UnitId, key: string): void {
    for (const name of listNames(template, unit, key)) {
      this.#settleName(name);
    }
  }

  #settleName(name: string): void {
    const activity = this.#units.get(name);
    if (activity === undefined) {
      return;
    }
    activity.running--;
    if (activity.running === 0) {
      this.#units.delete(name);
      activity.waiters.forEach((wake) => wake());
    }
  }

  /** Resolves once the unit has nothing unsettled, or on abort. */
  waitForIdle(
    template: string,
    unit: UnitId,
    signal?: AbortSignal,
  ): Promise<void> {
    const activity = this.#units.get(formatUnitName(template, unit));
    if (activity === undefined || signal?.aborted) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      activity.waiters.add(resolve);
      signal?.addEventListener("abort", () => {
        activity.waiters.delete(resolve);
        resolve();
      }, { once: true });
    });
  }

  #claim(name: string): Activity {
    const known = this.#units.get(name);
    if (known !== undefined) {
      return known;
    }
    const activity = { running: 0, waiters: new Set<() => void>() };
    this.#units.set(name, activity);
    return activity;
  }
}

function listNames(
  template: string,
  unit: UnitId,
  key: string,
): ReadonlySet<string> {
  return new Set([
    formatUnitName(template, unit),
    formatUnitName(template, makeKeyUnit(key)),
  ]);
}
