/**
 * The guardian's side: pledges to holders, and consents to their take-over.
 *
 * A pledge binds this process alone and is bounded in time. A consent is for
 * good: an append that carries it may take effect at any later moment, so a
 * guardian that has consented never pledges to that holder again.
 */
import type { ConsentReply, RenewReply } from "@lentilspur/ports/peer";

export class Guardian {
  readonly #pledgedUntil = new Map<string, number>();
  readonly #consented = new Set<string>();

  /**
   * `mayPledge` is whether this instance is in standing (see `isInStanding`).
   * A guardian that was taken over stops pledging a bounded time later, so it
   * can be waited out.
   */
  answerRenewal(
    holder: string,
    leaseMs: number,
    options: { readonly nowMs: number; readonly mayPledge: boolean },
  ): RenewReply {
    if (this.#consented.has(holder)) {
      return { kind: "revoked" };
    }
    if (!options.mayPledge) {
      return {
        kind: "unable",
        message: "The guardian cannot tell that it is a member",
      };
    }
    const before = this.#pledgedUntil.get(holder) ?? options.nowMs;
    this.#pledgedUntil.set(holder, Math.max(options.nowMs + leaseMs, before));
    return { kind: "pledged" };
  }

  answerConsent(holder: string, nowMs: number): ConsentReply {
    const until = this.#pledgedUntil.get(holder);
    if (until !== undefined && nowMs < until) {
      return { kind: "pledged", forMs: until - nowMs };
    }
    this.#consented.add(holder);
    this.#pledgedUntil.delete(holder);
    return { kind: "consented" };
  }

  /** How long this guardian's pledge has been lapsed; undefined if it stands. */
  computeSilenceMs(holder: string, nowMs: number): number | undefined {
    const until = this.#pledgedUntil.get(holder);
    return until === undefined || nowMs < until ? undefined : nowMs - until;
  }

  /** Whether there ever was a pledge to this holder. */
  hasPledged(holder: string): boolean {
    return this.#pledgedUntil.has(holder);
  }

  hasConsented(holder: string): boolean {
    return this.#consented.has(holder);
  }

  /** The fold has removed this holder; from now on it answers for that. */
  removeHolder(holder: string): void {
    this.#pledgedUntil.delete(holder);
    this.#consented.delete(holder);
  }

  listHolders(): readonly string[] {
    return [...this.#pledgedUntil.keys(), ...this.#consented];
  }
}
