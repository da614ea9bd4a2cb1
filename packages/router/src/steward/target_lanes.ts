/** What a steward keeps for each of its targets: its queue and its tempo. */
import type { Template } from "@lentilspur/declarations/template";
import { AdaptiveTimeout } from "@lentilspur/policy/adaptive_timeout";
import type { Clock } from "@lentilspur/ports/clock";
import { TargetQueue } from "./target_queue.ts";

export interface TargetLane {
  readonly queue: TargetQueue;
  readonly timeout: AdaptiveTimeout;
}

export class TargetLanes {
  readonly #clock: Clock;
  readonly #lanes = new Map<string, TargetLane>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** The lane of a target, with its queue at the template's present bounds. */
  claim(target: string, template: Template): TargetLane {
    const { limits, placesPerTarget } = template;
    const bounds = {
      places: placesPerTarget,
      maxQueued: limits.maxQueuedPerTarget,
      maxQueueMs: limits.maxQueueMs,
    };
    const known = this.#lanes.get(target);
    if (known !== undefined) {
      known.queue.setBounds(bounds);
      return known;
    }
    const lane = {
      queue: new TargetQueue(bounds, this.#clock),
      timeout: new AdaptiveTimeout(),
    };
    this.#lanes.set(target, lane);
    return lane;
  }
}
