/**
 * Until when each target may hold which keys, by the grants that one keeper
 * has sent.
 *
 * Guards against a second owner: a target that cannot be reached goes on
 * serving its keys until its hold runs out, and a grant that was given up on
 * may be carried out seconds later, even after a release was answered.
 */
import { hasOverlap, type KeyRange } from "@lentilspur/ports/key_orders";

/** A target's clock may run 2 % slow, so a hold lasts this much longer there. */
const CLOCK_DRIFT = 1.02;
/** A grant is on its way for at most this long before its connection is reset. */
const TRAVEL_MS = 400;

interface SentGrant extends KeyRange {
  readonly targetId: string;
  endsAtMs: number;
  answered: boolean;
}

/** What is told of a grant once its order has ended. */
export interface GrantRecord {
  /** The target has answered; it arrived before that. */
  recordAnswered(atMs: number): void;
  /** Not a byte of it left: it is as if it had never been. */
  recordUnsent(): void;
}

export class HoldTracker {
  #grants: SentGrant[] = [];

  /** Records a grant before it is sent. Untold, it counts as unanswered. */
  recordSent(
    targetId: string,
    range: KeyRange,
    options: { readonly timeoutAtMs: number; readonly holdMs: number },
  ): GrantRecord {
    const endsAtMs = computeHoldEndMs(options.timeoutAtMs, options.holdMs);
    const grant: SentGrant = {
      targetId,
      from: range.from,
      to: range.to,
      endsAtMs,
      answered: false,
    };
    this.#grants.push(grant);
    return {
      recordAnswered: (atMs) => {
        grant.answered = true;
        const latestMs = atMs + options.holdMs * CLOCK_DRIFT;
        grant.endsAtMs = Math.min(grant.endsAtMs, latestMs);
      },
      recordUnsent: () => {
        this.#grants = this.#grants.filter((other) => other !== grant);
      },
    };
  }

  /** When the target can hold none of these keys any more without a renewal. */
  computeEndMs(targetId: string, range: KeyRange): number {
    return this.#computeLatest(targetId, range, () => true);
  }

  /** When no grant that was given up on can have any effect any more. */
  computeUnansweredEndMs(targetId: string, range: KeyRange): number {
    return this.#computeLatest(targetId, range, (grant) => !grant.answered);
  }

  /** Whether any grant that was given up on could still take effect. */
  hasUnanswered(nowMs: number): boolean {
    return this.#grants
      .some((grant) => !grant.answered && grant.endsAtMs > nowMs);
  }

  /** Forgets grants whose holds have run out. */
  expire(nowMs: number): void {
    this.#grants = this.#grants.filter((grant) => grant.endsAtMs > nowMs);
  }

  #computeLatest(
    targetId: string,
    range: KeyRange,
    isCounted: (grant: SentGrant) => boolean,
  ): number {
    let latest = -Infinity;
    for (const grant of this.#grants) {
      if (
        grant.targetId === targetId && hasOverlap(grant, range) &&
        isCounted(grant)
      ) {
        latest = Math.max(latest, grant.endsAtMs);
      }
    }
    return latest;
  }
}

/** The end of a hold whose grant left, or was given up, at `sentAtMs`. */
export function computeHoldEndMs(sentAtMs: number, holdMs: number): number {
  return sentAtMs + TRAVEL_MS + holdMs * CLOCK_DRIFT;
}
