/** What dispatches have shown of each target: own contact, no reports. */
import type { DispatchFailure } from "@lentilspur/ports/target";
import type { TargetContact } from "../authority.ts";

export class TargetContacts {
  readonly #contacts = new Map<string, TargetContact>();

  get(target: string): TargetContact | undefined {
    return this.#contacts.get(target);
  }

  recordAnswer(target: string, nowMs: number): void {
    this.#contacts.set(target, {
      ...this.#contacts.get(target),
      lastHeardAt: nowMs,
      consecutiveFailures: 0,
    });
  }

  recordFailure(target: string, failure: DispatchFailure, nowMs: number): void {
    switch (failure.cause) {
      case "fenced":
        this.recordAnswer(target, nowMs);
        this.#contacts.set(target, {
          ...this.#contacts.get(target)!,
          lastFencedAt: nowMs,
        });
        break;
      case "refused":
      case "shed":
      case "draining":
      case "too-large":
        this.recordAnswer(target, nowMs);
        break;
      case "unreachable":
      case "silent":
      case "reset":
      case "cut": {
        const known = this.#contacts.get(target);
        this.#contacts.set(target, {
          ...known,
          lastHeardAt: known?.lastHeardAt ?? -Infinity,
          consecutiveFailures: (known?.consecutiveFailures ?? 0) + 1,
        });
        break;
      }
      case "cancelled":
        break;
    }
  }
}
