/** How many requests instances have at each target and have waiting. */

/** Numbers by target; absent means none. */
export type TargetCounts = Readonly<Record<string, number>>;

/** Waiting requests by service, the target that they wait for, and rank. */
export type WaitingCounts = Readonly<
  Record<string, Readonly<Record<string, readonly number[]>>>
>;

/** What one instance, or several together, have at each target and waiting. */
export interface LoadCounts {
  readonly running: TargetCounts;
  readonly waiting: WaitingCounts;
  /** How many instances these are counts of. */
  readonly instances: number;
}

export const NO_LOAD: LoadCounts = Object.freeze({
  running: {},
  waiting: {},
  instances: 0,
});

/** A sum while counts are added to it. */
interface MutableCounts {
  readonly running: Record<string, number>;
  readonly waiting: Record<string, Record<string, readonly number[]>>;
  instances: number;
}

/**
 * What all of them have together. An instance that gathers does this several
 * times a second for dozens of others, so one sum is added to, not copied.
 */
export function mergeCounts(all: readonly LoadCounts[]): LoadCounts {
  const sum = createMutableCounts(NO_LOAD);
  for (const counts of all) {
    addCounts(sum, counts, 1);
  }
  return sum;
}

/** What is left of a sum without one of its parts. */
export function removeCounts(sum: LoadCounts, part: LoadCounts): LoadCounts {
  const left = createMutableCounts(sum);
  addCounts(left, part, -1);
  return left;
}

/** A sum of its own that begins with some counts. */
function createMutableCounts(
  { running, waiting, instances }: LoadCounts,
): MutableCounts {
  const services = Object.entries(waiting)
    .map(([service, lanes]) => [service, { ...lanes }] as const);
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
  for (const [service, lanes] of Object.entries(counts.waiting)) {
    const known = waiting[service] ??= {};
    for (const [lane, ranks] of Object.entries(lanes)) {
      known[lane] = addRanks(known[lane] ?? [], ranks, sign);
    }
  }
  sum.instances = Math.max(0, sum.instances + sign * counts.instances);
}

function addRanks(
  left: readonly number[],
  right: readonly number[],
  sign: 1 | -1,
): readonly number[] {
  const length = Math.max(left.length, right.length);
  return Array.from(
    { length },
    (_, rank) => Math.max(0, (left[rank] ?? 0) + sign * (right[rank] ?? 0)),
  );
}
