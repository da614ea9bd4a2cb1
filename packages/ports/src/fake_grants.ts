/** The grants that a checking target holds. */
import type { Position } from "@lentilspur/outcomes/position";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { GrantRequest } from "./target.ts";

export interface GrantClaim {
  readonly stewardToken: Position;
  readonly unit: string;
  readonly unitToken: Position;
}

export class FakeGrants {
  readonly #tokens = new Map<string, Position>();
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
    if (request.stewardToken < this.#highestToken) {
      return Err(this.#highestToken);
    }
    // A steward that has taken over starts from nothing: what its predecessor
    // granted is void, whether the successor knew of it or not. So are grants
    // that lapsed: a renewal after a freeze must name its units again.
    const isSuccessor = request.stewardToken > this.#highestToken;
    const hasLapsed = nowMs > this.#liveUntilMs;
    if (isSuccessor || hasLapsed) {
      this.#tokens.clear();
    }
    if (hasLapsed) {
      this.#lapses++;
      this.#lastLapsedAtMs = this.#liveUntilMs;
    }
    this.#highestToken = request.stewardToken;
    this.#liveUntilMs = nowMs + request.ttlMs;
    request.add.forEach(({ unit, token }) => this.#tokens.set(unit, token));
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
      this.#tokens.get(claim.unit) === claim.unitToken;
  }
}
