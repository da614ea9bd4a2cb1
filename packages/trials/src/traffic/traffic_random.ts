/** Random times as callers and targets have them, the same for the same seed. */
import { SeededRandom } from "@lentilspur/ports/seeded_random";

export class TrafficRandom extends SeededRandom {
  /** Exponentially distributed, as times between independent arrivals are. */
  drawExponential(mean: number): number {
    return -mean * Math.log(1 - this.draw());
  }

  /**
   * A service time: half of the mean is fixed, the rest exponential. Real
   * ones have a floor and a tail as well; their deviation is half the mean.
   */
  drawServiceTime(mean: number): number {
    return mean / 2 + this.drawExponential(mean / 2);
  }
}
