/**
 * Counts of the running and the waiting requests of instances, per target.
 */

import {
  isListOf,
  isRecordOf,
  isWhole,
  isWithin,
  toObject,
} from "@lentilspur/outcomes/json_boundary";

/** Counts by target; an absent target counts as 0. */
export type TargetCounts = Readonly<Record<string, number>>;

/**
 * Counts of waiting requests by service, by the target that they wait for, and
 * by priority.
 */
export type WaitingCounts = Readonly<
  Record<string, Readonly<Record<string, readonly number[]>>>
>;

/**
 * Counts of the running and the waiting requests of one instance or of several.
 */
export interface LoadCounts {
  readonly running: TargetCounts;
  readonly waiting: WaitingCounts;
  /** Number of instances that the counts cover. */
  readonly instances: number;
}

const MAX_COUNT = 1e9;
const MAX_INSTANCES = 1_000_000;
/** A configuration has priorities to 1,000. */
const MAX_PRIORITIES = 1_001;

/** Undefined if the value has no counts that can be added up. */
export function toLoadCounts(value: unknown): LoadCounts | undefined {
  const { running, waiting, instances } = toObject(value);
  return isRecordOf(running, isCount) && isRecordOf(waiting, isWaiting) &&
      isWhole(instances, { max: MAX_INSTANCES })
    ? { running, waiting, instances }
    : undefined;
}

function isWaiting(value: unknown): value is WaitingCounts[string] {
  return isRecordOf(value, isCountByPriority);
}

function isCountByPriority(value: unknown): value is readonly number[] {
  return isListOf(value, isCount, MAX_PRIORITIES);
}

function isCount(value: unknown): value is number {
  return isWithin(value, MAX_COUNT);
}

export const NO_LOAD: LoadCounts = Object.freeze({
  running: {},
  waiting: {},
  instances: 0,
});

/** Counts to which other counts are added in place. */
interface MutableCounts {
  readonly running: Record<string, number>;
  readonly waiting: Record<string, Record<string, readonly number[]>>;
  instances: number;
}

/**
 * Adds up the counts of several instances. The aggregator of a data centre does
 * this several times a second for dozens of instances, so it adds in place
 * instead of copying the sum.
 */
export function mergeCounts(all: readonly LoadCounts[]): LoadCounts {
  const sum = createMutableCounts(NO_LOAD);
  for (const counts of all) {
    addCounts(sum, counts, 1);
  }
  return sum;
}

/** Subtracts a part of a sum from the sum. */
export function removeCounts(sum: LoadCounts, part: LoadCounts): LoadCounts {
  const rest = createMutableCounts(sum);
  addCounts(rest, part, -1);
  return rest;
}

/** Copies counts, so that other counts can be added to the copy. */
function createMutableCounts(
  { running, waiting, instances }: LoadCounts,
): MutableCounts {
  const services = Object.entries(waiting)
    .map(([service, byTarget]) => [service, { ...byTarget }] as const);
  return {
    running: { ...running },
    waiting: Object.fromEntries(services),
    instances,
  };
}

function addCounts(sum: MutableCounts, counts: LoadCounts, sign: 1 | -1): void {
  const { running, waiting } = sum;
  for (const [id, count] of Object.entries(counts.running)) {
    running[id] = Math.max(0, (running[id] ?? 0) + sign * count);
    if (running[id] === 0) {
      delete running[id];
    }
  }
  for (const [service, byTarget] of Object.entries(counts.waiting)) {
    const known = waiting[service] ??= {};
    for (const [target, byPriority] of Object.entries(byTarget)) {
      known[target] = addByPriority(known[target] ?? [], byPriority, sign);
    }
  }
  sum.instances = Math.max(0, sum.instances + sign * counts.instances);
}

function addByPriority(
  left: readonly number[],
  right: readonly number[],
  sign: 1 | -1,
): readonly number[] {
  const length = Math.max(left.length, right.length);
  return Array.from(
    { length },
    (_, priority) =>
      Math.max(0, (left[priority] ?? 0) + sign * (right[priority] ?? 0)),
  );
}
