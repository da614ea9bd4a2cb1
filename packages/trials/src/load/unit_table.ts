/** Units of one simulated template: owners, moves and how long they took. */

export interface SimulatedUnit {
  readonly unit: string;
  /** The shard that the key of a hot unit belongs to; null for a shard. */
  readonly shard: string | null;
  owner: string;
  movingTo: string | null;
  stoppedAtMs: number;
}

export class UnitTable {
  readonly #units = new Map<string, SimulatedUnit>();
  readonly #shards: number;
  /** Units moved, and how long they were not served. */
  moves = 0;
  hotKeyMoves = 0;
  stoppedMs = 0;

  constructor(shards: number) {
    this.#shards = shards;
  }

  get size(): number {
    return this.#units.size;
  }

  add(unit: SimulatedUnit): void {
    this.#units.set(unit.unit, unit);
  }

  remove(unit: string): void {
    this.#units.delete(unit);
  }

  get(unit: string): SimulatedUnit | undefined {
    return this.#units.get(unit);
  }

  list(): readonly SimulatedUnit[] {
    return [...this.#units.values()];
  }

  getShard(key: number): SimulatedUnit {
    return this.#units.get(`s:${key % this.#shards}`)!;
  }

  locateKey(key: number): SimulatedUnit {
    return this.#units.get(`k:${key}`) ?? this.getShard(key);
  }
}
