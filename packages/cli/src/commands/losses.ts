/**
 * `lentilspur losses FILE...`: shows when and why requests were not answered.
 */
import {
  listLosses,
  type LossReason,
  type LossWindow,
  mergeReasons,
} from "@lentilspur/proof/losses";
import { command, number, option } from "cmd-ts";
import type { CommandContext } from "../command_context.ts";
import { EXIT_CODES, type ExitCode } from "../exit_codes.ts";
import {
  type CollectedLogs,
  logFilesArgument,
  runWithLogs,
} from "../log_files.ts";

/**
 * Long enough for some hundred requests, short enough to show a brief
 * disturbance.
 */
const DEFAULT_WINDOW_SECONDS = 2;
/** Reasons printed for each window; the totals list all of them. */
const MAX_REASONS_PER_WINDOW = 3;

export function createLossesCommand(context: CommandContext) {
  return command({
    name: "losses",
    description:
      "Show from collected log lines when and why no target answered a request, and the ratio of the busiest target's sends to the mean",
    examples: [
      {
        description: "Find out when and why requests failed",
        command: "lentilspur losses logs/*.log",
      },
    ],
    args: {
      seconds: option({
        long: "window",
        type: number,
        description: "Length of each window in seconds",
        defaultValue: () => DEFAULT_WINDOW_SECONDS,
        defaultValueIsSerializable: true,
      }),
      files: logFilesArgument,
    },
    handler: ({ seconds, files }): Promise<ExitCode> =>
      runWithLogs(
        context,
        files,
        (collected) => printLosses(context, collected, seconds),
      ),
  });
}

function printLosses(
  context: CommandContext,
  { lines }: CollectedLogs,
  seconds: number,
): ExitCode {
  if (!(seconds > 0)) {
    context.printError(`--window must be above 0, found ${seconds}`);
    return EXIT_CODES.usage;
  }
  const windows = listLosses(lines, seconds * 1_000);
  if (windows.length === 0) {
    context.printError(
      `None of these ${lines.length} lines records the end of a request; pass the standard output of instances`,
    );
    return EXIT_CODES.refused;
  }
  context.print("time          ended  answered  busiest/mean  lost to");
  windows.forEach((window) => context.print(formatWindow(window)));
  context.print("");
  context.print("All together:");
  mergeReasons(windows).forEach((reason) =>
    context.print(`${String(reason.count).padStart(7)}  ${reason.text}`)
  );
  return EXIT_CODES.done;
}

function formatWindow(
  { startsAtMs, ended, answered, busiestToMean, reasons }: LossWindow,
): string {
  return [
    new Date(startsAtMs).toISOString().slice(11, 23),
    String(ended).padStart(5),
    `${(100 * answered / ended).toFixed(1)} %`.padStart(8),
    busiestToMean.toFixed(2).padStart(12),
    reasons.slice(0, MAX_REASONS_PER_WINDOW).map(formatReason).join(", "),
  ].join("  ");
}

function formatReason({ text, count }: LossReason): string {
  return `${count} ${text}`;
}
