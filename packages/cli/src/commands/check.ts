/** `lentilspur check DIR`: whether the declarations could be published. */
import { formatDeclarationFault } from "@lentilspur/declarations/declaration_fault";
import type { DeclarationFile } from "@lentilspur/declarations/document_source";
import type { Configuration } from "@lentilspur/declarations/template";
import { validateDeclarations } from "@lentilspur/declarations/validate";
import { command, option, optional, positional } from "cmd-ts";
import type { CommandContext } from "../command_context.ts";
import { readDeclarationFiles } from "../declaration_files.ts";
import { EXIT_CODES, type ExitCode } from "../exit_codes.ts";
import { logOptions, runWithLog, urlType } from "../log_options.ts";

export function createCheckCommand(context: CommandContext) {
  return command({
    name: "check",
    description:
      "Check declarations and tell every fault with file, line and column. With a log, also check what may not change against the version in force",
    examples: [
      {
        description: "Check the files alone",
        command: "lentilspur check declarations",
      },
      {
        description: "Check also what is fixed for life",
        command: "lentilspur check declarations --log-url http://10.0.0.5:7000",
      },
    ],
    args: {
      directory: positional({
        displayName: "DIR",
        description: "The directory of the declarations",
      }),
      ...logOptions,
      logUrl: option({
        long: "log-url",
        env: "LENTILSPUR_LOG_URL",
        type: optional(urlType),
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
