/**
 * Tracks until when each target may hold which keys, based on the grants that
 * one keeper has sent.
 *
 * This prevents a second owner: an unreachable target goes on serving its keys
 * until its hold expires, and a grant whose order has timed out may be carried
 * out seconds later, even after the target answered a release.
 */
import { hasOverlap, type KeyRange } from "@lentilspur/ports/key_orders";

/** A target's clock may run 2% slow, so its hold may last this much longer. */
const CLOCK_DRIFT = 1.02;
/**
 * A grant is in flight for at most this long before its connection is reset.
 * This time counts from the timeout of the order, since the sender may transmit
 * the grant until then.
 */
const MAX_TRANSIT_MS = 400;

interface SentGrant extends KeyRange {
  readonly targetId: string;
  endsAtMs: number;
  answered: boolean;
}

/** Records how the order of a grant ended. */
export interface GrantRecord {
  /** The target has answered, so the grant arrived before `atMs`. */
  recordAnswered(atMs: number): void;
  /** Not a byte was sent, so the grant can never take effect. */
  recordUnsent(): void;
}

export class HoldTracker {
  #grants: SentGrant[] = [];

  /**
   * Records a grant before it is sent. The grant counts as unanswered until its
   * outcome is recorded.
   */
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

  /** When the target can no longer hold any of these keys without a renewal. */
  computeEndMs(targetId: string, range: KeyRange): number {
    return this.#computeLatest(targetId, range, () => true);
  }

  /** When no unanswered grant of these keys can take effect any more. */
  computeUnansweredEndMs(targetId: string, range: KeyRange): number {
    return this.#computeLatest(targetId, range, (grant) => !grant.answered);
  }

  /** Whether an unanswered grant can still take effect. */
  hasUnansweredGrants(nowMs: number): boolean {
    return this.#grants
      .some((grant) => !grant.answered && grant.endsAtMs > nowMs);
  }

  /** Removes grants whose holds have expired. */
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

/**
 * The latest end of a hold. `lastTransmitAtMs` is the latest time at which the
 * sender may still have transmitted the grant: its timeout, or a later bound.
 */
export function computeHoldEndMs(
  lastTransmitAtMs: number,
  holdMs: number,
): number {
  return lastTransmitAtMs + MAX_TRANSIT_MS + holdMs * CLOCK_DRIFT;
}
