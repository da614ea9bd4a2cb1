/** `lentilspur audit FILE...`: whether promises were kept, from log lines. */
import { type AuditReport, checkPromises } from "@lentilspur/proof/audit";
import { command, flag } from "cmd-ts";
import type { CommandContext } from "../command_context.ts";
import { EXIT_CODES, type ExitCode } from "../exit_codes.ts";
import {
  type CollectedLogs,
  logFilesArgument,
  runWithLogs,
} from "../log_files.ts";

export function createAuditCommand(context: CommandContext) {
  return command({
    name: "audit",
    description:
      "Check from collected log lines that nothing ran twice that may run once only, that whoever was told not-run was told the truth, that answers came from targets, that each key had one owner under each token, and that no configuration went back. Says which files were read and how many lines are missing",
    args: {
      json: flag({ long: "json", description: "Print one JSON object" }),
      files: logFilesArgument,
    },
    handler: ({ json, files }): Promise<ExitCode> =>
      runWithLogs(context, files, (lines) => printAudit(context, lines, json)),
  });
}

function printAudit(
  context: CommandContext,
  collected: CollectedLogs,
  json: boolean,
): ExitCode {
  const report = checkPromises(collected);
  const lines = json
    ? [JSON.stringify({ files: collected.files, ...report })]
    : describeReport(collected, report);
  lines.forEach((line) => context.print(line));
  return report.findings.length === 0 ? EXIT_CODES.done : EXIT_CODES.refused;
}

function describeReport(
  { files }: CollectedLogs,
  report: AuditReport,
): readonly string[] {
  const { requests, sends, findings, missingLines, unreadableLines } = report;
  return [
    ...files.map(({ name, digest }) => `read ${name}, SHA-256 ${digest}`),
    `${requests} requests with ${sends} sends`,
    missingLines === 0
      ? "no line is missing"
      : `${missingLines} lines are missing: what they told is not proved`,
    ...(unreadableLines === 0
      ? []
      : [`${unreadableLines} lines are no lines of an instance`]),
    ...findings.map(({ promise, message }) => `BROKEN ${promise}: ${message}`),
    findings.length === 0
      ? "no promise was broken"
      : `${findings.length} findings`,
  ];
}
