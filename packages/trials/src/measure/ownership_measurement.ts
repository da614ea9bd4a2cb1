/**
 * Measures in virtual time how long some key has no holder after a loss, and
 * what callers of a keyed service get under load.
 */
import { KeeperSimulation } from "@lentilspur/gateway/keeper/keeper_simulation";
import { OWNER_LOADS } from "@lentilspur/ownership/owner_load_patterns";
import {
  measureOwnerLoad,
  type OwnerLoadOptions,
  type OwnerOutcome,
} from "@lentilspur/ownership/owner_simulation";
import type { MeasuredTable } from "./measured_table.ts";

const TARGETS = ["a", "b", "c", "d"];
const INSTANCES = ["one", "two", "three"];
const STEP_MS = 10;
const DURATION_MS = 60_000;
/** Keys whose holders are checked. */
const KEYS = Array.from({ length: 64 }, (_, index) => index * 1_024 + 5);

interface Loss {
  readonly name: string;
  readonly inject: (simulation: KeeperSimulation) => void;
}

const LOSSES: readonly Loss[] = [
  {
    name: "a target ends, another process is found at its address",
    inject: (simulation) => simulation.killTarget("a"),
  },
  {
    name: "a target is unreachable and leaves the list",
    inject: (simulation) => {
      simulation.holders.setFaultMode("a", "unreachable");
      simulation.setCandidates(TARGETS.slice(1));
    },
  },
  {
    name: "a target leaves as planned",
    inject: (simulation) => simulation.setCandidates(TARGETS.slice(1)),
  },
  {
    name: "the keeper is killed",
    inject: (simulation) => simulation.kill(simulation.findKeeper()!),
  },
  {
    name: "the keeper is killed, a target ends",
    inject: (simulation) => {
      simulation.kill(simulation.findKeeper()!);
      simulation.killTarget("a");
    },
  },
];

const SEEDS = [1, 2, 3, 4];

export async function measureOwnership(): Promise<readonly MeasuredTable[]> {
  return [await measureLosses(), measureOwnerLoads()];
}

function measureOwnerLoads(): MeasuredTable {
  const columns = [
    "inTime",
    "late",
    "refused",
    "moved",
    "movedAgain",
    "moves",
    "ranges",
    "medianMs",
    "imbalance",
  ] as const satisfies readonly (keyof OwnerOutcome)[];
  return {
    title: "what callers get from 31 targets of 4 places, mean of 4 seeds",
    columns: ["load", ...columns],
    rows: Object.entries(OWNER_LOADS).map(([name, load]) => {
      const outcomes = measureSeeds(load);
      return [
        name,
        ...columns.map((column) =>
          computeMean(outcomes.map((outcome) => outcome[column]))
        ),
      ];
    }),
  };
}

function measureSeeds(
  load: Omit<OwnerLoadOptions, "seed">,
): readonly OwnerOutcome[] {
  return SEEDS.map((seed) => measureOwnerLoad({ ...load, seed }));
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

async function measureLosses(): Promise<MeasuredTable> {
  const rows = [];
  for (const loss of LOSSES) {
    rows.push([loss.name, await measureUnservedMs(loss)]);
  }
  return {
    title:
      "longest time in which some key has no holder, 4 targets, 3 instances",
    columns: ["loss", "ms"],
    rows,
  };
}

async function measureUnservedMs({ inject }: Loss): Promise<number> {
  const simulation = new KeeperSimulation(TARGETS);
  INSTANCES.forEach((name) => simulation.start(name));
  await simulation.clock.advance(5_000);
  inject(simulation);
  let unservedMs = 0;
  let longestMs = 0;
  for (let elapsedMs = 0; elapsedMs < DURATION_MS; elapsedMs += STEP_MS) {
    await simulation.clock.advance(STEP_MS);
    const isServed = KEYS
      .every((key) => simulation.holders.findHolder(key) !== undefined);
    unservedMs = isServed ? 0 : unservedMs + STEP_MS;
    longestMs = Math.max(longestMs, unservedMs);
  }
  return longestMs;
}
