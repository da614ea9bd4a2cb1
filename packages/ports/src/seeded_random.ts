/** Pseudo-random numbers that are reproducible from a seed. */
import { uniformFloat32 } from "pure-rand/distribution/uniformFloat32";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Random } from "./clock.ts";

export class SeededRandom implements Random {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  draw(): number {
    return uniformFloat32(this.#generator);
  }

  /** Returns an integer from 0 up to, but not including, `bound`. */
  drawIndex(bound: number): number {
    return Math.floor(this.draw() * bound);
  }
}
