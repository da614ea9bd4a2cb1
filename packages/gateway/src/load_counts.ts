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

/** What all of them have together. */
export function mergeCounts(all: readonly LoadCounts[]): LoadCounts {
  return all.reduce((left, right) => addCounts(left, right, 1), NO_LOAD);
}

/** What is left of a sum without one of its parts. */
export function removeCounts(sum: LoadCounts, part: LoadCounts): LoadCounts {
  return addCounts(sum, part, -1);
}

function addCounts(
  left: LoadCounts,
  right: LoadCounts,
  sign: 1 | -1,
): LoadCounts {
  const running = { ...left.running };
  for (const [id, count] of Object.entries(right.running)) {
    running[id] = Math.max(0, (running[id] ?? 0) + sign * count);
    if (running[id] === 0) {
      delete running[id];
    }
  }
  return {
    running,
    waiting: addWaiting(left.waiting, right.waiting, sign),
    instances: Math.max(0, left.instances + sign * right.instances),
  };
}

function addWaiting(
  left: WaitingCounts,
  right: WaitingCounts,
  sign: 1 | -1,
): WaitingCounts {
  const waiting: Record<string, Record<string, readonly number[]>> = {};
  for (const service of Object.keys({ ...left, ...right })) {
    const lanes: Record<string, readonly number[]> = { ...left[service] };
    for (const [lane, ranks] of Object.entries(right[service] ?? {})) {
      lanes[lane] = addRanks(lanes[lane] ?? [], ranks, sign);
    }
    waiting[service] = lanes;
  }
  return waiting;
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
