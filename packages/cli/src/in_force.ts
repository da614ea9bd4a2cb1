/** Where a version is in force: every member instance asked directly. */
import type { Clock } from "@lentilspur/ports/clock";
import type { Result } from "@lentilspur/outcomes/result";
import type { StateView } from "@lentilspur/state/view";
import { formatDuration } from "@lentilspur/declarations/units";
import type { InstanceStatus, StatusFetcher } from "./instance_status.ts";

/** One member and what it said, or why it said nothing. */
export interface MemberReport {
  readonly instance: string;
  readonly dataCentre: string;
  readonly httpAddress: string;
  readonly status: Result<InstanceStatus, string>;
}

/** Asks all members at once, so that one silent instance delays nobody. */
export function collectMemberReports(
  view: StateView,
  fetchStatus: StatusFetcher,
): Promise<readonly MemberReport[]> {
  return Promise.all(
    view.listMembers().map(async ({ instance }) => ({
      instance: instance.id,
      dataCentre: instance.dataCentre,
      httpAddress: instance.httpAddress,
      status: await fetchStatus(instance.httpAddress),
    })),
  );
}

export function isInForce(report: MemberReport, version: number): boolean {
  return report.status.ok && report.status.val.configurationVersion >= version;
}

export interface InForceOptions {
  readonly version: number;
  readonly fetchStatus: StatusFetcher;
  readonly clock: Clock;
  readonly patienceMs: number;
}

/** Pause between two rounds of questions. */
const ROUND_PAUSE_MS = 100;

/** Asks until all members have the version or patience ends; the last round. */
export async function waitUntilInForce(
  view: StateView,
  options: InForceOptions,
): Promise<readonly MemberReport[]> {
  const giveUpAt = options.clock.readMs() + options.patienceMs;
  for (;;) {
    const reports = await collectMemberReports(view, options.fetchStatus);
    const isDone = reports.every((each) => isInForce(each, options.version));
    if (isDone || options.clock.readMs() >= giveUpAt) {
      return reports;
    }
    await options.clock.sleep(ROUND_PAUSE_MS);
  }
}

/** One line for one member. */
export function describeMemberReport(
  report: MemberReport,
  version: number,
): string {
  const name =
    `${report.instance} (${report.dataCentre}, ${report.httpAddress})`;
  if (!report.status.ok) {
    return `${name}: no answer, ${report.status.val}`;
  }
  const status = report.status.val;
  const mark = isInForce(report, version) ? "in force" : "BEHIND";
  const age = formatDuration(computeShownAge(status.inForceSinceMs));
  const lease = status.leaseHeld ? "lease held" : "NO LEASE";
  const ready = status.ready ? "ready" : "not ready";
  return `${name}: version ${status.configurationVersion} ${mark} for ${age}, folded to ${status.foldedOffset}, ${lease}, ${ready}`;
}

/** Whole seconds above one second: nobody reads the rest. */
function computeShownAge(ms: number): number {
  return ms < 1_000 ? Math.round(ms) : Math.round(ms / 1_000) * 1_000;
}
