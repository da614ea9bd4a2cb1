/** Folded clusters of any size, built from records as the real ones are. */
import type { Template } from "@lentilspur/declarations/template";
import type { Entry } from "@lentilspur/state/entries";
import { serializeEnvelope } from "@lentilspur/state/entry_schema";
import { Fold } from "@lentilspur/state/fold";

export interface ClusterSize {
  readonly members: number;
  readonly targets: number;
  readonly shards: number;
  readonly hotKeys: number;
}

export const TEMPLATE_NAME = "case-files";
const DATA_CENTRES = ["bole", "kirkos", "yeka"];
/** Entries in one record; keeps each record well below the log's bound. */
const ENTRIES_PER_RECORD = 500;
const GUARDIANS = 3;
const MAX_HOT_KEYS = 100_000;

/** A fold that takes in entries by any author, one record each call. */
export class ClusterLog {
  readonly fold = new Fold();
  #count = 0;
  #kept: string[] | undefined;

  /** Keeps the payloads of all later records. */
  startKeeping(): readonly string[] {
    this.#kept = [];
    return this.#kept;
  }

  append(author: string, entries: readonly Entry[]): number {
    const id = `${author}#${this.#count++}`;
    const payload = serializeEnvelope({ id, author, entries });
    this.#kept?.push(payload);
    const verdicts = this.fold.apply(this.fold.nextOffset, payload);
    const rejected = verdicts.find(({ kind }) => kind === "rejected");
    if (rejected !== undefined) {
      throw new Error(
        `An entry of the measured cluster was rejected: ${
          JSON.stringify(rejected)
        }`,
      );
    }
    return payload.length;
  }
}

export function createMeasuredTemplate(
  shardCount: number,
  maxHotKeys: number,
): Template {
  return {
    name: TEMPLATE_NAME,
    routes: [
      { method: "GET", path: "/case-files/{key}", idempotent: true },
      { method: "POST", path: "/case-files/{key}/notes", idempotent: false },
    ],
    shardCount,
    placesPerTarget: 2,
    deadlines: { defaultMs: 1_000, maxMs: 2_000 },
    limits: {
      maxBodyBytes: 65_536,
      maxAnswerBytes: 65_536,
      maxQueuedPerTarget: 64,
      maxQueueMs: 500,
    },
    placement: { imbalance: 1, churn: 1, unservedTime: 1 },
    retry: { budgetRatio: 0.1, maxAttempts: 2 },
    maxHotKeys,
    drainPriority: 0,
  };
}

export function formatMemberId(index: number): string {
  return `entry-${index}-5f2c9a`;
}

export function formatTargetId(index: number): string {
  return `target-${index}`;
}

export function buildCluster(size: ClusterSize): ClusterLog {
  const log = new ClusterLog();
  log.append("operator:abebe", [{
    kind: "configuration-published",
    expectedVersion: 0,
    changes: [{
      kind: "template",
      name: TEMPLATE_NAME,
      content: createMeasuredTemplate(Math.max(1, size.shards), MAX_HOT_KEYS),
    }],
    operator: "abebe",
  }]);
  for (let index = 0; index < size.members; index++) {
    log.append(formatMemberId(index), [makeJoin(index)]);
  }
  appendInParts(log, size.targets, (index) => makeTargetJoin(index, size));
  appendAssignments(log, size);
  appendHotKeys(log, size);
  return log;
}

export function makeJoin(index: number): Entry {
  const guardians = Array.from(
    { length: Math.min(GUARDIANS, index) },
    (_, back) => formatMemberId(index - 1 - back),
  );
  return {
    kind: "instance-joined",
    instance: {
      id: formatMemberId(index),
      peerAddress: `10.0.${index >> 8}.${index & 255}:7100`,
      httpAddress: `10.0.${index >> 8}.${index & 255}:8080`,
      dataCentre: DATA_CENTRES[index % DATA_CENTRES.length]!,
    },
    guardians,
  };
}

function makeTargetJoin(index: number, size: ClusterSize): Entry {
  return {
    kind: "target-joined",
    target: {
      id: formatTargetId(index),
      address: `10.1.${index >> 8}.${index & 255}:9000`,
      dataCentre: DATA_CENTRES[index % DATA_CENTRES.length]!,
      template: TEMPLATE_NAME,
      checksGrants: true,
    },
    steward: formatMemberId(index % size.members),
  };
}

function appendInParts(
  log: ClusterLog,
  count: number,
  make: (index: number) => Entry,
): void {
  for (let first = 0; first < count; first += ENTRIES_PER_RECORD) {
    const length = Math.min(ENTRIES_PER_RECORD, count - first);
    const entries = Array.from({ length }, (_, index) => make(first + index));
    log.append(formatMemberId(0), entries);
  }
}

function appendAssignments(log: ClusterLog, size: ClusterSize): void {
  if (size.targets === 0) {
    return;
  }
  appendInParts(log, size.shards, (shard) => ({
    kind: "units-assigned",
    template: TEMPLATE_NAME,
    units: [{ unit: `s:${shard}`, to: formatTargetId(shard % size.targets) }],
  }));
}

function appendHotKeys(log: ClusterLog, size: ClusterSize): void {
  for (let index = 0; index < size.hotKeys; index++) {
    moveHotKey(log, `case-${index}`);
  }
}

/** Places one key on its own; returns the bytes of the two records. */
export function moveHotKey(log: ClusterLog, key: string): number {
  const unit = `k:${key}`;
  const location = log.fold.locateKey(TEMPLATE_NAME, key)!;
  const owner = location.unit.owner!;
  const to = Number(owner.slice("target-".length)) === 0
    ? formatTargetId(1)
    : formatTargetId(0);
  const started = log.append(formatMemberId(0), [{
    kind: "move-started",
    template: TEMPLATE_NAME,
    unit,
    expectedToken: location.unit.token,
    to,
    reason: "hot-key",
  }]);
  return started + releaseMove(log, unit);
}

/** The owner's steward releases a unit that is on its way. */
export function releaseMove(log: ClusterLog, unit: string): number {
  const state = log.fold.getUnit(TEMPLATE_NAME, unit)!;
  const steward = log.fold.getTarget(state.owner!)!.steward!;
  return log.append(steward, [{
    kind: "move-released",
    template: TEMPLATE_NAME,
    unit,
    moveToken: state.move!.token,
  }]);
}
