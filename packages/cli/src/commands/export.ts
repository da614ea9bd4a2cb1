/** `lentilspur export`: keep the log's records beyond its retention. */
import { mkdir } from "node:fs/promises";
import { type ExportFailure, exportLog } from "@lentilspur/proof/export";
import { verifyExport } from "@lentilspur/proof/export_verify";
import { command, option, optional, string, subcommands } from "cmd-ts";
import type { CommandContext } from "../command_context.ts";
import { EXIT_CODES, type ExitCode } from "../exit_codes.ts";
import { logOptions } from "../log_options.ts";
import { describeLogFailure } from "../log_session.ts";

const directory = option({
  long: "directory",
  type: string,
  description: "Where the export files stand",
});

export function createExportCommand(context: CommandContext) {
  return subcommands({
    name: "export",
    description:
      "Keep the log's records as files with a hash chain, and check such files",
    cmds: {
      run: createRunCommand(context),
      verify: createVerifyCommand(context),
    },
  });
}

function createRunCommand(context: CommandContext) {
  return command({
    name: "run",
    description: "Copy what the log holds beyond the last export",
    args: { directory, ...logOptions },
    handler: async ({ directory, logUrl, logStream }): Promise<ExitCode> => {
      const log = context.openLog(logUrl);
      try {
        await mkdir(directory, { recursive: true });
        const result = await exportLog({ log, stream: logStream, directory });
        if (!result.ok) {
          context.printError(describeFailure(result.val));
          return result.val.kind === "log"
            ? EXIT_CODES.unavailable
            : EXIT_CODES.refused;
        }
        const { records, file, nextOffset, lastDigest } = result.val;
        context.print(
          file === undefined
            ? `Nothing new up to offset ${nextOffset}`
            : `${records} records up to offset ${nextOffset - 1} in ${file}`,
        );
        context.print(`Digest to keep elsewhere: ${lastDigest}`);
        return EXIT_CODES.done;
      } finally {
        log.close();
      }
    },
  });
}

function describeFailure(failure: ExportFailure): string {
  switch (failure.kind) {
    case "log":
      return describeLogFailure(failure.failure);
    case "damaged":
      return `The export is damaged, restore it from a copy first: ${failure.message}`;
    case "expired":
      return `Records "${failure.nextOffset}" to "${
        failure.firstOffset - 1
      }" expired before they were exported, begin a new export in another directory`;
  }
}

function createVerifyCommand(context: CommandContext) {
  return command({
    name: "verify",
    description:
      "Check export files for being complete and unaltered; exit code 1 where they are not",
    args: {
      directory,
      logStream: logOptions.logStream,
      digest: option({
        long: "digest",
        type: optional(string),
        description: "The digest that the last export printed",
      }),
    },
    handler: async ({ directory, logStream, digest }): Promise<ExitCode> => {
      const report = await verifyExport(directory, logStream);
      for (const { file, lineNumber, message } of report.faults) {
        context.printError(`${file}:${lineNumber}: ${message}`);
      }
      const isEndMissing = digest !== undefined &&
        digest !== report.lastDigest;
      if (isEndMissing) {
        context.printError(
          `The last digest is "${report.lastDigest}" and not "${digest}", look for missing files`,
        );
      }
      context.print(
        `${report.files} files, ${report.records} records, offsets ${report.firstOffset} to ${
          report.nextOffset - 1
        }, ${report.faults.length} faults`,
      );
      if (report.files === 0) {
        context.printError(`No export of "${logStream}" is in "${directory}"`);
      }
      return report.files > 0 && report.faults.length === 0 && !isEndMissing
        ? EXIT_CODES.done
        : EXIT_CODES.refused;
    },
  });
}
