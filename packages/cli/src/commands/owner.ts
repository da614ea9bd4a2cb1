/** `lentilspur owner TEMPLATE KEY`: who owns a key now, and who sends to it. */
import type { KeyLocation } from "@lentilspur/state/view";
import { command, positional, string } from "cmd-ts";
import type { CommandContext } from "../command_context.ts";
import { EXIT_CODES, type ExitCode } from "../exit_codes.ts";
import { logOptions, runWithLog } from "../log_options.ts";

export function createOwnerCommand(context: CommandContext) {
  return command({
    name: "owner",
    description:
      "Show who owns a key as of the log's end: its unit, the target that owns it, the instance that sends to that target, and both fencing tokens",
    examples: [
      {
        description: "Who owns a key now",
        command: "lentilspur owner case-files case-42",
      },
    ],
    args: {
      template: positional({
        type: string,
        displayName: "TEMPLATE",
        description: "The kind of traffic",
      }),
      key: positional({
        type: string,
        displayName: "KEY",
        description: "The key as it stands in the path",
      }),
      ...logOptions,
    },
    handler: ({ template, key, ...options }): Promise<ExitCode> =>
      runWithLog(context, options, ({ view }) => {
        const location = view.locateKey(template, key);
        if (location === undefined) {
          const known = view.listTemplates().map(({ name }) => name).join(", ");
          context.printError(
            `No template ${JSON.stringify(template)} is in force; there are: ${
              known || "none"
            }`,
          );
          return Promise.resolve(EXIT_CODES.refused);
        }
        describeLocation(location).forEach((line) => context.print(line));
        return Promise.resolve(EXIT_CODES.done);
      }),
  });
}

function describeLocation(
  { unit, target }: KeyLocation,
): readonly string[] {
  const move = unit.move === null
    ? []
    : [`moving to: ${unit.move.to} (${unit.move.reason})`];
  const owner = target === null
    ? ["owner: none now; it is assigned as soon as a target can take it"]
    : [
      `owner: ${target.target.id} at ${target.target.address} (${target.target.dataCentre})`,
      `steward: ${target.steward ?? "none now"}, token ${target.stewardToken}`,
    ];
  return [`unit: ${unit.unit}, token ${unit.token}`, ...owner, ...move];
}
