/** `lentilspur history`: lists who published which changes. */
import type { Publication } from "@lentilspur/declarations/publication";
import { command, number, option } from "cmd-ts";
import type { CommandContext } from "../command_context.ts";
import { EXIT_CODES, type ExitCode } from "../exit_codes.ts";
import { describeNote } from "../publish_report.ts";
import { runWithStore, storeOption } from "../store_options.ts";

const DEFAULT_LIMIT = 10;

export function createHistoryCommand(context: CommandContext) {
  return command({
    name: "history",
    description:
      "Show the latest accepted publications, newest first: version, operator, and each field that changed. The store keeps only the last ones; keep the declarations themselves in version control",
    args: {
      limit: option({
        long: "limit",
        type: number,
        description: "How many publications to show",
        defaultValue: () => DEFAULT_LIMIT,
        defaultValueIsSerializable: true,
      }),
      store: storeOption,
    },
    handler: ({ limit, store }): Promise<ExitCode> =>
      runWithStore(
        context,
        store,
        ({ publication }) =>
          Promise.resolve(printHistory(context, publication, limit)),
      ),
  });
}

function printHistory(
  context: CommandContext,
  { version, notes }: Publication,
  limit: number,
): ExitCode {
  const shown = notes.slice(-limit).reverse();
  shown.flatMap(describeNote).forEach((line) => context.print(line));
  const hidden = version - shown.length;
  if (hidden > 0) {
    context.print(
      `Not shown: ${hidden} earlier, beyond --limit ${limit} or no longer kept`,
    );
  }
  if (version === 0) {
    context.print("Nothing has been published yet; run lentilspur publish");
  }
  return EXIT_CODES.done;
}
