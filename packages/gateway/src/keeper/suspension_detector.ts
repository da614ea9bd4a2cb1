/**
 * Notices that this process may have stood still without its clock showing it.
 *
 * While a machine is suspended the steady clock stands and the time of day goes
 * on. So a jump of the time of day against the steady clock is either a step of
 * the clock or a suspension. It is never taken as a measure of time; it only
 * makes what was confirmed before it count no more. Asked at each act, since a
 * timer may fire after the act that it should have stopped.
 */
import type { Clock } from "@lentilspur/ports/clock";

/** Both clocks drift by far less between two acts; suspensions last seconds. */
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

  /** What was confirmed before this time does not count; own clock. */
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
