/** `lentilspur show`: prints the published configuration as declarations. */
import { renderConfiguration } from "@lentilspur/declarations/render";
import { command } from "cmd-ts";
import type { CommandContext } from "../command_context.ts";
import { EXIT_CODES, type ExitCode } from "../exit_codes.ts";
import { runWithStore, storeOption } from "../store_options.ts";

export function createShowCommand(context: CommandContext) {
  return command({
    name: "show",
    description:
      "Print the configuration in force as YAML with all defaults filled in; the output can be checked and published unchanged",
    args: { store: storeOption },
    handler: ({ store }): Promise<ExitCode> =>
      runWithStore(context, store, ({ publication }) => {
        context.print(`# Version ${publication.version}`);
        context.print(renderConfiguration(publication.configuration));
        return Promise.resolve(EXIT_CODES.done);
      }),
  });
}
