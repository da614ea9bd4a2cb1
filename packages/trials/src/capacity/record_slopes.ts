/** What each kind of change costs: bytes on the log, and time to fold. */
import type { Entry } from "@lentilspur/state/entries";
import { Fold } from "@lentilspur/state/fold";
import {
  buildCluster,
  type ClusterLog,
  type ClusterSize,
  createMeasuredTemplate,
  formatMemberId,
  formatTargetId,
  makeJoin,
  moveHotKey,
  TEMPLATE_NAME,
} from "./cluster_builder.ts";
import { readProcessorTime } from "./meters.ts";

/** One kind of change; all its records are counted together. */
export interface RecordSlope {
  readonly bytes: number;
  readonly records: number;
  readonly foldMicroseconds: number;
}

export interface RecordSlopes {
  readonly configurationChange: RecordSlope;
  /** Leave, join anew, both hand-overs of its targets. */
  readonly restart: RecordSlope;
  readonly guardianChange: RecordSlope;
  readonly hotKeyMove: RecordSlope;
  readonly instanceLoss: RecordSlope;
  readonly targetLoss: RecordSlope;
  readonly epoch: RecordSlope;
}

const SIZE: ClusterSize = {
  members: 300,
  targets: 950,
  shards: 12_800,
  hotKeys: 300,
};
const REPEATS = 200;
const TARGETS_PER_MEMBER = 3;
const UNITS_PER_TARGET = 13;

export function measureRecordSlopes(): RecordSlopes {
  return {
    configurationChange: measureChange(publishChange),
    restart: measureChange(appendRestart),
    guardianChange: measureChange(updateGuardians),
    hotKeyMove: measureChange((log, index) => {
      moveHotKey(log, `late-${index}`);
    }),
    instanceLoss: measureChange(appendMemberLoss),
    targetLoss: measureChange(appendTargetLoss),
    epoch: measureChange((log, index) => {
      log.append(formatMemberId(0), [{
        kind: "epoch-advanced",
        expectedEpoch: index,
      }]);
    }),
  };
}

/** Makes the changes on one fold, then times another that folds the same. */
function measureChange(
  change: (log: ClusterLog, index: number) => void,
): RecordSlope {
  const log = buildCluster({ ...SIZE, hotKeys: 0 });
  const before = log.fold.serialize();
  const firstOffset = log.fold.nextOffset;
  const payloads = log.startKeeping();
  for (let index = 0; index < REPEATS; index++) {
    change(log, index);
  }
  const replica = Fold.restore(before);
  const startedAt = readProcessorTime();
  payloads.forEach((payload, index) =>
    replica.apply(firstOffset + index, payload)
  );
  const spent = readProcessorTime() - startedAt;
  return {
    bytes: payloads.reduce((sum, { length }) => sum + length, 0) / REPEATS,
    records: payloads.length / REPEATS,
    foldMicroseconds: spent / REPEATS,
  };
}

function publishChange(log: ClusterLog, index: number): void {
  const template = createMeasuredTemplate(SIZE.shards, index + 1);
  log.append("operator:abebe", [{
    kind: "configuration-published",
    expectedVersion: log.fold.configurationVersion,
    changes: [{ kind: "template", name: TEMPLATE_NAME, content: template }],
    operator: "abebe",
  }]);
}

/** A planned replacement: its targets go to a neighbour and come back. */
function appendRestart(log: ClusterLog, index: number): void {
  const old = formatMemberId(index + 10);
  const neighbour = formatMemberId(index + 11);
  const next = SIZE.members + index;
  const own = log.fold.listTargets().filter(({ steward }) => steward === old);
  const ids = own.map(({ target }) => target.id).slice(0, TARGETS_PER_MEMBER);
  const others = own.slice(TARGETS_PER_MEMBER).map(({ target }) => target.id);
  log.append(old, makeHandOver(log, [...ids, ...others], neighbour));
  log.append(old, [{ kind: "instance-left", instance: old }]);
  log.append(formatMemberId(next), [makeJoinWithLiving(next)]);
  log.append(neighbour, makeHandOver(log, ids, formatMemberId(next)));
}

function makeHandOver(
  log: ClusterLog,
  targets: readonly string[],
  to: string,
): readonly Entry[] {
  return targets.map((target) => ({
    kind: "steward-changed",
    target,
    expectedToken: log.fold.getTarget(target)!.stewardToken,
    to,
  }));
}

/** The first members stay for the whole measurement. */
function makeJoinWithLiving(index: number): Entry {
  const join = makeJoin(index);
  return join.kind === "instance-joined"
    ? { ...join, guardians: [0, 1, 2].map(formatMemberId) }
    : join;
}

function updateGuardians(log: ClusterLog, index: number): void {
  const instance = formatMemberId(50 + index % 200);
  const first = index % 40;
  log.append(instance, [{
    kind: "guardians-changed",
    instance,
    expectedToken: log.fold.getMember(instance)!.guardianToken,
    guardians: [first, first + 1, first + 2].map(formatMemberId),
  }]);
}

function appendMemberLoss(log: ClusterLog, index: number): void {
  const lost = formatMemberId(60 + index);
  const member = log.fold.getMember(lost)!;
  const targets = log.fold.listTargets()
    .filter(({ steward }) => steward === lost);
  log.append(formatMemberId(0), [{
    kind: "instance-lost",
    instance: lost,
    evidence: {
      kind: "guardians",
      guardianToken: member.guardianToken,
      consented: member.guardians.filter((id) => log.fold.getMember(id)),
      waitedOut: member.guardians.filter((id) => !log.fold.getMember(id)),
    },
    stewardships: targets.map(({ target }, place) => ({
      target: target.id,
      to: formatMemberId(place),
    })),
  }]);
}

function appendTargetLoss(log: ClusterLog, index: number): void {
  const target = formatTargetId(100 + index);
  const state = log.fold.getTarget(target)!;
  const units = log.fold.listUnitsOfTarget(target).slice(0, UNITS_PER_TARGET);
  log.append(state.steward!, [{
    kind: "target-lost",
    target,
    expectedStewardToken: state.stewardToken,
    evidence: { kind: "grants-lapsed" },
    reassigned: units.map(({ unit }, place) => ({
      unit,
      to: formatTargetId(place),
    })),
  }]);
}
