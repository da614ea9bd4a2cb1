/** What the entries let in: one limiter per instance, behind a balancer. */
import { AccountLimiter } from "@lentilspur/policy/account_limiter";
import type { AdmissionDecision } from "@lentilspur/policy/scheduled_job";
import type { Call } from "./call.ts";
import { PLACES_PER_TARGET, type TargetGroup } from "./deployments.ts";

/** Each deployment has twelve entry instances. */
export const INSTANCES = 12;
/** An account may ask for this many times an equal part of the capacity. */
const RATE_FACTOR = 4;
const MAX_CONCURRENT = 256;

export class EntryLimits {
  readonly #template: string;
  readonly #requestsPerSecond: number;
  readonly #limiters = Array.from(
    { length: INSTANCES },
    () => new AccountLimiter({ instanceCount: INSTANCES }),
  );

  constructor(group: TargetGroup, accounts: number) {
    const capacity = group.targets * PLACES_PER_TARGET / group.serviceMs;
    this.#template = group.template;
    this.#requestsPerSecond = 1_000 * RATE_FACTOR * capacity / accounts;
  }

  offer(call: Call, nowMs: number): AdmissionDecision {
    const parameters = {
      template: this.#template,
      weight: 1,
      requestsPerSecond: this.#requestsPerSecond,
      burst: this.#requestsPerSecond / INSTANCES,
      maxConcurrent: MAX_CONCURRENT,
    };
    return this.#limiters[call.instance]!.offer(
      String(call.subject.account),
      this.#template,
      parameters,
      nowMs,
    );
  }

  release(call: Call): void {
    const account = String(call.subject.account);
    this.#limiters[call.instance]!.release(account, this.#template);
  }
}
