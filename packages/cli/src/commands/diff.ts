/**
 * `lentilspur diff DIR`: shows what publishing the declarations would change.
 */
import { describeChanges } from "@lentilspur/declarations/change_text";
import { diffConfigurations } from "@lentilspur/declarations/diff";
import { command, positional } from "cmd-ts";
import type { CommandContext } from "../command_context.ts";
import { loadConfiguration } from "../declaration_files.ts";
import { EXIT_CODES, type ExitCode } from "../exit_codes.ts";
import { runWithStore, storeOption } from "../store_options.ts";
import type { StoreSession } from "../store_session.ts";

export function createDiffCommand(context: CommandContext) {
  return command({
    name: "diff",
    description:
      "Show each field that publishing the declarations would change, and the version to pass as --expect-version",
    examples: [
      {
        description: "See what a publication would change",
        command: "lentilspur diff declarations",
      },
    ],
    args: {
      directory: positional({
        displayName: "DIR",
        description: "The directory of the declarations",
      }),
      store: storeOption,
    },
    handler: ({ directory, store }): Promise<ExitCode> =>
      runWithStore(
        context,
        store,
        (session) => printDifference(context, session, directory),
      ),
  });
}

async function printDifference(
  context: CommandContext,
  session: StoreSession,
  directory: string,
): Promise<ExitCode> {
  const { version, configuration: published } = session.publication;
  const declared = await loadConfiguration(context, directory, published);
  if (declared === undefined) {
    return EXIT_CODES.refused;
  }
  const changes = diffConfigurations(published, declared);
  if (changes.length === 0) {
    context.print(`No difference from version ${version}, which is in force`);
    return EXIT_CODES.done;
  }
  describeChanges(published, changes).forEach((line) => context.print(line));
  const documents = changes.length === 1
    ? "1 document differs"
    : `${changes.length} documents differ`;
  context.print(
    `${documents} from version ${version}; publish with --expect-version ${version}`,
  );
  return EXIT_CODES.done;
}
