/** Queries instances for the configuration version that each has in force. */
import { formatDuration } from "@lentilspur/declarations/units";
import type { Member } from "@lentilspur/gateway/members/members";
import type { Result } from "@lentilspur/outcomes/result";
import type { Clock } from "@lentilspur/ports/clock";
import type {
  InstanceStatus,
  StatusFailure,
  StatusFetcher,
} from "./instance_status.ts";

/** The status of one instance, or why it could not be fetched. */
export interface InstanceReport {
  readonly id: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly status: Result<InstanceStatus, StatusFailure>;
}

/**
 * Limit of concurrent queries: high enough that a few unresponsive instances do
 * not delay the rest, and low enough that any machine can open the connections.
 */
const MAX_CONCURRENT = 64;

/**
 * An instance to query: a member listed in the store, or an address given on
 * the command line.
 */
export interface QueriedInstance {
  readonly id: string;
  readonly dataCentre: string;
  readonly address: string;
}

/**
 * Queries all instances, at most `MAX_CONCURRENT` at a time; reports are in the
 * order of `instances`.
 */
export async function collectInstanceReports(
  instances: readonly QueriedInstance[],
  fetchStatus: StatusFetcher,
): Promise<readonly InstanceReport[]> {
  const reports: InstanceReport[] = [];
  let next = 0;
  const runWorker = async (): Promise<void> => {
    while (next < instances.length) {
      const index = next++;
      reports[index] = await fetchReport(instances[index]!, fetchStatus);
    }
  };
  await Promise.all(Array.from({ length: MAX_CONCURRENT }, runWorker));
  return reports;
}

export function isInForce(report: InstanceReport, version: number): boolean {
  return report.status.ok && report.status.val.configurationVersion >= version;
}

/**
 * Checks whether the process of an instance has ended. Its member record stays
 * in the store, but it has no version in force.
 */
export function isGone(report: InstanceReport): boolean {
  return !report.status.ok && report.status.val.kind === "gone";
}

export interface InForceOptions {
  readonly version: number;
  readonly fetchStatus: StatusFetcher;
  readonly clock: Clock;
  readonly timeoutMs: number;
  /**
   * Reads the current members, so that an instance that has left is not waited
   * for.
   */
  readonly readMembers: () => Promise<readonly QueriedInstance[]>;
}

/** Pause between two rounds of queries. */
const ROUND_PAUSE_MS = 100;

/**
 * Queries the members until all have the version or the timeout expires. A
 * member that has the version is not queried again, since an accepted version
 * never reverts.
 */
export async function waitUntilInForce(
  options: InForceOptions,
): Promise<readonly InstanceReport[]> {
  const { version, fetchStatus, clock } = options;
  const deadlineMs = clock.readMs() + options.timeoutMs;
  const upToDate = new Map<string, InstanceReport>();
  for (;;) {
    const members = await options.readMembers();
    const pending = members.filter(({ id }) => !upToDate.has(id));
    const reports = await collectInstanceReports(pending, fetchStatus);
    const behind = reports
      .filter((report) => !isInForce(report, version) && !isGone(report));
    reports.filter((report) => isInForce(report, version))
      .forEach((report) => upToDate.set(report.id, report));
    if (behind.length === 0 || clock.readMs() >= deadlineMs) {
      return [...upToDate.values(), ...behind];
    }
    await clock.sleep(ROUND_PAUSE_MS);
  }
}

async function fetchReport(
  { id, dataCentre, address }: QueriedInstance,
  fetchStatus: StatusFetcher,
): Promise<InstanceReport> {
  const status = await fetchStatus(address);
  return { id, dataCentre, address, status };
}

export function toQueriedInstance(member: Member): QueriedInstance {
  const { instance: id, dataCentre, host, statusPort } = member;
  return { id, dataCentre, address: `${host}:${statusPort}` };
}

/** Formats the report of one instance as one line. */
export function describeInstanceReport(
  report: InstanceReport,
  version: number,
): string {
  const name = `${report.id} (${report.dataCentre}, ${report.address})`;
  if (!report.status.ok) {
    return `${name}: no answer, ${report.status.val.message}`;
  }
  const status = report.status.val;
  const mark = isInForce(report, version) ? "in force" : "BEHIND";
  const age = formatDuration(computeShownAge(status.inForceForMs));
  const ready = status.isReady ? "ready" : "not ready";
  const duties = status.duties.map((duty) => `, ${duty}`).join("");
  const evacuated = status.evacuated.length === 0
    ? ""
    : `, evacuated: ${status.evacuated.join(" ")}`;
  return `${name}: version ${status.configurationVersion} ${mark} for ${age}, ${status.targets} targets, ${ready}${duties}${evacuated}`;
}

/**
 * Rounds to whole seconds from 1 s on; smaller units do not matter to a reader.
 */
function computeShownAge(ms: number): number {
  return ms < 1_000 ? Math.round(ms) : Math.round(ms / 1_000) * 1_000;
}
