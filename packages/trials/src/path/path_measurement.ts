/**
 * `npm run measure -- path`: what the way through the system costs a caller,
 * against the same client that asks a target directly, and how long a
 * publication takes to be in force everywhere. All in one run, as ratios.
 */
import type {
  MeasuredReport,
  MeasuredTable,
  Measurement,
} from "../measurement.ts";
import { LoopRecord, runClosedLoop } from "./closed_loop.ts";
import {
  CREDENTIAL,
  PathCluster,
  readProcessorSeconds,
  readStatus,
} from "./path_cluster.ts";
import { StartedProcess } from "./started_process.ts";

/** Targets in the cluster; with 2 places each they outrun one instance. */
const TARGETS = 4;
const KEYS = Array.from({ length: 64 }, (_, number) => `studio-${number}`);
/** Instances reach their usual speed after some thousand requests. */
const WARM_UP_MS = 4_000;
const WARM_UP_CONCURRENCY = 16;
/** The ways take turns, so that a busy moment of the machine meets them all. */
const ROUNDS = 5;
const ROUND_MS = 500;
/** One request at a time shows the way's own time, many its throughput. */
const CONCURRENCIES = [1, 16] as const;
const PUBLICATIONS = 20;
const INSTANCES = 12;
/** Between two looks at the instances' versions. */
const POLL_MS = 1;
const US_PER_SECOND = 1_000_000;

export const PATH_MEASUREMENT: Measurement = {
  name: "path",
  about: "The cost of the way through entry and steward, on real processes",
  measure: measurePath,
};

interface Way {
  readonly name: string;
  readonly address: string;
  readonly paths: readonly string[];
  readonly method: "GET" | "POST";
  /** Instances whose processor time the way takes. */
  readonly instances: readonly string[];
}

async function measurePath(): Promise<MeasuredReport> {
  const cluster = await PathCluster.start();
  const bare = await StartedProcess.start({
    module: "packages/trials/dist/path/bare_route.js",
    args: [],
    findAddress: (line) => /"listening":"([0-9.:]+)"/.exec(line)?.[1],
  });
  try {
    const ways = await buildWays(cluster, bare.address);
    for (const way of ways) {
      await runRound(way, WARM_UP_CONCURRENCY, WARM_UP_MS, new LoopRecord());
    }
    const tables: MeasuredTable[] = [];
    for (const concurrency of CONCURRENCIES) {
      tables.push(await measureWays(ways, concurrency));
    }
    tables.push(await measurePublication(cluster));
    return { tables, figures: [] };
  } finally {
    await bare.stop();
    await cluster.stop();
  }
}

async function buildWays(
  cluster: PathCluster,
  bare: string,
): Promise<readonly Way[]> {
  await cluster.publish();
  await cluster.addInstance();
  await cluster.addInstance();
  await cluster.addTargets(TARGETS);
  await cluster.waitUntilServed(KEYS);
  const [entry, peer] = cluster.instances;
  const own = listPathsOf(KEYS, entry!.stewards, entry!.id);
  const passed = listPathsOf(KEYS, entry!.stewards, peer!.id);
  const entryAddress = entry!.process.address;
  const both = [entryAddress, peer!.process.address];
  const method = "GET";
  return [
    {
      name: "client to target",
      address: cluster.targets[0]!.address,
      paths: own,
      method,
      instances: [],
    },
    {
      name: "bare moleculer-web route",
      address: bare,
      paths: own,
      method,
      instances: [],
    },
    {
      name: "entry is the steward",
      address: entryAddress,
      paths: own,
      method,
      instances: [entryAddress],
    },
    {
      name: "entry to steward",
      address: entryAddress,
      paths: passed,
      method,
      instances: both,
    },
    {
      name: "entry to steward, not idempotent",
      address: entryAddress,
      paths: passed.map((path) => `${path}/holds`),
      method: "POST",
      instances: both,
    },
  ];
}

function listPathsOf(
  keys: readonly string[],
  stewards: ReadonlyMap<string, string>,
  steward: string,
): readonly string[] {
  const paths = keys.filter((key) => stewards.get(key) === steward)
    .map((key) => `/calendars/${key}`);
  if (paths.length === 0) {
    throw new Error(`Instance "${steward}" is the steward of none of the keys`);
  }
  return paths;
}

interface MeasuredWay {
  readonly way: Way;
  readonly record: LoopRecord;
  processorSeconds: number;
}

async function measureWays(
  ways: readonly Way[],
  concurrency: number,
): Promise<MeasuredTable> {
  const measured: readonly MeasuredWay[] = ways.map((way) => ({
    way,
    record: new LoopRecord(),
    processorSeconds: 0,
  }));
  for (let round = 0; round < ROUNDS; round++) {
    for (const each of measured) {
      await measureRound(each, concurrency);
    }
  }
  return {
    title:
      `The way through the system, ${concurrency} in progress, ${ROUNDS} rounds of ${ROUND_MS} ms in turn`,
    columns: [
      "way",
      "requests/s",
      "ratio to direct",
      "p50 ms",
      "added p50 ms",
      "p99 ms",
      "added p99 ms",
      "instances' processor us/request",
      "failures",
    ],
    rows: measured.map((each) => formatRow(each, measured[0]!.record)),
  };
}

function formatRow(measured: MeasuredWay, direct: LoopRecord) {
  const { way, record, processorSeconds } = measured;
  const p50Ms = record.getPercentileMs(50);
  const p99Ms = record.getPercentileMs(99);
  return [
    way.name,
    Math.round(record.requestsPerSecond),
    record.requestsPerSecond / direct.requestsPerSecond,
    p50Ms,
    p50Ms - direct.getPercentileMs(50),
    p99Ms,
    p99Ms - direct.getPercentileMs(99),
    way.instances.length === 0
      ? null
      : processorSeconds * US_PER_SECOND / record.requests,
    record.failures,
  ];
}

async function measureRound(
  measured: MeasuredWay,
  concurrency: number,
): Promise<void> {
  const { way, record } = measured;
  const before = await countProcessorSeconds(way.instances);
  await runRound(way, concurrency, ROUND_MS, record);
  const after = await countProcessorSeconds(way.instances);
  measured.processorSeconds += after - before;
}

function runRound(
  way: Way,
  concurrency: number,
  durationMs: number,
  record: LoopRecord,
): Promise<void> {
  const headers = { authorization: `Bearer ${CREDENTIAL}` };
  return runClosedLoop({ ...way, concurrency, durationMs, headers }, record);
}

async function countProcessorSeconds(
  addresses: readonly string[],
): Promise<number> {
  const each = await Promise.all(addresses.map(readProcessorSeconds));
  return each.reduce((sum, seconds) => sum + seconds, 0);
}

/** From the append's start until the last instance shows the version. */
async function measurePublication(
  cluster: PathCluster,
): Promise<MeasuredTable> {
  while (cluster.instances.length < INSTANCES) {
    await cluster.addInstance();
  }
  const addresses = cluster.instances.map(({ process }) => process.address);
  const times: number[] = [];
  for (let count = 0; count < PUBLICATIONS; count++) {
    const startedAt = performance.now();
    const version = await cluster.publish();
    await Promise.all(
      addresses.map((address) => waitForVersion(address, version)),
    );
    times.push(performance.now() - startedAt);
  }
  const sorted = times.toSorted((left, right) => left - right);
  return {
    title:
      `Publication to in force on ${INSTANCES} instances, ${PUBLICATIONS} publications`,
    columns: ["", "ms"],
    rows: [
      ["median", sorted[Math.floor(sorted.length / 2)]!],
      ["longest", sorted.at(-1)!],
    ],
  };
}

async function waitForVersion(
  address: string,
  version: number,
): Promise<void> {
  while ((await readStatus(address)).configurationVersion < version) {
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}
