/** `lentilspur status`: where the published version is in force. */
import { command } from "cmd-ts";
import type { CommandContext } from "../command_context.ts";
import { EXIT_CODES, type ExitCode } from "../exit_codes.ts";
import {
  collectMemberReports,
  describeMemberReport,
  isInForce,
} from "../in_force.ts";
import { logOptions, runWithLog } from "../log_options.ts";
import type { LogSession } from "../log_session.ts";

export function createStatusCommand(context: CommandContext) {
  return command({
    name: "status",
    description:
      "Ask every member instance which version it has in force and since when",
    args: logOptions,
    handler: (options): Promise<ExitCode> =>
      runWithLog(
        context,
        options,
        (session) => printStatus(context, session),
      ),
  });
}

async function printStatus(
  context: CommandContext,
  session: LogSession,
): Promise<ExitCode> {
  const version = session.view.configurationVersion;
  const reports = await collectMemberReports(
    session.view,
    context.fetchStatus,
  );
  const latest = session.publications.at(-1);
  const by = latest === undefined ? "" : `, published by ${latest.operator}`;
  context.print(`version ${version}${by}`);
  reports.forEach((report) =>
    context.print(describeMemberReport(report, version))
  );
  const inForce = reports.filter((report) => isInForce(report, version)).length;
  context.print(`in force on ${inForce} of ${reports.length} instances`);
  if (reports.length === 0) {
    context.printError(
      "No instance is a member; start one with lentilspur serve",
    );
  }
  return inForce === reports.length && reports.length > 0
    ? EXIT_CODES.done
    : EXIT_CODES.lagging;
}
