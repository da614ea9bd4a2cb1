/**
 * `lentilspur audit FILE...`: checks from log lines that all promises were
 * kept.
 */
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
      "Check from collected log lines that no request ran twice that may run only once, that no request reported as not-run had run, that responses came from targets, that each key had one owner under each token, and that no instance returned to an older configuration. Also prints which files were read and how many lines are missing",
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
      : `${missingLines} lines are missing; the audit does not cover what they recorded`,
    ...(unreadableLines === 0
      ? []
      : [`${unreadableLines} lines are not log lines of an instance`]),
    ...findings.map(({ promise, message }) => `BROKEN ${promise}: ${message}`),
    findings.length === 0
      ? "no promise was broken"
      : `${findings.length} findings`,
  ];
}
