/** `lentilspur show`: what is in force, as files would declare it. */
import { renderConfiguration } from "@lentilspur/declarations/render";
import { command } from "cmd-ts";
import type { CommandContext } from "../command_context.ts";
import { EXIT_CODES, type ExitCode } from "../exit_codes.ts";
import { logOptions, runWithLog } from "../log_options.ts";

export function createShowCommand(context: CommandContext) {
  return command({
    name: "show",
    description:
      "Print everything in force as YAML with all defaults filled in; it checks and publishes as it is",
    args: logOptions,
    handler: (options): Promise<ExitCode> =>
      runWithLog(context, options, (session) => {
        const { configurationVersion } = session.view;
        context.print(`# Version ${configurationVersion}`);
        context.print(renderConfiguration(session.configuration));
        return Promise.resolve(EXIT_CODES.done);
      }),
  });
}
