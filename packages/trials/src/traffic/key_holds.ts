/**
 * Lists keys that two targets held at the same time, and grants whose tokens
 * were not above those of earlier holders, from what the targets recorded.
 */
import type { HoldChange } from "@lentilspur/ports/fake_target";
import { hasOverlap, type KeyRange } from "@lentilspur/ports/key_orders";
import { groupBy } from "./group_by.ts";

/** When a target's process ended; its holds end with it. */
export interface HolderExit {
  readonly target: string;
  readonly atMs: number;
}

/** A time in which orders to a target may have been held up on their way. */
export interface HolderDisturbance {
  readonly target: string;
  readonly fromMs: number;
  readonly toMs: number;
}

export interface HoldObservations {
  readonly changes: readonly HoldChange[];
  readonly exits: readonly HolderExit[];
  readonly disturbances: readonly HolderDisturbance[];
}

interface HoldInterval extends KeyRange {
  readonly target: string;
  readonly token: number;
  readonly fromMs: number;
  untilMs: number;
}

/** Two targets may hold the same keys for this long. */
const MAX_OVERLAP_MS = 500;

/** Returns one message for each pair of holds that must not be. */
export function listHoldViolations(
  observations: HoldObservations,
): readonly string[] {
  const changes = observations.changes
    .filter((change) => !isHeldUp(change, observations.disturbances))
    .toSorted((left, right) => left.atMs - right.atMs);
  return [...groupBy(changes, ({ service }) => service).values()]
    .flatMap((ofService) => {
      const intervals = buildIntervals(ofService, observations.exits);
      return [...listOverlaps(intervals), ...listStaleTokens(intervals)];
    });
}

/** A grant that was held up is applied late, which its sender allows for. */
function isHeldUp(
  { kind, target, atMs }: HoldChange,
  disturbances: readonly HolderDisturbance[],
): boolean {
  return kind === "granted" &&
    disturbances.some((one) =>
      one.target === target && one.fromMs <= atMs && atMs <= one.toMs
    );
}

function buildIntervals(
  changes: readonly HoldChange[],
  exits: readonly HolderExit[],
): readonly HoldInterval[] {
  const intervals: HoldInterval[] = [];
  for (const change of changes) {
    closeIntervals(intervals, change);
    if (change.kind === "granted") {
      const { target, from, to, token, atMs, untilMs } = change;
      const exit = exits
        .find((one) => one.target === target && one.atMs >= atMs);
      const endMs = Math.min(untilMs, exit?.atMs ?? Infinity);
      intervals
        .push({ target, from, to, token, fromMs: atMs, untilMs: endMs });
    }
  }
  return intervals;
}

/** Ends the holds of a target on a range; the parts outside it continue. */
function closeIntervals(
  intervals: HoldInterval[],
  { target, from, to, atMs }: HoldChange,
): void {
  const open = intervals.filter((one) =>
    one.target === target && one.untilMs > atMs && hasOverlap(one, { from, to })
  );
  for (const one of open) {
    if (one.from < from) {
      intervals.push({ ...one, to: from - 1, fromMs: atMs });
    }
    if (one.to > to) {
      intervals.push({ ...one, from: to + 1, fromMs: atMs });
    }
    one.untilMs = atMs;
  }
}

function listOverlaps(intervals: readonly HoldInterval[]): readonly string[] {
  return listPairs(intervals).flatMap(([earlier, later]) => {
    const heldMs = Math.min(earlier.untilMs, later.untilMs) - later.fromMs;
    return heldMs <= MAX_OVERLAP_MS ? [] : [
      `${earlier.target} and ${later.target} held key ${
        Math.max(earlier.from, later.from)
      } for ${Math.round(heldMs)} ms from ${Math.round(later.fromMs)} on`,
    ];
  });
}

function listStaleTokens(
  intervals: readonly HoldInterval[],
): readonly string[] {
  return listPairs(intervals)
    .filter(([earlier, later]) => earlier.token >= later.token)
    .map(([earlier, later]) =>
      `${later.target} got key ${
        Math.max(earlier.from, later.from)
      } under token ${later.token}, after ${earlier.target} had it under ${earlier.token}`
    );
}

/** Pairs of holds of different targets on the same keys, earlier one first. */
function listPairs(
  intervals: readonly HoldInterval[],
): readonly (readonly [HoldInterval, HoldInterval])[] {
  const sorted = intervals.toSorted((a, b) => a.fromMs - b.fromMs);
  return sorted.flatMap((later, index) =>
    sorted.slice(0, index)
      .filter((earlier) =>
        earlier.target !== later.target && hasOverlap(earlier, later)
      )
      .map((earlier) => [earlier, later] as const)
  );
}
