/** `lentilspur status`: where the published version is in force. */
import { command, flag } from "cmd-ts";
import type { CommandContext } from "../command_context.ts";
import { EXIT_CODES, type ExitCode } from "../exit_codes.ts";
import {
  collectMemberReports,
  describeMemberReport,
  isInForce,
} from "../in_force.ts";
import { logOptions, runWithLog } from "../log_options.ts";
import type { LogSession } from "../log_session.ts";

/** Two screens; beyond it only those that lag are worth reading. */
const MAX_SHOWN = 48;

export function createStatusCommand(context: CommandContext) {
  return command({
    name: "status",
    description:
      "Ask every member instance which version it has in force and since when",
    args: {
      all: flag({
        long: "all",
        description:
          `List also those that have it, where there are more than ${MAX_SHOWN}`,
      }),
      ...logOptions,
    },
    handler: ({ all, ...options }): Promise<ExitCode> =>
      runWithLog(
        context,
        options,
        (session) => printStatus(context, session, all),
      ),
  });
}

async function printStatus(
  context: CommandContext,
  session: LogSession,
  all: boolean,
): Promise<ExitCode> {
  const version = session.view.configurationVersion;
  const reports = await collectMemberReports(
    session.view.listMembers(),
    context.fetchStatus,
  );
  const latest = session.publications.at(-1);
  const by = latest === undefined ? "" : `, published by ${latest.operator}`;
  context.print(`version ${version}${by}`);
  const behind = reports.filter((report) => !isInForce(report, version));
  const shown = all || reports.length <= MAX_SHOWN ? reports : behind;
  shown.forEach((report) =>
    context.print(describeMemberReport(report, version))
  );
  if (shown.length < reports.length) {
    context.print(
      `Not shown: ${reports.length - shown.length} with it; add --all`,
    );
  }
  const inForce = reports.length - behind.length;
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
