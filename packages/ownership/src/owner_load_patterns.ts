/**
 * Load patterns of a keyed service, for tests and measurements: 31 targets of
 * four places in three data centres, with speeds of 0.6, 1 and 1.4, whose work
 * would fill 0.43 of their places.
 */
import type { OwnerLoadOptions, SimulatedTarget } from "./owner_simulation.ts";

const SPEEDS = [0.6, 1, 1.4] as const;
const TARGET_COUNT = 31;
const DATA_CENTRES = 3;
/** Callers come from here on; the keeper has rates and speeds by then. */
const COUNT_FROM_MS = 6_000;

export const TARGETS: readonly SimulatedTarget[] = Array.from(
  { length: TARGET_COUNT },
  (_, index) => ({
    id: `t${index}`,
    places: 4,
    speed: SPEEDS[index % SPEEDS.length]!,
  }),
);

const EVEN_LOAD: Omit<OwnerLoadOptions, "seed"> = {
  listTargets: () => TARGETS,
  perSecond: 190,
  workMs: 280,
  goalMs: 1_000,
  durationMs: 30_000,
  hotKeys: [],
  countFromMs: COUNT_FROM_MS,
};

export const OWNER_LOADS = {
  even: EVEN_LOAD,
  hotRanges: {
    ...EVEN_LOAD,
    hotKeys: [
      {
        fromMs: 8_000,
        untilMs: 12_500,
        share: 0.35,
        first: 30_000,
        count: 200,
      },
      { fromMs: 13_000, untilMs: 17_500, share: 0.4, first: 45_000, count: 60 },
      {
        fromMs: 19_000,
        untilMs: 24_000,
        share: 0.35,
        first: 9_000,
        count: 200,
      },
    ],
  },
  hotKey: {
    ...EVEN_LOAD,
    hotKeys: [
      { fromMs: 8_000, untilMs: 13_000, share: 0.16, first: 30_000, count: 1 },
      { fromMs: 18_000, untilMs: 23_000, share: 0.16, first: 40_000, count: 1 },
    ],
  },
  /** One data centre is evacuated for 10 s, then another for good. */
  evacuation: {
    ...EVEN_LOAD,
    durationMs: 40_000,
    listTargets: (nowMs) =>
      TARGETS.filter((_, index) => !isEvacuated(getDataCentre(index), nowMs)),
  },
  /** Half of the targets are replaced, one a second. */
  replacement: {
    ...EVEN_LOAD,
    listTargets: (nowMs) =>
      TARGETS.map((target, index) =>
        index < 14 && nowMs >= 8_000 + 1_000 * index
          ? { ...target, id: `replacement${index}` }
          : target
      ),
  },
} as const satisfies Readonly<Record<string, Omit<OwnerLoadOptions, "seed">>>;

function getDataCentre(index: number): number {
  return Math.floor(index / SPEEDS.length) % DATA_CENTRES;
}

function isEvacuated(dataCentre: number, nowMs: number): boolean {
  return dataCentre === 0 && nowMs >= 8_000 && nowMs < 18_000 ||
    dataCentre === 1 && nowMs >= 24_000;
}
