/**
 * When the places of a target will be free, for short jobs and for long ones.
 *
 * Load pattern: one place runs a long job and others wait behind it. A short
 * job does not wait for those, since a place is kept from them; a long one
 * waits for nothing else. One estimate for both would refuse short jobs that
 * fit and admit long ones that do not.
 */
import { computeResidualMs } from "./wait_estimate.ts";

/** A job in a place. */
export interface OccupiedPlace {
  readonly long: boolean;
  readonly estimateMs: number;
  readonly elapsedMs: number;
}

/** Times from now at which each usable place is free, soonest first. */
export interface PlaceTimes {
  readonly all: readonly number[];
  readonly short: readonly number[];
  readonly long: readonly number[];
}

export interface PlaceOptions {
  /** Places that may be in use. */
  readonly places: number;
  /** Places that long jobs may hold. */
  readonly longPlaces: number;
  /** Nothing is sent before this time from now. */
  readonly pauseMs: number;
  readonly longWaiting: boolean;
}

export function computePlaceTimes(
  occupied: readonly OccupiedPlace[],
  options: PlaceOptions,
): PlaceTimes {
  const { places, longPlaces, pauseMs } = options;
  const timesOf = (each: OccupiedPlace): number =>
    Math.max(pauseMs, computeResidualMs(each.estimateMs, each.elapsedMs));
  const long = occupied.filter((each) => each.long).map(timesOf);
  const short = occupied.filter((each) => !each.long).map(timesOf);
  const free = Math.max(0, places - occupied.length);
  const idle = Array.from({ length: free }, () => pauseMs);
  const all = sortTimes([...long, ...short, ...idle]).slice(
    Math.max(0, occupied.length - places),
  );
  if (longPlaces >= places) {
    return { all, short: all, long: all };
  }
  const keptForShort = places - longPlaces;
  return {
    all,
    short: options.longWaiting
      ? sortTimes([...short, ...idle]).slice(0, keptForShort)
      : all,
    long: long.length >= longPlaces
      ? sortTimes(long).slice(0, longPlaces)
      : all.slice(0, longPlaces),
  };
}

function sortTimes(times: readonly number[]): number[] {
  return times.toSorted((left, right) => left - right);
}
