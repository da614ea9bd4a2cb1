/**
 * One change or loss in a cluster in memory, while callers send; and what they
 * noticed of it. Time is virtual, so the figures are the same every run; each
 * hop takes 1 ms and each request 5 ms in its target.
 */
import { parseEnvelope } from "@lentilspur/state/entry_schema";
import type { StateView } from "@lentilspur/state/view";
import {
  CHECKPOINT_STREAM,
  FakeCluster,
  STREAM,
  TEMPLATE_NAME,
} from "../cluster/fake_cluster.ts";

/** Today's size of one user: 12 instances, 20 targets of one template. */
const INSTANCES = 12;
const TARGETS = 20;
const SHARDS = 256;
const KEYS = 400;
const SETTLING_MS = 15_000;
const SEND_EVERY_MS = 2;
const SENDING_MS = 15_000;
const SETTLED_AFTER_MS = 10_000;
/** Callers wait longer than any change should take. */
const DEADLINE_MS = 9_000;
/** One request in so many is not idempotent. */
const CHANGE_EVERY = 4;

export interface OwnershipScenario {
  readonly name: string;
  /** Brings the change about. */
  readonly run: (cluster: FakeCluster) => Promise<void> | void;
  /** Units that had to change their owner at the least. */
  readonly countForced: (before: Placement, after: Placement) => number;
}

/** Which target owns each unit, and which targets there are. */
export interface Placement {
  readonly owners: ReadonlyMap<string, string | null>;
  readonly targets: ReadonlySet<string>;
}

export interface OwnershipFigures {
  /** The longest time between sending a request and its whole answer. */
  readonly longestWaitMs: number;
  readonly refused: number;
  readonly unknown: number;
  readonly sent: number;
  readonly moved: number;
  readonly forced: number;
  readonly appends: number;
  readonly entries: number;
  readonly bytes: number;
}

export async function measureScenario(
  scenario: OwnershipScenario,
): Promise<OwnershipFigures> {
  const cluster = await startCluster();
  const before = readPlacement(cluster);
  const recordsBefore = cluster.log.listRecords(STREAM).length;
  const checkpointsBefore = cluster.log.listRecords(CHECKPOINT_STREAM).length;
  const sending = sendRequests(cluster);
  await scenario.run(cluster);
  await sending;
  await cluster.clock.advance(SETTLED_AFTER_MS);
  const after = readPlacement(cluster);
  const records = [
    ...cluster.log.listRecords(STREAM).slice(recordsBefore),
    ...cluster.log.listRecords(CHECKPOINT_STREAM).slice(checkpointsBefore),
  ];
  return {
    ...countAnswers(cluster),
    moved: countMoved(before, after),
    forced: scenario.countForced(before, after),
    appends: records.length,
    entries: records
      .map(({ payload }) => parseEnvelope(payload)?.entries.length ?? 0)
      .reduce((sum, count) => sum + count, 0),
    bytes: records
      .map(({ payload }) => Buffer.byteLength(payload))
      .reduce((sum, count) => sum + count, 0),
  };
}

async function startCluster(): Promise<FakeCluster> {
  const cluster = new FakeCluster({ template: { shardCount: SHARDS } });
  cluster.publish();
  for (let index = 0; index < TARGETS; index++) {
    cluster.addTarget(`t${index}`, index % 2 === 0);
  }
  for (let index = 0; index < INSTANCES; index++) {
    cluster.addInstance();
  }
  await cluster.clock.advance(SETTLING_MS);
  return cluster;
}

async function sendRequests(cluster: FakeCluster): Promise<void> {
  const end = cluster.clock.readMs() + SENDING_MS;
  for (let count = 0; cluster.clock.readMs() < end; count++) {
    const ids = [...cluster.instances.values()]
      .filter(({ gate }) => !gate.isPaused)
      .map(({ id }) => id);
    cluster.send(ids[count % ids.length]!, `room-${count % KEYS}`, {
      idempotent: count % CHANGE_EVERY !== 0,
      deadlineMs: DEADLINE_MS,
    });
    await cluster.clock.advance(SEND_EVERY_MS);
  }
}

function countAnswers(
  cluster: FakeCluster,
): Pick<
  OwnershipFigures,
  "longestWaitMs" | "refused" | "unknown" | "sent"
> {
  let longestWaitMs = 0;
  let refused = 0;
  let unknown = 0;
  for (const { answer, answeredAtMs, sentAtMs } of cluster.sent) {
    const outcome = answer?.headers
      .find(({ name }) => name === "lentilspur-outcome")?.value;
    if (outcome === "ran" && answeredAtMs !== null) {
      longestWaitMs = Math.max(longestWaitMs, answeredAtMs - sentAtMs);
    } else if (outcome === "not-run") {
      refused++;
    } else {
      unknown++;
    }
  }
  return { longestWaitMs, refused, unknown, sent: cluster.sent.length };
}

export function getView(cluster: FakeCluster): StateView {
  return cluster.instances.values().next().value!.instance.view;
}

function readPlacement(cluster: FakeCluster): Placement {
  const view = getView(cluster);
  const units = view.listUnits(TEMPLATE_NAME);
  return {
    owners: new Map(units.map(({ unit, owner }) => [unit, owner])),
    targets: new Set(
      view.listTargetsOfTemplate(TEMPLATE_NAME).map(({ target }) => target.id),
    ),
  };
}

function countMoved(before: Placement, after: Placement): number {
  return [...after.owners]
    .filter(([unit, owner]) => before.owners.get(unit) !== owner).length;
}
