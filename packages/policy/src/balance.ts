/**
 * Moves that nobody forces: evening out load, and placing hot keys on their
 * own. Each has to gain more than it costs by the template's weights.
 *
 * Load pattern: load drifts, a target joins, a target becomes slow. Without
 * balancing, some targets refuse while others idle; with balancing that knows
 * no cost, noise alone keeps units moving, and each move is churn that someone
 * must reconcile and a short time during which the unit is not served.
 *
 * A target's load is the time that its places are busy, so a slow target shows
 * as a loaded one and gives units to faster ones, smoothly and only once a
 * period: the latency feedback of section 3.3 of "New Techniques to Curtail
 * Tail Latency in Stream Processing Systems".
 */
import type {
  HotKeyCandidate,
  HotUnit,
  PlacementInput,
  PlacementUnit,
  PlannedMove,
} from "./placement_input.ts";
import { type TargetLoad, TargetLoads } from "./target_loads.ts";

/** Balance moves under way at a time, per template. */
const MAX_BALANCE_MOVES = 8;
/**
 * What moving one unit costs, in the same measure as the square of a target's
 * deviation from the mean. With equal weights, moves begin when two targets
 * differ by 0.4 of the mean.
 */
const MOVE_COST = 0.2;
/** No weight makes the planner act on less: it would follow noise. */
const MIN_GAP = 0.25;
/** Whatever the weights, a target at under a fifth of the mean gets units. */
const MAX_GAP = 0.8;
/** Once begun, moves go on until the gap is this share of what began them. */
const STOP_SHARE = 0.5;
/** A hot key moves only from a target that is this much over the mean. */
const HOT_KEY_LEVEL = 1.15;
/** A key of its own goes back to its shard below this many places. */
const HOT_KEY_OVER_PLACES = 0.1;

/** Moves units from the most to the least loaded targets, if that pays. */
export function planBalance(input: PlacementInput): readonly PlannedMove[] {
  const loads = new TargetLoads(input);
  const underWay = input.units.filter((unit) => unit.moving).length;
  const unitsByOwner = listUnitsByOwner(input.units);
  const moved = new Set<string>();
  const moves: PlannedMove[] = [];
  while (moves.length + underWay < MAX_BALANCE_MOVES) {
    const move = findBestMove(input, { loads, unitsByOwner, moved });
    if (move === undefined) {
      break;
    }
    moved.add(move.unit);
    moves.push(move);
  }
  return moves;
}

/** Gives hot keys of loaded targets a unit of their own elsewhere. */
export function planHotKeys(
  input: PlacementInput,
  candidates: readonly HotKeyCandidate[],
): readonly PlannedMove[] {
  const loads = new TargetLoads(input);
  const moves: PlannedMove[] = [];
  for (const candidate of candidates) {
    const from = loads.get(candidate.owner);
    const to = loads.findLeastLoaded(candidate.load);
    if (from === undefined || to === undefined || from === to) {
      continue;
    }
    const isLoaded = loads.computeLevel(from) >= HOT_KEY_LEVEL;
    const isBetter = to.load + candidate.load < from.load;
    if (!isLoaded || !isBetter) {
      continue;
    }
    const why = `it keeps ${formatNumber(candidate.load)} places busy on ` +
      `${from.id} at ${formatNumber(loads.computeLevel(from))} of the mean`;
    loads.move(candidate.load, { from: from.id, to: to.id });
    moves.push({
      template: input.template,
      unit: `k:${candidate.key}`,
      from: from.id,
      to: to.id,
      reason: "hot-key",
      why,
    });
  }
  return moves;
}

/** Returns keys that are hot no more to where their shard is. */
export function planHotKeysOver(
  template: string,
  hotUnits: readonly HotUnit[],
): readonly PlannedMove[] {
  return hotUnits
    .filter((hot) => !hot.moving && hot.load < HOT_KEY_OVER_PLACES)
    .map((hot) => ({
      template,
      unit: hot.unit,
      from: hot.owner,
      to: hot.shardOwner,
      reason: "hot-key-over",
      why: `it keeps only ${formatNumber(hot.load)} places busy`,
    }));
}

interface Search {
  readonly loads: TargetLoads;
  readonly unitsByOwner: ReadonlyMap<string | null, readonly PlacementUnit[]>;
  readonly moved: Set<string>;
}

function findBestMove(
  input: PlacementInput,
  search: Search,
): PlannedMove | undefined {
  const { loads } = search;
  const byLevel = loads.listByLevel();
  const to = byLevel[0];
  for (const from of byLevel.toReversed()) {
    if (to === undefined || from === to) {
      return undefined;
    }
    const gap = loads.computeLevel(from) - loads.computeLevel(to);
    if (gap < computeMinGap(input)) {
      return undefined;
    }
    const unit = findBestUnit(input, search, { from, to, gap });
    if (unit !== undefined) {
      const why = `${from.id} is at ${formatNumber(loads.computeLevel(from))}` +
        ` and ${to.id} at ${formatNumber(loads.computeLevel(to))} of the mean`;
      loads.move(loads.weigh(unit), { from: from.id, to: to.id });
      return {
        template: input.template,
        unit: unit.unit,
        from: from.id,
        to: to.id,
        reason: "balance",
        why,
      };
    }
  }
  return undefined;
}

/**
 * The unit whose move gains most for its cost. The gain is the fall of the sum
 * of squared deviations; the cost is one unit's churn and its unserved load.
 */
function findBestUnit(
  input: PlacementInput,
  search: Search,
  route: {
    readonly from: TargetLoad;
    readonly to: TargetLoad;
    readonly gap: number;
  },
): PlacementUnit | undefined {
  const { loads } = search;
  const unitShare = input.targets.length / input.units.length;
  let best: PlacementUnit | undefined;
  let bestRatio = 0;
  for (const unit of search.unitsByOwner.get(route.from.id) ?? []) {
    if (unit.moving || search.moved.has(unit.unit)) {
      continue;
    }
    const share = loads.weigh(unit) / loads.meanLoad;
    const gain = 2 * share * (route.gap - 2 * share);
    const cost = input.weights.churn * unitShare +
      input.weights.unservedTime * share;
    const ratio = gain / Math.max(cost, Number.EPSILON);
    if (ratio > bestRatio) {
      best = unit;
      bestRatio = ratio;
    }
  }
  return best;
}

/**
 * The gap between two targets, in shares of the mean, on which to act: where
 * moving a mean unit gains as much as it costs.
 */
function computeMinGap(input: PlacementInput): number {
  const { imbalance, churn, unservedTime } = input.weights;
  const costs = (churn + unservedTime) * MOVE_COST;
  const evenGap = costs / Math.max(imbalance, Number.EPSILON);
  const gap = Math.min(MAX_GAP, Math.max(MIN_GAP, evenGap));
  return input.correcting === true ? gap * STOP_SHARE : gap;
}

function listUnitsByOwner(
  units: readonly PlacementUnit[],
): ReadonlyMap<string | null, readonly PlacementUnit[]> {
  const byOwner = new Map<string | null, PlacementUnit[]>();
  for (const unit of units) {
    const known = byOwner.get(unit.owner);
    if (known === undefined) {
      byOwner.set(unit.owner, [unit]);
    } else {
      known.push(unit);
    }
  }
  return byOwner;
}

function formatNumber(value: number): string {
  return value.toFixed(2);
}
