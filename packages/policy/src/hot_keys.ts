/**
 * Which keys and which client accounts use more of the targets than others,
 * in memory that does not grow with keys.
 *
 * Load pattern: one case file or one caller takes a large part of a target's
 * places. Without detection the key's shard can only move as a whole, which
 * takes cold keys along, and an operator cannot see who fills the queue.
 *
 * Cost is counted in milliseconds of a place, so a key that is asked for
 * seldom but dearly is found as well.
 */
import { DecayingCounter, type HeavyName } from "./decaying_counter.ts";

/** Enough to find each key above 1/128 of the whole; 256 entries are 40 KB. */
const CAPACITY = 256;
/** Within 10 s a hot key must be found and moved; three windows see 95% of it. */
const WINDOW_MS = 2_000;
/** A key below this share of one place is no use moving on its own. */
const HOT_KEY_PLACES = 0.3;
/** A few long requests make no hot key: it takes this many within the window. */
const MIN_COUNT = 8;
/** A caller that uses more than this many places is shown to operators. */
const HOT_CALLER_PLACES = 1;

export interface HotKey {
  readonly template: string;
  readonly key: string;
  /** Places that it keeps busy, on average of late. */
  readonly places: number;
}

export interface HotCaller {
  readonly template: string;
  readonly clientAccount: string;
  readonly places: number;
}

/** Both heaviest first. */
export interface HotList {
  readonly keys: readonly HotKey[];
  readonly callers: readonly HotCaller[];
}

export class HotKeyDetector {
  readonly #keys = new DecayingCounter({
    capacity: CAPACITY,
    windowMs: WINDOW_MS,
  });
  readonly #callers = new DecayingCounter({
    capacity: CAPACITY,
    windowMs: WINDOW_MS,
  });

  /**
   * Records a request that is expected to hold a place for `costMs`. The
   * estimate serves better than what it took: a target that stops for a while
   * would make every key hot that it was working on.
   */
  observe(
    template: string,
    key: string,
    clientAccount: string,
    costMs: number,
    nowMs: number,
  ): void {
    this.#keys.observe(formatName(template, key), costMs, nowMs);
    this.#callers.observe(formatName(template, clientAccount), costMs, nowMs);
  }

  listHot(nowMs: number): HotList {
    return {
      keys: listAbove(this.#keys, HOT_KEY_PLACES, nowMs)
        .map(({ template, rest, places }) => ({ template, key: rest, places })),
      callers: listAbove(this.#callers, HOT_CALLER_PLACES, nowMs)
        .map(({ template, rest, places }) => ({
          template,
          clientAccount: rest,
          places,
        })),
    };
  }
}

function listAbove(
  counter: DecayingCounter,
  minPlaces: number,
  nowMs: number,
): { template: string; rest: string; places: number }[] {
  return counter.list(nowMs)
    .map((heavy) => ({
      ...splitName(heavy),
      count: heavy.count,
      places: computePlaces(heavy),
    }))
    .filter(({ count, places }) => count >= MIN_COUNT && places >= minPlaces);
}

/** In a steady state the decayed sum is the rate times the window. */
function computePlaces(heavy: HeavyName): number {
  return heavy.certainWeight / WINDOW_MS;
}

/** A template's name holds no line break, so the first one ends it. */
function formatName(template: string, rest: string): string {
  return `${template}\n${rest}`;
}

function splitName(heavy: HeavyName): { template: string; rest: string } {
  const end = heavy.name.indexOf("\n");
  return {
    template: heavy.name.slice(0, end),
    rest: heavy.name.slice(end + 1),
  };
}
