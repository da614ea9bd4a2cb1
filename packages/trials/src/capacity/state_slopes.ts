/** What each member, target, shard and hot key costs in memory and on the log. */
import { Fold } from "@lentilspur/state/fold";
import {
  buildCluster,
  type ClusterSize,
  TEMPLATE_NAME,
} from "./cluster_builder.ts";
import { measureBytesEach, measureWorkEach } from "./meters.ts";

export interface StateSlopes {
  readonly heapBytesPerMember: number;
  readonly heapBytesPerTarget: number;
  readonly heapBytesPerShard: number;
  readonly heapBytesPerHotKey: number;
  readonly checkpointBytesPerMember: number;
  readonly checkpointBytesPerTarget: number;
  readonly checkpointBytesPerShard: number;
  readonly checkpointBytesPerHotKey: number;
  readonly serializeMicrosecondsPerShard: number;
  readonly restoreMicrosecondsPerShard: number;
  readonly locateKeyMicroseconds: number;
}

/** Large enough that one more of a kind weighs against noise. */
const FEW = 500;
const MANY = 4_000;
const SMALL: ClusterSize = { members: 2, targets: 4, shards: 64, hotKeys: 0 };
const LOCATED_KEYS = 200_000;
const SERIALIZED_SHARDS = 50_000;

export function measureStateSlopes(): StateSlopes {
  const heap = {
    members: measureHeap("members"),
    targets: measureHeap("targets"),
    shards: measureHeap("shards"),
    hotKeys: measureHeap("hotKeys"),
  };
  const text = {
    members: measureCheckpoint("members"),
    targets: measureCheckpoint("targets"),
    shards: measureCheckpoint("shards"),
    hotKeys: measureCheckpoint("hotKeys"),
  };
  return {
    heapBytesPerMember: heap.members,
    heapBytesPerTarget: heap.targets,
    heapBytesPerShard: heap.shards,
    heapBytesPerHotKey: heap.hotKeys,
    checkpointBytesPerMember: text.members,
    checkpointBytesPerTarget: text.targets,
    checkpointBytesPerShard: text.shards,
    checkpointBytesPerHotKey: text.hotKeys,
    ...measureSnapshotTimes(),
    locateKeyMicroseconds: measureLocateKey(),
  };
}

function makeSize(kind: keyof ClusterSize, count: number): ClusterSize {
  return { ...SMALL, [kind]: count };
}

/** Of a restored fold: what an instance holds that started from a checkpoint. */
function measureHeap(kind: keyof ClusterSize): number {
  const texts = new Map(
    [FEW, MANY].map((count) =>
      [count, buildCluster(makeSize(kind, count)).fold.serialize()] as const
    ),
  );
  return measureBytesEach((count) => Fold.restore(texts.get(count)!), {
    few: FEW,
    many: MANY,
  });
}

function measureCheckpoint(kind: keyof ClusterSize): number {
  const [few, many] = [FEW, MANY].map((count) =>
    buildCluster(makeSize(kind, count)).fold.serialize().length
  );
  return (many! - few!) / (MANY - FEW);
}

function measureSnapshotTimes(): Pick<
  StateSlopes,
  "serializeMicrosecondsPerShard" | "restoreMicrosecondsPerShard"
> {
  const { fold } = buildCluster(makeSize("shards", SERIALIZED_SHARDS));
  const text = fold.serialize();
  return {
    serializeMicrosecondsPerShard: measureWorkEach(8, () => fold.serialize()) /
      SERIALIZED_SHARDS,
    restoreMicrosecondsPerShard: measureWorkEach(8, () => Fold.restore(text)) /
      SERIALIZED_SHARDS,
  };
}

function measureLocateKey(): number {
  const { fold } = buildCluster({ ...SMALL, shards: 4_096, hotKeys: 100 });
  return measureWorkEach(
    LOCATED_KEYS,
    (index) => fold.locateKey(TEMPLATE_NAME, `case-${index}`),
  );
}
