/** A set that keeps its newest members up to a bound, in insertion order. */
export class BoundedSet {
  readonly #bound: number;
  readonly #values = new Set<string>();

  constructor(bound: number) {
    this.#bound = bound;
  }

  has(value: string): boolean {
    return this.#values.has(value);
  }

  add(value: string): void {
    this.#values.add(value);
    if (this.#values.size > this.#bound) {
      const oldest = this.#values.values().next().value;
      this.#values.delete(oldest!);
    }
  }

  list(): readonly string[] {
    return [...this.#values];
  }
}
