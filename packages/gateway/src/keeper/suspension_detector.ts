/**
 * Detects that this process may have been suspended without its clock showing
 * it.
 *
 * While a machine is suspended, the steady clock stops and the time of day goes
 * on. So a jump of the time of day against the steady clock is either a step of
 * the clock or a suspension. The jump is never used to measure time; it only
 * invalidates earlier reads of the store as proof that there is no newer claim.
 * The check runs before each action, since a timer may fire after the action
 * that it should have prevented.
 */
import type { Clock } from "@lentilspur/ports/clock";

/** Both clocks drift by far less between checks; suspensions last seconds. */
const MIN_JUMP_MS = 300;

export class SuspensionDetector {
  readonly #clock: Clock;
  readonly #readWallMs: () => number;
  readonly #observe: (jumpMs: number) => void;
  #differenceMs: number;
  #trustedSinceMs = -Infinity;

  constructor(
    clock: Clock,
    options: {
      readonly readWallMs: () => number;
      readonly observe: (jumpMs: number) => void;
    },
  ) {
    this.#clock = clock;
    this.#readWallMs = options.readWallMs;
    this.#observe = options.observe;
    this.#differenceMs = options.readWallMs() - clock.readMs();
  }

  /**
   * Returns the time of the last suspected suspension, before which reads of
   * the store prove nothing; own clock.
   */
  checkTrustedSinceMs(): number {
    const differenceMs = this.#readWallMs() - this.#clock.readMs();
    const jumpMs = differenceMs - this.#differenceMs;
    this.#differenceMs = differenceMs;
    if (Math.abs(jumpMs) >= MIN_JUMP_MS) {
      this.#trustedSinceMs = this.#clock.readMs();
      this.#observe(jumpMs);
    }
    return this.#trustedSinceMs;
  }
}
