/**
 * Measures how 12 instances and 12 targets serve callers, by load, in virtual
 * time.
 */
import {
  PlacesSimulation,
  type RequestStream,
} from "../load/places_simulation.ts";
import type { TrafficRandom } from "../traffic/traffic_random.ts";
import type { MeasuredTable } from "./measured_table.ts";

const DATA_CENTRES = ["bole", "kirkos", "yeka"];
const SPEEDS = [0.6, 1, 1.4];
const WORK_MS = 60;
const TARGETS = Array.from({ length: 12 }, (_, index) => ({
  id: `t${index}`,
  dataCentre: DATA_CENTRES[index % 3]!,
  getSpeed: () => SPEEDS[Math.floor(index / 3) % 3]!,
}));
/**
 * At speed 1. The mean of the targets' speeds is 0.9, so they serve a tenth
 * less.
 */
const NOMINAL_CAPACITY_PER_SECOND = TARGETS.length * 2 * 1_000 / WORK_MS;
const DURATION_MS = 12_000;
const SEEDS = [5, 6, 7];

export function measureLoad(): MeasuredTable {
  const rows = [false, true].flatMap((keyed) =>
    [0.55, 0.75, 0.95, 1.3, 2].map((load) => measureRow(load, keyed))
  );
  return {
    title:
      "requests of one priority, latency goal 250 ms, work 60 ms, 3 seeds of 12 s",
    columns: [
      "load",
      "in time, 1/s",
      "in time",
      "late",
      "refused",
      "max at a target",
    ],
    rows,
  };
}

function measureRow(load: number, keyed: boolean) {
  const stream: RequestStream = {
    perSecond: () => load * NOMINAL_CAPACITY_PER_SECOND,
    priority: 1,
    latencyGoalMs: 250,
    deadlineMs: 1_500,
    ...(keyed ? { chooseOwner } : {}),
  };
  const results = SEEDS.map((seed) =>
    new PlacesSimulation({
      seed,
      instances: 12,
      dataCentres: DATA_CENTRES,
      targets: TARGETS,
      workMs: WORK_MS,
      durationMs: DURATION_MS,
      streams: [stream],
    }).run()
  );
  const sum = (name: "asked" | "inTime" | "late" | "refused") =>
    results.reduce((total, { streams }) => total + streams[0]![name], 0);
  const asked = sum("asked");
  return [
    `${load} of capacity, ${keyed ? "by owner" : "any target"}`,
    sum("inTime") * 1_000 / (SEEDS.length * DURATION_MS),
    sum("inTime") / asked,
    sum("late") / asked,
    sum("refused") / asked,
    Math.max(...results.map(({ maxAtTarget }) => maxAtTarget)),
  ];
}

/**
 * Draws an owner in proportion to its speed, as the planner distributes keys.
 */
function chooseOwner(random: TrafficRandom): string {
  const total = TARGETS.reduce((sum, { getSpeed }) => sum + getSpeed(), 0);
  let remaining = random.draw() * total;
  const found = TARGETS.find(({ getSpeed }) => (remaining -= getSpeed()) < 0);
  return (found ?? TARGETS[0]!).id;
}
