/** How long keys are without an owner after a loss, in virtual time. */
import { KeeperSimulation } from "@lentilspur/gateway/keeper/keeper_simulation";
import type { MeasuredTable } from "./measured_table.ts";

const TARGETS = ["a", "b", "c", "d"];
const INSTANCES = ["one", "two", "three"];
const STEP_MS = 10;
const LIMIT_MS = 60_000;
/** Keys whose owner is looked at. */
const KEYS = Array.from({ length: 64 }, (_, index) => index * 1_024 + 5);

interface Loss {
  readonly name: string;
  readonly inject: (world: KeeperSimulation) => void;
}

const LOSSES: readonly Loss[] = [
  {
    name: "a target ends, another process is seen at its address",
    inject: (world) => world.killTarget("a"),
  },
  {
    name: "a target cannot be reached and leaves the list",
    inject: (world) => {
      world.holders.setFaultMode("a", "unreachable");
      world.setCandidates(TARGETS.slice(1));
    },
  },
  {
    name: "a target leaves as planned",
    inject: (world) => world.setCandidates(TARGETS.slice(1)),
  },
  {
    name: "the keeper is killed",
    inject: (world) => world.kill(world.findKeeper()!),
  },
  {
    name: "the keeper is killed, a target ends",
    inject: (world) => {
      world.kill(world.findKeeper()!);
      world.killTarget("a");
    },
  },
];

export async function measureOwnership(): Promise<MeasuredTable> {
  const rows = [];
  for (const loss of LOSSES) {
    rows.push([loss.name, await measureUnservedMs(loss)]);
  }
  return {
    title: "longest time that a key has no holder, 4 targets, 3 instances",
    columns: ["loss", "ms"],
    rows,
  };
}

async function measureUnservedMs({ inject }: Loss): Promise<number> {
  const world = new KeeperSimulation(TARGETS);
  INSTANCES.forEach((name) => world.start(name));
  await world.clock.advance(5_000);
  inject(world);
  let unservedMs = 0;
  let longestMs = 0;
  for (let passedMs = 0; passedMs < LIMIT_MS; passedMs += STEP_MS) {
    await world.clock.advance(STEP_MS);
    const isServed = KEYS
      .every((key) => world.holders.findHolder(key) !== undefined);
    unservedMs = isServed ? 0 : unservedMs + STEP_MS;
    longestMs = Math.max(longestMs, unservedMs);
  }
  return longestMs;
}
