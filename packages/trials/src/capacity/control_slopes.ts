/** What the loops of the control side cost for each member and each unit. */
import { computeSuccessorRank } from "@lentilspur/ownership/take_over";
import type { ListedInstance } from "@lentilspur/ports/instance_list";
import { planBalance } from "@lentilspur/policy/placement";
import type { PlacementInput } from "@lentilspur/policy/placement_input";
import { buildCluster, formatMemberId } from "./cluster_builder.ts";
import { measureWorkEach } from "./meters.ts";

export interface ControlSlopes {
  /** One look of the succession watch at one member. */
  readonly watchMicrosecondsPerMember: number;
  /** One round of the planner, for each unit of its template. */
  readonly planMicrosecondsPerUnit: number;
  /** One entry of the platform's list, as JSON text. */
  readonly listBytesPerInstance: number;
}

const MEMBERS = 1_000;
const PLANNED_TARGETS = 400;
const PLANNED_UNITS = 5_400;
const ROUNDS = 40;

export function measureControlSlopes(): ControlSlopes {
  return {
    watchMicrosecondsPerMember: measureWatch(),
    planMicrosecondsPerUnit: measurePlan(),
    listBytesPerInstance: JSON.stringify(LISTED).length + 1,
  };
}

const LISTED: ListedInstance = {
  kind: "target",
  id: "target-37999",
  address: "10.1.148.111:9000",
  dataCentre: "kirkos",
  state: "live",
  template: "case-files",
  checksGrants: true,
};

function measureWatch(): number {
  const { fold } = buildCluster({
    members: MEMBERS,
    targets: 4,
    shards: 16,
    hotKeys: 0,
  });
  const self = formatMemberId(0);
  const perRound = measureWorkEach(ROUNDS, () => {
    for (const member of fold.listMembers()) {
      computeSuccessorRank(member, self, fold);
    }
  });
  return perRound / MEMBERS;
}

function measurePlan(): number {
  const input: PlacementInput = {
    template: "case-files",
    targets: Array.from({ length: PLANNED_TARGETS }, (_, index) => ({
      id: `target-${index}`,
      dataCentre: "bole",
      leaving: false,
      ageMs: Infinity,
    })),
    units: Array.from({ length: PLANNED_UNITS }, (_, index) => ({
      unit: `s:${index}`,
      owner: `target-${index % PLANNED_TARGETS}`,
      load: 0.05,
      moving: false,
    })),
    weights: { imbalance: 1, churn: 1, unservedTime: 1 },
    placesPerTarget: 2,
  };
  return measureWorkEach(ROUNDS, () => planBalance(input)) / PLANNED_UNITS;
}
