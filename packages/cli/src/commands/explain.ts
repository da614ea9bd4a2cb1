/** `lentilspur explain REQUEST-ID FILE...`: what became of a request, and why. */
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
      "Tell the story of a request from collected log lines: its sends and its end, marked with a star, among what changed around it",
    examples: [
      {
        description: "Why did this request fail",
        command: "lentilspur explain 4f0c… logs/*.log",
      },
    ],
    args: {
      requestId: positional({
        type: string,
        displayName: "REQUEST-ID",
        description: "As the answer's lentilspur-request-id says",
      }),
      files: logFilesArgument,
    },
    handler: ({ requestId, files }): Promise<ExitCode> =>
      runWithLogs(
        context,
        files,
        ({ lines }) => printStory(context, lines, requestId),
      ),
  });
}

function printStory(
  context: CommandContext,
  lines: readonly LogLine[],
  requestId: string,
): ExitCode {
  const story = describeRequest(lines, requestId);
  if (story.length === 0) {
    context.printError(
      `No line names "${requestId}": it reached none of these instances, or its lines were dropped (${lines.length} lines read)`,
    );
    return EXIT_CODES.refused;
  }
  story.forEach((line) => context.print(line));
  return EXIT_CODES.done;
}
