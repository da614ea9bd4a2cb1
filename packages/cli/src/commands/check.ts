/** `lentilspur check DIR`: whether the declarations could be published. */
import { formatDeclarationFault } from "@lentilspur/declarations/declaration_fault";
import type { DeclarationFile } from "@lentilspur/declarations/document_source";
import type { Configuration } from "@lentilspur/declarations/template";
import { validateDeclarations } from "@lentilspur/declarations/validate";
import { command, option, optional, positional, string } from "cmd-ts";
import type { CommandContext } from "../command_context.ts";
import { readDeclarationFiles } from "../declaration_files.ts";
import { EXIT_CODES, EXIT_CODES_HELP, type ExitCode } from "../exit_codes.ts";
import { logOptions, runWithLog } from "../log_options.ts";

export function createCheckCommand(context: CommandContext) {
  return command({
    name: "check",
    description:
      `Check declarations and tell every fault with file, line and column. With a log, also check what may not change against the version in force. ${EXIT_CODES_HELP}`,
    args: {
      directory: positional({
        displayName: "DIR",
        description: "The directory of the declarations",
      }),
      ...logOptions,
      logUrl: option({
        long: "log-url",
        env: "LENTILSPUR_LOG_URL",
        type: optional(string),
        description: "The platform's log; left out, only the files are checked",
      }),
    },
    handler: async ({ directory, logUrl, ...options }): Promise<ExitCode> => {
      const files = await readDeclarationFiles(directory);
      if (!files.ok) {
        context.printError(files.val);
        return EXIT_CODES.refused;
      }
      if (logUrl === undefined) {
        return checkFiles(context, files.val);
      }
      return await runWithLog(
        context,
        { ...options, logUrl },
        (session) =>
          Promise.resolve(
            checkFiles(context, files.val, session.configuration),
          ),
      );
    },
  });
}

function checkFiles(
  context: CommandContext,
  files: readonly DeclarationFile[],
  inForce?: Configuration,
): ExitCode {
  const result = validateDeclarations(files, inForce);
  if (!result.ok) {
    result.val.forEach((fault) =>
      context.printError(formatDeclarationFault(fault))
    );
    context.printError(`${result.val.length} faults; nothing can be published`);
    return EXIT_CODES.refused;
  }
  const { templates, clientAccounts } = result.val;
  context.print(
    `${files.length} files are valid: ${templates.length} templates, ${clientAccounts.length} client accounts`,
  );
  return EXIT_CODES.done;
}
