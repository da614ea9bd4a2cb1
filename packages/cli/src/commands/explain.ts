/**
 * `lentilspur explain REQUEST-ID FILE...`: shows how a request ended, and why.
 */
import { describeRequest } from "@lentilspur/proof/explain";
import type { LogLine } from "@lentilspur/proof/log_line";
import { command, positional, string } from "cmd-ts";
import type { CommandContext } from "../command_context.ts";
import { EXIT_CODES, type ExitCode } from "../exit_codes.ts";
import { logFilesArgument, runWithLogs } from "../log_files.ts";

export function createExplainCommand(context: CommandContext) {
  return command({
    name: "explain",
    description:
      "Show the course of a request from collected log lines: its sends and its outcome, marked with a star, among the other events of that time",
    examples: [
      {
        description: "Find out why a request failed",
        command: "lentilspur explain 4f0c… logs/*.log",
      },
    ],
    args: {
      requestId: positional({
        type: string,
        displayName: "REQUEST-ID",
        description: "Value of the response header lentilspur-request-id",
      }),
      files: logFilesArgument,
    },
    handler: ({ requestId, files }): Promise<ExitCode> =>
      runWithLogs(
        context,
        files,
        ({ lines }) => printExplanation(context, lines, requestId),
      ),
  });
}

function printExplanation(
  context: CommandContext,
  lines: readonly LogLine[],
  requestId: string,
): ExitCode {
  const explanation = describeRequest(lines, requestId);
  if (explanation.length === 0) {
    context.printError(
      `No line contains request id "${requestId}": the request reached none of these instances, or its lines were dropped (${lines.length} lines read)`,
    );
    return EXIT_CODES.refused;
  }
  explanation.forEach((line) => context.print(line));
  return EXIT_CODES.done;
}
