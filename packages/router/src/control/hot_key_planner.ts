/** Plans units of their own for hot keys, and their return to the shard. */
import { planHotKeys, planHotKeysOver } from "@lentilspur/policy/placement";
import type {
  HotKeyCandidate,
  HotUnit,
  PlacementInput,
  PlannedMove,
} from "@lentilspur/policy/placement_input";
import type { Clock } from "@lentilspur/ports/clock";
import {
  getKeyOfUnit,
  hashKeyToShard,
  makeShardUnit,
} from "@lentilspur/state/units";
import type { StateView, UnitState } from "@lentilspur/state/view";
import type { LoadTable } from "./load_table.ts";

/**
 * A key keeps its own unit at least this long: its load is not reported before
 * it is served under the new unit, and one that comes back within a minute
 * would move twice for nothing.
 */
const MIN_STAY_MS = 60_000;

export class HotKeyPlanner {
  readonly #clock: Clock;
  readonly #loads: LoadTable;
  readonly #seenSinceMs = new Map<string, number>();

  constructor(clock: Clock, loads: LoadTable) {
    this.#clock = clock;
    this.#loads = loads;
  }

  plan(view: StateView, input: PlacementInput): readonly PlannedMove[] {
    const { template } = input;
    const hotUnits = this.#listHotUnits(view, template);
    this.#updateTimes(template, hotUnits);
    return [
      ...planHotKeys(input, this.#listCandidates(view, template)),
      ...planHotKeysOver(template, this.#listSettled(template, hotUnits)),
    ];
  }

  /** Hot keys that are still served under their shard. */
  #listCandidates(
    view: StateView,
    template: string,
  ): readonly HotKeyCandidate[] {
    return this.#loads.listHotKeys(template).flatMap(({ key, places }) => {
      const unit = view.locateKey(template, key)?.unit;
      const isInShard = unit !== undefined &&
        getKeyOfUnit(unit.unit) === undefined && unit.move === null;
      return isInShard && unit.owner !== null
        ? [{ key, owner: unit.owner, load: places }]
        : [];
    });
  }

  #listHotUnits(view: StateView, template: string): readonly HotUnit[] {
    const shardCount = view.getTemplate(template)?.shardCount ?? 1;
    return view.listKeyUnits(template).flatMap((state) => {
      const key = getKeyOfUnit(state.unit);
      if (key === undefined) {
        return [];
      }
      const shard = makeShardUnit(hashKeyToShard(key, shardCount));
      const shardState = view.getUnit(template, shard);
      return this.#toHotUnit(template, state, shardState);
    });
  }

  #toHotUnit(
    template: string,
    state: UnitState,
    shard: UnitState | undefined,
  ): readonly HotUnit[] {
    if (state.owner === null || shard == null || shard.owner === null) {
      return [];
    }
    return [{
      unit: state.unit,
      owner: state.owner,
      load: this.#loads.getUnitLoad(template, state.unit),
      shardOwner: shard.owner,
      moving: state.move !== null || shard.move !== null,
    }];
  }

  #listSettled(
    template: string,
    hotUnits: readonly HotUnit[],
  ): readonly HotUnit[] {
    const nowMs = this.#clock.readMs();
    return hotUnits.filter(({ unit }) => {
      const sinceMs = this.#seenSinceMs.get(`${template}\n${unit}`) ?? nowMs;
      return nowMs - sinceMs >= MIN_STAY_MS;
    });
  }

  #updateTimes(template: string, hotUnits: readonly HotUnit[]): void {
    const prefix = `${template}\n`;
    const present = new Set(hotUnits.map(({ unit }) => `${prefix}${unit}`));
    for (const name of this.#seenSinceMs.keys()) {
      if (name.startsWith(prefix) && !present.has(name)) {
        this.#seenSinceMs.delete(name);
      }
    }
    const nowMs = this.#clock.readMs();
    for (const name of present) {
      this.#seenSinceMs.set(name, this.#seenSinceMs.get(name) ?? nowMs);
    }
  }
}
