/** `lentilspur check DIR`: checks whether the declarations can be published. */
import type { Configuration } from "@lentilspur/declarations/template";
import { listWarnings } from "@lentilspur/declarations/warnings";
import { command, positional } from "cmd-ts";
import type { CommandContext } from "../command_context.ts";
import { loadConfiguration } from "../declaration_files.ts";
import { EXIT_CODES, type ExitCode } from "../exit_codes.ts";
import { optionalStoreOption, runWithStore } from "../store_options.ts";

export function createCheckCommand(context: CommandContext) {
  return command({
    name: "check",
    description:
      "Check declarations and report every fault with file, line and column. With a store, also check that no immutable field differs from the version in force",
    examples: [
      {
        description: "Check the files alone",
        command: "lentilspur check declarations",
      },
      {
        description: "Also check the fields that may never change",
        command: "lentilspur check declarations --store 10.0.0.5:7000",
      },
    ],
    args: {
      directory: positional({
        displayName: "DIR",
        description: "The directory of the declarations",
      }),
      store: optionalStoreOption,
    },
    handler: ({ directory, store }): Promise<ExitCode> =>
      store === undefined ? checkDirectory(context, directory) : runWithStore(
        context,
        store,
        ({ publication }) =>
          checkDirectory(context, directory, publication.configuration),
      ),
  });
}

async function checkDirectory(
  context: CommandContext,
  directory: string,
  published?: Configuration,
): Promise<ExitCode> {
  const configuration = await loadConfiguration(context, directory, published);
  if (configuration === undefined) {
    return EXIT_CODES.refused;
  }
  listWarnings(configuration)
    .forEach((warning) => context.print(`Warning: ${warning}`));
  const { templates, clientAccounts } = configuration;
  context.print(
    `Valid: ${templates.length} templates, ${clientAccounts.length} client accounts`,
  );
  return EXIT_CODES.done;
}
