/** Growing pauses between attempts, spread so that instances do not beat. */
import type { Clock, Random } from "@lentilspur/ports/clock";

const FIRST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 1_000;
const GROWTH = 2;

export class Backoff {
  readonly #clock: Clock;
  readonly #random: Random;
  #pauseMs = FIRST_PAUSE_MS;

  constructor(clock: Clock, random: Random) {
    this.#clock = clock;
    this.#random = random;
  }

  /** Sleeps between half and all of the present pause. */
  async wait(signal?: AbortSignal): Promise<void> {
    const pauseMs = this.#pauseMs * (1 + this.#random.draw()) / 2;
    this.#pauseMs = Math.min(this.#pauseMs * GROWTH, LONGEST_PAUSE_MS);
    await this.#clock.sleep(pauseMs, signal);
  }

  reset(): void {
    this.#pauseMs = FIRST_PAUSE_MS;
  }
}
