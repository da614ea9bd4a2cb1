/** Where a version is in force: every member instance asked directly. */
import { formatDuration } from "@lentilspur/declarations/units";
import type { Member } from "@lentilspur/gateway/members/members";
import type { Result } from "@lentilspur/outcomes/result";
import type { Clock } from "@lentilspur/ports/clock";
import type {
  InstanceStatus,
  StatusFailure,
  StatusFetcher,
} from "./instance_status.ts";

/** One member and what it said, or why it said nothing. */
export interface MemberReport {
  readonly instance: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly status: Result<InstanceStatus, StatusFailure>;
}

/** Enough that a few silent ones delay nobody, few enough for any machine. */
const MAX_CONCURRENT = 64;

/** Who is asked: a member as the store has it, or one that was named. */
export interface QueriedInstance {
  readonly id: string;
  readonly dataCentre: string;
  readonly address: string;
}

/** Asks all, many at a time; reports come in the order of `asked`. */
export async function collectMemberReports(
  asked: readonly QueriedInstance[],
  fetchStatus: StatusFetcher,
): Promise<readonly MemberReport[]> {
  const reports: MemberReport[] = [];
  let next = 0;
  const runWorker = async (): Promise<void> => {
    while (next < asked.length) {
      const index = next++;
      reports[index] = await fetchReport(asked[index]!, fetchStatus);
    }
  };
  await Promise.all(Array.from({ length: MAX_CONCURRENT }, runWorker));
  return reports;
}

export function isInForce(report: MemberReport, version: number): boolean {
  return report.status.ok && report.status.val.configurationVersion >= version;
}

/**
 * An instance whose process has ended leaves its record behind; what does not
 * run has no version.
 */
export function isGone(report: MemberReport): boolean {
  return !report.status.ok && report.status.val.kind === "gone";
}

export interface InForceOptions {
  readonly version: number;
  readonly fetchStatus: StatusFetcher;
  readonly clock: Clock;
  readonly timeoutMs: number;
  /** Reads who is a member now: one that left is not waited for. */
  readonly readMembers: () => Promise<readonly QueriedInstance[]>;
}

/** Pause between two rounds of questions. */
const ROUND_PAUSE_MS = 100;

/**
 * Asks until all members have the version or patience ends. A member that has
 * it is not asked again, since an accepted version never reverts.
 */
export async function waitUntilInForce(
  options: InForceOptions,
): Promise<readonly MemberReport[]> {
  const { version, fetchStatus, clock } = options;
  const giveUpAt = clock.readMs() + options.timeoutMs;
  const done = new Map<string, MemberReport>();
  for (;;) {
    const members = await options.readMembers();
    const open = members.filter(({ id }) => !done.has(id));
    const reports = await collectMemberReports(open, fetchStatus);
    const behind = reports
      .filter((report) => !isInForce(report, version) && !isGone(report));
    reports.filter((report) => isInForce(report, version))
      .forEach((report) => done.set(report.instance, report));
    if (behind.length === 0 || clock.readMs() >= giveUpAt) {
      return [...done.values(), ...behind];
    }
    await clock.sleep(ROUND_PAUSE_MS);
  }
}

async function fetchReport(
  { id, dataCentre, address }: QueriedInstance,
  fetchStatus: StatusFetcher,
): Promise<MemberReport> {
  const status = await fetchStatus(address);
  return { instance: id, dataCentre, address, status };
}

export function toQueriedInstance(member: Member): QueriedInstance {
  const { instance: id, dataCentre, host, statusPort } = member;
  return { id, dataCentre, address: `${host}:${statusPort}` };
}

/** One line for one member. */
export function describeMemberReport(
  report: MemberReport,
  version: number,
): string {
  const name = `${report.instance} (${report.dataCentre}, ${report.address})`;
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

/** Whole seconds above one second: nobody reads the rest. */
function computeShownAge(ms: number): number {
  return ms < 1_000 ? Math.round(ms) : Math.round(ms / 1_000) * 1_000;
}
