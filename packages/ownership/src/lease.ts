/**
 * The holder's side of an instance's lease.
 *
 * An instance may act for its targets only while enough of its guardians have
 * pledged not to consent to its take-over. Nothing here goes through the log,
 * so a log outage ends no lease; and a holder that is paused or cut off runs
 * out by its own clock before any successor can have gathered its consents.
 */
import { computeLeaseQuorum } from "@lentilspur/state/quorum";

export interface LeaseTiming {
  /** What a guardian pledges for, from receipt, on its own clock. */
  readonly leaseMs: number;
  /** The holder stops this long before its lease could lapse. */
  readonly marginMs: number;
  /** Bound on how far two monotonic clocks drift apart, as a share. */
  readonly driftRatio: number;
}

/** Never lapses: nobody but an operator can take such an instance over. */
export const UNBOUNDED = Number.POSITIVE_INFINITY;

export class Lease {
  readonly #timing: LeaseTiming;
  readonly #pledgedAt = new Map<string, number>();
  readonly #revokedBy = new Set<string>();
  #guardians: readonly string[] = [];
  #pendingSets: readonly (readonly string[])[] = [];
  #isEnded = true;

  constructor(timing: LeaseTiming) {
    this.#timing = timing;
  }

  /** Starts the lease of a member with these guardians. */
  start(guardians: readonly string[]): void {
    this.#isEnded = false;
    this.#guardians = guardians;
  }

  /** For good: this instance left or was taken over. */
  stop(): void {
    this.#isEnded = true;
  }

  isStopped(): boolean {
    return this.#isEnded;
  }

  /** The guardians that the folded log names. */
  setGuardians(guardians: readonly string[]): void {
    this.#guardians = guardians;
  }

  /**
   * While changes of guardians are on their way, any of the sets may be the
   * one that a successor must ask: an append whose answer was lost can take
   * effect late. Counting on the old set alone would let a new one consent
   * while the lease still stands; so all of them must hold it up until the
   * fold has settled the changes.
   */
  addPendingGuardians(guardians: readonly string[]): void {
    this.#pendingSets = [...this.#pendingSets, guardians];
  }

  /** The guardian token has changed, so no earlier change can be accepted. */
  clearPendingGuardians(): void {
    this.#pendingSets = [];
  }

  /** `sentAtMs` is when the renewal left, so the answer's way never counts. */
  recordPledge(guardian: string, sentAtMs: number): void {
    const before = this.#pledgedAt.get(guardian);
    if (before === undefined || before < sentAtMs) {
      this.#pledgedAt.set(guardian, sentAtMs);
    }
  }

  /** This guardian has given the holder up and will never pledge again. */
  recordRevoked(guardian: string): void {
    this.#revokedBy.add(guardian);
    this.#pledgedAt.delete(guardian);
  }

  hasRevoked(guardian: string): boolean {
    return this.#revokedBy.has(guardian);
  }

  /** Everyone whose pledge is wanted at present. */
  listGuardians(): readonly string[] {
    return [...new Set([this.#guardians, ...this.#pendingSets].flat())];
  }

  /** Until when this instance may act, on its own clock. */
  computeExpiryMs(): number {
    if (this.#isEnded) {
      return Number.NEGATIVE_INFINITY;
    }
    const sets = [this.#guardians, ...this.#pendingSets];
    return Math.min(...sets.map((set) => this.#computeExpiryOf(set)));
  }

  /**
   * Ask right before each act: a process that was paused learns here, before
   * its first act, how long it was away.
   */
  isHeld(nowMs: number): boolean {
    return nowMs < this.computeExpiryMs();
  }

  /** Too many guardians have given this instance up for it ever to hold again. */
  isBeyondRenewal(): boolean {
    const quorum = computeLeaseQuorum(this.#guardians.length);
    const left = this.#guardians
      .filter((guardian) => !this.#revokedBy.has(guardian));
    return this.#isEnded || left.length < quorum;
  }

  #computeExpiryOf(guardians: readonly string[]): number {
    const quorum = computeLeaseQuorum(guardians.length);
    if (quorum === 0) {
      return UNBOUNDED;
    }
    const latestFirst = guardians
      .map((guardian) =>
        this.#pledgedAt.get(guardian) ?? Number.NEGATIVE_INFINITY
      )
      .sort((left, right) => right > left ? 1 : -1);
    const deciding = latestFirst[quorum - 1] ?? Number.NEGATIVE_INFINITY;
    const { leaseMs, driftRatio, marginMs } = this.#timing;
    return deciding + leaseMs * (1 - driftRatio) - marginMs;
  }
}
