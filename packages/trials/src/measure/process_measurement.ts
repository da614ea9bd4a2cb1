/**
 * What instances cost as processes: at rest, and for each request. Twelve
 * instances and their stand-ins run on this machine, so nothing else should.
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
const SETTLE_MS = 6_000;
const REST_MS = 15_000;
const LOAD_MS = 10_000;
const CONNECTIONS = 8;
/** Below the 400 a second that the account may send. */
const REQUESTS_PER_SECOND = 300;
/** Ticks of processor time a second, as Linux counts them for processes. */
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
    await sleep(SETTLE_MS);
    const rest = await measureRest(processes.instances);
    const load = await measureRequests(processes.instances[0]!);
    return {
      title: `${INSTANCES} instances, ${3 * TARGETS_PER_SERVICE} targets`,
      columns: ["figure", "value"],
      rows: [...rest, ...load],
    };
  } finally {
    await processes.stopAll();
    rmSync(directory, { recursive: true });
  }
}

async function measureRest(instances: readonly InstanceProcess[]) {
  const before = await Promise.all(instances.map(readUsage));
  await sleep(REST_MS);
  const after = await Promise.all(instances.map(readUsage));
  const seconds = REST_MS / 1_000;
  const cpu = after.map((one, index) => one.cpuMs - before[index]!.cpuMs);
  const calls = after
    .map((one, index) => one.storeCalls - before[index]!.storeCalls);
  const mean = (values: readonly number[]) =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  return [
    ["at rest, processor time, % of a core, mean", mean(cpu) / seconds / 10],
    [
      "at rest, processor time, % of a core, most",
      Math.max(...cpu) / seconds / 10,
    ],
    ["at rest, calls to the store, 1/s, mean", mean(calls) / seconds],
    ["memory, MB, most", Math.max(...after.map((one) => one.memoryMb))],
  ] as const;
}

async function measureRequests(instance: InstanceProcess) {
  const histogram = build();
  const before = await readUsage(instance);
  const endsAtMs = readMonotonicMs() + LOAD_MS;
  let count = 0;
  const runLane = async (lane: number): Promise<void> => {
    for (let turn = lane; readMonotonicMs() < endsAtMs; turn += CONNECTIONS) {
      const sentAtMs = readMonotonicMs();
      const answer = await request(
        `http://${instance.address}/case-files/case-${turn % 997}`,
        {
          headers: { authorization: `Bearer ${ABAY.accounts[0]!.credential}` },
        },
      );
      await answer.body.dump();
      if (answer.statusCode === 200) {
        count++;
        histogram.recordValue(
          Math.round((readMonotonicMs() - sentAtMs) * 1_000),
        );
      }
      const dueAtMs = sentAtMs + 1_000 * CONNECTIONS / REQUESTS_PER_SECOND;
      await sleep(Math.max(0, dueAtMs - readMonotonicMs()));
    }
  };
  const lanes = Array.from({ length: CONNECTIONS }, (_, lane) => runLane(lane));
  await Promise.all(lanes);
  const after = await readUsage(instance);
  return [
    ["one instance, requests answered, 1/s", count / (LOAD_MS / 1_000)],
    [
      "one instance, processor time a request, µs",
      (after.cpuMs - before.cpuMs) * 1_000 / Math.max(1, count),
    ],
    ["latency, ms, median", histogram.getValueAtPercentile(50) / 1_000],
    ["latency, ms, 99 in 100", histogram.getValueAtPercentile(99) / 1_000],
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
  const answer = await request(`http://${address}/metrics`);
  const text = await answer.body.text();
  return [...text.matchAll(/^lentilspur_store_calls_total\{.*\} (\d+)$/gm)]
    .reduce((sum, [, count]) => sum + Number(count), 0);
}
