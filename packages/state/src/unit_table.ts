/**
 * Units with their owners, indexed by template and by target, so that a
 * target's loss or a steward's round costs what that target owns and no more.
 */
import type { Position } from "@lentilspur/outcomes/position";
import type { UnitId } from "./entries.ts";
import { getKeyOfUnit, hashKeyToShard, makeShardUnit } from "./units.ts";
import type { UnitState } from "./view.ts";

type UnitsById = Map<UnitId, UnitState>;

export class UnitTable {
  readonly #byTemplate = new Map<string, UnitsById>();
  readonly #byOwner = new Map<string, UnitsById>();
  readonly #byDestination = new Map<string, UnitsById>();
  /** Hot keys are few, and found without walking the shards. */
  readonly #keys = new Map<string, UnitsById>();

  get(template: string, unit: UnitId): UnitState | undefined {
    return this.#byTemplate.get(template)?.get(unit);
  }

  set(template: string, state: UnitState): void {
    const units = getOrAddMap(this.#byTemplate, template);
    this.#removeFromIndexes(units.get(state.unit));
    if (getKeyOfUnit(state.unit) !== undefined) {
      getOrAddMap(this.#keys, template).set(state.unit, state);
    }
    units.set(state.unit, state);
    this.#addToIndexes(state);
  }

  remove(template: string, unit: UnitId): void {
    const before = this.get(template, unit);
    if (before === undefined) {
      return;
    }
    this.#removeFromIndexes(before);
    this.#byTemplate.get(template)?.delete(unit);
    this.#keys.get(template)?.delete(unit);
  }

  /** Makes every shard of a new template known, without an owner. */
  addTemplate(template: string, shardCount: number, token: Position): void {
    for (let shard = 0; shard < shardCount; shard++) {
      const unit = makeShardUnit(shard);
      this.set(template, { unit, owner: null, token, move: null });
    }
  }

  removeTemplate(template: string): void {
    for (const state of this.list(template)) {
      this.remove(template, state.unit);
    }
    this.#byTemplate.delete(template);
    this.#keys.delete(template);
  }

  list(template: string): readonly UnitState[] {
    return [...this.#byTemplate.get(template)?.values() ?? []];
  }

  /** Hot keys that have units of their own. */
  listKeys(template: string): readonly UnitState[] {
    return [...this.#keys.get(template)?.values() ?? []];
  }

  listOfTarget(target: string): readonly UnitState[] {
    return [...this.#byOwner.get(target)?.values() ?? []];
  }

  listMovingTo(target: string): readonly UnitState[] {
    return [...this.#byDestination.get(target)?.values() ?? []];
  }

  countOfTarget(target: string): number {
    return this.#byOwner.get(target)?.size ?? 0;
  }

  countMovingTo(target: string): number {
    return this.#byDestination.get(target)?.size ?? 0;
  }

  countKeys(template: string): number {
    return this.#keys.get(template)?.size ?? 0;
  }

  /** Whether a hot key of this shard is on its way back into it. */
  hasRetiringKey(
    template: string,
    shard: UnitId,
    shardCount: number,
  ): boolean {
    return this.listKeys(template).some((state) => {
      const key = getKeyOfUnit(state.unit);
      return key !== undefined &&
        state.move?.reason === "hot-key-over" &&
        makeShardUnit(hashKeyToShard(key, shardCount)) === shard;
    });
  }

  #addToIndexes(state: UnitState): void {
    if (state.owner !== null) {
      getOrAddMap(this.#byOwner, state.owner).set(state.unit, state);
    }
    if (state.move !== null) {
      getOrAddMap(this.#byDestination, state.move.to).set(state.unit, state);
    }
  }

  #removeFromIndexes(state: UnitState | undefined): void {
    if (state === undefined) {
      return;
    }
    if (state.owner !== null) {
      removeFromMap(this.#byOwner, state.owner, state.unit);
    }
    if (state.move !== null) {
      removeFromMap(this.#byDestination, state.move.to, state.unit);
    }
  }
}

function getOrAddMap(
  maps: Map<string, UnitsById>,
  name: string,
): UnitsById {
  let found = maps.get(name);
  if (found === undefined) {
    found = new Map();
    maps.set(name, found);
  }
  return found;
}

function removeFromMap(
  maps: Map<string, UnitsById>,
  name: string,
  unit: UnitId,
): void {
  const units = maps.get(name);
  units?.delete(unit);
  if (units?.size === 0) {
    maps.delete(name);
  }
}
