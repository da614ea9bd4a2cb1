/**
 * Spreads stewardships: an instance that has many more targets than another
 * hands one over at a time. After a rolling restart of all instances the last
 * to start would otherwise have nothing to do.
 */
import type { Lease } from "@lentilspur/ownership/lease";
import {
  chooseSteward,
  countStewardships,
} from "@lentilspur/ownership/take_over";
import { type HandOverOptions, transferStewardship } from "./hand_over.ts";

export interface StewardSpreadOptions extends HandOverOptions {
  readonly lease: Lease;
}

/**
 * Below this difference a hand-over costs its callers a pause and gains
 * nothing; it is one more than the preference for the own data centre.
 */
const WORTHWHILE_DIFFERENCE = 3;

export class StewardSpread {
  readonly #options: StewardSpreadOptions;

  constructor(options: StewardSpreadOptions) {
    this.#options = options;
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, lease, timing } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(timing.planEveryMs, signal);
      if (!signal.aborted && lease.isHeld(clock.readMs())) {
        await this.#transferOne(signal);
      }
    }
  }

  async #transferOne(signal: AbortSignal): Promise<void> {
    const { log, self } = this.#options;
    const view = log.getView();
    const members = view.listMembers();
    const counts = countStewardships(view, members);
    const own = counts.get(self) ?? 0;
    const least = Math.min(...counts.values());
    if (own - least < WORTHWHILE_DIFFERENCE) {
      return;
    }
    const others = members.filter(({ instance }) => instance.id !== self);
    const state = view.listTargets().find(({ steward }) => steward === self);
    const to = state === undefined
      ? undefined
      : chooseSteward(state.target.dataCentre, others, counts);
    if (state === undefined || to === undefined) {
      return;
    }
    const gain = own - (counts.get(to) ?? 0);
    if (gain >= WORTHWHILE_DIFFERENCE) {
      await transferStewardship(this.#options, state, to, signal);
    }
  }
}
