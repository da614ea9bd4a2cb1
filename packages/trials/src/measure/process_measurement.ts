/**
 * Measures the resources that instance processes use, at rest and per request.
 * Twelve instances and their stand-ins run on this machine, so nothing else
 * should run on it.
 */
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { build } from "hdr-histogram-js";
import { request } from "undici";
import {
  DeploymentProcesses,
  type InstanceProcess,
} from "../start/deployment_processes.ts";
import { readMonotonicMs } from "../traffic/caller.ts";
import { ABAY } from "../traffic/deployment.ts";
import type { MeasuredTable } from "./measured_table.ts";

const INSTANCES = 12;
const TARGETS_PER_SERVICE = 12;
const WARM_UP_MS = 6_000;
const IDLE_MS = 15_000;
const LOAD_MS = 10_000;
const CONNECTIONS = 8;
/** Below the account's limit of 400 requests per second. */
const REQUESTS_PER_SECOND = 300;
/** Clock ticks per second of CPU time in Linux's `/proc/PID/stat`. */
const TICKS_PER_SECOND = 100;

interface ResourceUsage {
  readonly cpuMs: number;
  readonly memoryMb: number;
  readonly storeCalls: number;
}

export async function measureProcesses(): Promise<MeasuredTable> {
  const directory = mkdtempSync(join(tmpdir(), "lentilspur-measure-"));
  const targets = ABAY.targets
    .map((group) => ({ ...group, count: TARGETS_PER_SERVICE }));
  const deployment = { ...ABAY, instances: INSTANCES, targets };
  const processes = new DeploymentProcesses({
    deployment,
    directory,
    hasFaultyLinks: false,
  });
  try {
    await processes.startStore();
    await processes.startTargets();
    await processes.startInstances();
    await processes.runCommand([
      "publish",
      "playground/abay",
      ...["--expect-version", "0", "--operator", "measure"],
    ]);
    await sleep(WARM_UP_MS);
    const idleRows = await measureIdle(processes.instances);
    const loadRows = await measureRequests(processes.instances[0]!);
    return {
      title: `${INSTANCES} instances, ${3 * TARGETS_PER_SERVICE} targets`,
      columns: ["figure", "value"],
      rows: [...idleRows, ...loadRows],
    };
  } finally {
    await processes.stopAll();
    rmSync(directory, { recursive: true });
  }
}

async function measureIdle(instances: readonly InstanceProcess[]) {
  const before = await Promise.all(instances.map(readUsage));
  await sleep(IDLE_MS);
  const after = await Promise.all(instances.map(readUsage));
  const seconds = IDLE_MS / 1_000;
  const cpu = after.map((one, index) => one.cpuMs - before[index]!.cpuMs);
  const calls = after
    .map((one, index) => one.storeCalls - before[index]!.storeCalls);
  const mean = (values: readonly number[]) =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  return [
    ["at rest, CPU time, % of a core, mean", mean(cpu) / seconds / 10],
    [
      "at rest, CPU time, % of a core, max",
      Math.max(...cpu) / seconds / 10,
    ],
    ["at rest, calls to the store, 1/s, mean", mean(calls) / seconds],
    ["memory, MB, max", Math.max(...after.map((one) => one.memoryMb))],
  ] as const;
}

async function measureRequests(instance: InstanceProcess) {
  const histogram = build();
  const before = await readUsage(instance);
  const deadlineMs = readMonotonicMs() + LOAD_MS;
  let count = 0;
  const runConnection = async (connection: number): Promise<void> => {
    for (
      let requestNumber = connection;
      readMonotonicMs() < deadlineMs;
      requestNumber += CONNECTIONS
    ) {
      const sentAtMs = readMonotonicMs();
      const response = await request(
        `http://${instance.address}/case-files/case-${requestNumber % 997}`,
        {
          headers: { authorization: `Bearer ${ABAY.accounts[0]!.credential}` },
        },
      );
      await response.body.dump();
      if (response.statusCode === 200) {
        count++;
        histogram.recordValue(
          Math.round((readMonotonicMs() - sentAtMs) * 1_000),
        );
      }
      const dueAtMs = sentAtMs + 1_000 * CONNECTIONS / REQUESTS_PER_SECOND;
      await sleep(Math.max(0, dueAtMs - readMonotonicMs()));
    }
  };
  const connections = Array.from(
    { length: CONNECTIONS },
    (_, connection) => runConnection(connection),
  );
  await Promise.all(connections);
  const after = await readUsage(instance);
  return [
    ["one instance, successful requests, 1/s", count / (LOAD_MS / 1_000)],
    [
      "one instance, CPU time per request, µs",
      (after.cpuMs - before.cpuMs) * 1_000 / Math.max(1, count),
    ],
    ["latency, ms, median", histogram.getValueAtPercentile(50) / 1_000],
    [
      "latency, ms, 99th percentile",
      histogram.getValueAtPercentile(99) / 1_000,
    ],
  ] as const;
}

async function readUsage(
  { child, logFile }: InstanceProcess,
): Promise<ResourceUsage> {
  const [, stat = ""] = readFileSync(`/proc/${child.processId}/stat`, "utf8")
    .split(") ");
  const fields = stat.split(" ").map(Number);
  const status = readFileSync(`/proc/${child.processId}/status`, "utf8");
  return {
    cpuMs: (fields[11]! + fields[12]!) * 1_000 / TICKS_PER_SECOND,
    memoryMb: Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1_024,
    storeCalls: await countStoreCalls(logFile),
  };
}

async function countStoreCalls(logFile: string): Promise<number> {
  const [, address] = /metrics on (\S+)\/metrics/
    .exec(readFileSync(logFile, "utf8"))!;
  const response = await request(`http://${address}/metrics`);
  const text = await response.body.text();
  return [...text.matchAll(/^lentilspur_store_calls_total\{.*\} (\d+)$/gm)]
    .reduce((sum, [, count]) => sum + Number(count), 0);
}
