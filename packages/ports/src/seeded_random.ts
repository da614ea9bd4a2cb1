/** Random numbers that are the same for the same seed. */
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

  /** A whole number from 0 up to, but without, `bound`. */
  drawIndex(bound: number): number {
    return Math.floor(this.draw() * bound);
  }
}
