/** Draws random times for callers and targets, the same for the same seed. */
import { SeededRandom } from "@lentilspur/ports/seeded_random";

export class TrafficRandom extends SeededRandom {
  /**
   * Draws an exponentially distributed time, as between independent arrivals.
   */
  drawExponential(mean: number): number {
    return -mean * Math.log(1 - this.draw());
  }

  /**
   * Draws a service time. Half of the mean is fixed and the rest exponential,
   * because real service times have a minimum and a long tail as well. The
   * standard deviation is half the mean.
   */
  drawServiceTime(mean: number): number {
    return mean / 2 + this.drawExponential(mean / 2);
  }
}
