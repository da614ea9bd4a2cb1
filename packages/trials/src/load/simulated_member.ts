/** One target of a simulated template, with the queue in front of it. */
import { AdaptiveTimeout } from "@lentilspur/policy/adaptive_timeout";
import { PLACES_PER_TARGET } from "./deployments.ts";
import type { EventQueue } from "./event_queue.ts";
import type { GroupOptions } from "./group_simulation.ts";
import { SimulatedTarget } from "./simulated_target.ts";
import type { TargetQueue } from "./target_queue.ts";

export interface SimulatedMember {
  readonly target: SimulatedTarget;
  readonly queue: TargetQueue;
  readonly joinedAtMs: number;
  /** Null where answers are waited for until their deadline. */
  readonly timeout: AdaptiveTimeout | null;
  wakeAtMs: number;
}

export interface MemberOptions {
  readonly index: number;
  readonly cold: boolean;
  readonly events: EventQueue;
}

export function createMember(
  group: GroupOptions,
  options: MemberOptions,
): SimulatedMember {
  const { index, cold, events } = options;
  const { faults, faultsOnAll } = group.pattern;
  const hasFaults = index === 0 || faultsOnAll === true;
  return {
    target: new SimulatedTarget({
      id: `t${index}`,
      events,
      places: PLACES_PER_TARGET,
      faults: hasFaults ? faults ?? [] : [],
      cold,
    }),
    queue: group.variant.createQueue({ cold }),
    joinedAtMs: cold ? events.nowMs : -Infinity,
    timeout: group.variant.adaptsTimeout ? new AdaptiveTimeout() : null,
    wakeAtMs: Infinity,
  };
}
