/** Unserved time, churn and appends of each kind of change or loss. */
import type { FakeCluster } from "../cluster/fake_cluster.ts";
import type { Measurement } from "../measurement.ts";
import {
  getView,
  measureScenario,
  type OwnershipScenario,
  type Placement,
} from "./ownership_scenario.ts";

const PAUSE_MS = 10_000;
const OUTAGE_MS = 10_000;

export const OWNERSHIP_MEASUREMENT: Measurement = {
  name: "ownership",
  about: "Unserved time, churn and appends of moves, drains, losses and stops",
  measure: async () => {
    const rows = [];
    for (const scenario of SCENARIOS) {
      const figures = await measureScenario(scenario);
      rows.push([
        scenario.name,
        figures.longestWaitMs,
        figures.sent,
        figures.refused,
        figures.unknown,
        figures.moved,
        figures.forced,
        figures.appends,
        figures.entries,
        figures.bytes,
      ]);
    }
    return {
      tables: [{
        title: "12 instances, 20 targets, 256 shards, virtual time",
        columns: [
          "change",
          "longest wait ms",
          "sent",
          "not run",
          "unknown",
          "units moved",
          "least moves",
          "appends",
          "entries",
          "bytes",
        ],
        rows,
      }],
      figures: [],
    };
  },
};

const SCENARIOS: readonly OwnershipScenario[] = [
  { name: "nothing", run: () => {}, countForced: () => 0 },
  {
    name: "target joins",
    run: (cluster) => void cluster.addTarget("joining", true),
    countForced: countEvenShare,
  },
  {
    name: "target that checks leaves",
    run: (cluster) => cluster.list.setState("t0", "leaving"),
    countForced: (before) => countOwned(before, "t0"),
  },
  {
    name: "target that does not check leaves",
    run: (cluster) => cluster.list.setState("t1", "leaving"),
    countForced: (before) => countOwned(before, "t1"),
  },
  {
    name: "target that checks freezes",
    run: (cluster) => cluster.targets.get("t0")!.freeze(),
    countForced: (before) => countOwned(before, "t0"),
  },
  {
    name: "target that does not check ends",
    run: (cluster) => cluster.targets.get("t1")!.stop(),
    countForced: (before) => countOwned(before, "t1"),
  },
  {
    name: "instance is lost",
    run: (cluster) => cluster.stopInstance(getSteward(cluster)),
    countForced: () => 0,
  },
  {
    name: "instance is paused for 10 s",
    run: async (cluster) => {
      const { gate } = cluster.instances.get(getSteward(cluster))!;
      gate.stop();
      await cluster.clock.sleep(PAUSE_MS);
      gate.start();
    },
    countForced: () => 0,
  },
  {
    name: "instance stops as planned",
    run: async (cluster) => {
      const id = getSteward(cluster);
      await cluster.instances.get(id)!.instance.stop();
      cluster.stopInstance(id);
    },
    countForced: () => 0,
  },
  {
    name: "instance joins",
    run: (cluster) => void cluster.addInstance(),
    countForced: () => 0,
  },
  {
    name: "a data centre's 4 instances are lost",
    run: (cluster) => {
      const view = getView(cluster);
      const lost = view.listMembers()
        .filter(({ instance }) => instance.dataCentre === "Yeka");
      lost.forEach(({ instance }) => cluster.stopInstance(instance.id));
    },
    countForced: () => 0,
  },
  {
    name: "log is down for 10 s",
    run: async (cluster) => {
      cluster.log.setDown(true);
      await cluster.clock.sleep(OUTAGE_MS);
      cluster.log.setDown(false);
    },
    countForced: () => 0,
  },
];

function getSteward(cluster: FakeCluster): string {
  return getView(cluster).getTarget("t0")!.steward!;
}

function countOwned(placement: Placement, target: string): number {
  return [...placement.owners.values()]
    .filter((owner) => owner === target).length;
}

/** What the joining target has got had to move, and no more. */
function countEvenShare(_before: Placement, after: Placement): number {
  return countOwned(after, "joining");
}
