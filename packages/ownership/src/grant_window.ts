/**
 * How long one checking target can hold grants of this steward.
 *
 * A grant ends at a moment of the target's own clock, computed from a reading
 * that the target gave in an earlier reply. The reading was taken before that
 * reply arrived, so the grant has ended at the latest one grant's life after
 * the arrival, however late the target takes the grant out of its socket.
 */

export interface GrantTiming {
  readonly grantMs: number;
  readonly driftRatio: number;
  readonly marginMs: number;
}

/** Tells two ends apart; far above the rounding of a clock of some weeks. */
const END_STEP_MS = 0.01;

/** A reading of the target's clock, and the bounds on when it was taken. */
interface ClockReading {
  readonly bootId: string;
  readonly elapsedMs: number;
  /** On the steward's clock: when the call left that brought the reading. */
  readonly askedAtMs: number;
  readonly arrivedAtMs: number;
}

export class GrantWindow {
  readonly #timing: GrantTiming;
  #reading: ClockReading | undefined;
  #lastEndMs = Number.NEGATIVE_INFINITY;
  #usableUntilMs = Number.NEGATIVE_INFINITY;
  #lapsedFromMs = Number.NEGATIVE_INFINITY;

  constructor(timing: GrantTiming) {
    this.#timing = timing;
  }

  recordReading(reading: ClockReading): void {
    this.#reading = reading;
  }

  /** The process to name in the next grant; undefined before first contact. */
  getBootId(): string | undefined {
    return this.#reading?.bootId;
  }

  /**
   * The end of the next grant on the target's clock. Call it once for each
   * grant that is sent: from now on the target may hold that grant, whether
   * its answer arrives or not.
   *
   * Each end is later than the one before, even from the same reading. Were
   * two alike, a target could not tell that a grant of a unit which it reads
   * last was sent before the one that took the unit back.
   */
  claimNextEnd(): number {
    const reading = this.#reading;
    if (reading === undefined) {
      throw new Error("No reading of the target's clock yet, probe it first");
    }
    const { grantMs, driftRatio } = this.#timing;
    const endMs = Math.max(
      reading.elapsedMs + grantMs,
      this.#lastEndMs + END_STEP_MS,
    );
    this.#lastEndMs = endMs;
    const lifeMs = endMs - reading.elapsedMs;
    const lapsedFromMs = reading.arrivedAtMs + lifeMs * (1 + driftRatio);
    this.#lapsedFromMs = Math.max(this.#lapsedFromMs, lapsedFromMs);
    return endMs;
  }

  /** The target has confirmed a grant that was based on this reading. */
  recordConfirmed(askedAtMs: number): void {
    const { grantMs, driftRatio, marginMs } = this.#timing;
    const until = askedAtMs + grantMs * (1 - driftRatio) - marginMs;
    this.#usableUntilMs = Math.max(this.#usableUntilMs, until);
  }

  /** When the reading now in use arrived. */
  getReadingArrivedAtMs(): number {
    return this.#reading?.arrivedAtMs ?? Number.NEGATIVE_INFINITY;
  }

  /** When the call left that brought the reading now in use. */
  getReadingAskedAtMs(): number {
    return this.#reading?.askedAtMs ?? Number.NEGATIVE_INFINITY;
  }

  /** Until when the target surely takes requests, on the steward's clock. */
  getUsableUntilMs(): number {
    return this.#usableUntilMs;
  }

  /** From when the target surely holds no grant of this steward. */
  getLapsedFromMs(): number {
    return this.#lapsedFromMs;
  }

  /** A new process holds no grants of the old one. */
  reset(): void {
    this.#reading = undefined;
    this.#lastEndMs = Number.NEGATIVE_INFINITY;
    this.#usableUntilMs = Number.NEGATIVE_INFINITY;
  }
}
