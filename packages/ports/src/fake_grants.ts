/** The grants that a checking target holds. */
import type { Position } from "@lentilspur/outcomes/position";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { GrantRequest } from "./target.ts";

export interface GrantClaim {
  readonly stewardToken: Position;
  readonly unit: string;
  readonly key: string;
  readonly unitToken: Position;
}

export class FakeGrants {
  readonly #tokens = new Map<string, Position>();
  /** Keys that are not to be served under their shard. */
  #excludedKeys: ReadonlySet<string> = new Set();
  #highestToken: Position = -1;
  #liveUntilMs = -Infinity;
  #lapses = 0;
  #lastLapsedAtMs = -Infinity;

  /** How often grants have lapsed, as far as a grant has shown it. */
  get lapses(): number {
    return this.#lapses;
  }

  /** When they lapsed last, or will lapse. */
  get lapsedAtMs(): number {
    return this.#lapses === 0 ? this.#liveUntilMs : this.#lastLapsedAtMs;
  }

  /** Takes a grant; the failure is the highest token seen. */
  apply(request: GrantRequest, nowMs: number): Result<void, Position> {
    const { stewardToken, validUntilMs } = request;
    if (stewardToken < this.#highestToken) {
      return Err(this.#highestToken);
    }
    if (nowMs > this.#liveUntilMs) {
      this.#lapses++;
      this.#lastLapsedAtMs = this.#liveUntilMs;
    }
    // A steward that has taken over starts from nothing: what its predecessor
    // granted is void, whether the successor knew of it or not.
    if (stewardToken > this.#highestToken) {
      this.#tokens.clear();
      this.#excludedKeys = new Set();
      this.#liveUntilMs = -Infinity;
    }
    this.#highestToken = stewardToken;
    // Failure: a grant is held up on one connection, a later one takes the
    // unit back over another, and then the first arrives and gives it again.
    // Each grant ends later than the one before, so the first is out of order.
    if (validUntilMs > this.#liveUntilMs) {
      this.#liveUntilMs = validUntilMs;
      request.add.forEach(({ unit, token }) => this.#tokens.set(unit, token));
      if (request.excludedKeys !== null) {
        this.#excludedKeys = new Set(request.excludedKeys);
      }
    }
    request.remove.forEach((unit) => this.#tokens.delete(unit));
    return Ok(undefined);
  }

  /** Whether the grants have been live without a gap since `lapses` was read. */
  isUnbroken(lapses: number, nowMs: number): boolean {
    return lapses === this.#lapses && nowMs <= this.#liveUntilMs;
  }

  /** Whether a request may start now. */
  isLive(claim: GrantClaim, nowMs: number): boolean {
    return claim.stewardToken === this.#highestToken &&
      nowMs <= this.#liveUntilMs &&
      this.#tokens.get(claim.unit) === claim.unitToken &&
      !this.#isExcluded(claim);
  }

  #isExcluded(claim: GrantClaim): boolean {
    return claim.unit.startsWith("s:") && this.#excludedKeys.has(claim.key);
  }
}
