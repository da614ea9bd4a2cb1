/** `lentilspur owner TEMPLATE KEY`: shows which target owns a key. */
import { hashPathKey } from "@lentilspur/gateway/requests/path_key";
import type { OwnedRange } from "@lentilspur/ownership/key_table";
import { command, number, option, positional, string } from "cmd-ts";
import type { CommandContext } from "../command_context.ts";
import { EXIT_CODES, type ExitCode } from "../exit_codes.ts";
import { runWithStore, storeOption } from "../store_options.ts";
import { describeStoreFailure, type StoreSession } from "../store_session.ts";

/** The default of the setting `--store-parts` of `lentilspur serve`. */
const DEFAULT_PARTITION_COUNT = 8;

interface KeyQuery {
  readonly template: string;
  readonly key: string;
  readonly partitionCount: number;
}

export function createOwnerCommand(context: CommandContext) {
  return command({
    name: "owner",
    description:
      "Show which target owns a key now: the key's number, the range that contains it, the target that owns the range, its fencing token, and the former owners while the range is moving",
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
        description: "Name of the template",
      }),
      key: positional({
        type: string,
        displayName: "KEY",
        description: "The key as it is written in the path",
      }),
      partitionCount: option({
        long: "store-parts",
        type: number,
        description:
          "Number of partitions of the ownership table; the value that the instances use",
        defaultValue: () => DEFAULT_PARTITION_COUNT,
        defaultValueIsSerializable: true,
      }),
      store: storeOption,
    },
    handler: ({ store, ...query }): Promise<ExitCode> =>
      runWithStore(
        context,
        store,
        (session) => printOwner(context, session, query),
      ),
  });
}

async function printOwner(
  context: CommandContext,
  session: StoreSession,
  { template, key, partitionCount }: KeyQuery,
): Promise<ExitCode> {
  const { templates } = session.publication.configuration;
  if (!templates.some(({ name }) => name === template)) {
    const known = templates.map(({ name }) => name).join(", ");
    context.printError(
      `No template ${
        JSON.stringify(template)
      } is in force; templates in force: ${known || "none"}`,
    );
    return EXIT_CODES.refused;
  }
  const keyNumber = hashPathKey(key);
  const found = await session
    .findOwner({ service: template, key: keyNumber, partitionCount });
  if (!found.ok) {
    context.printError(describeStoreFailure(found.val));
    return EXIT_CODES.unavailable;
  }
  describeRange(keyNumber, found.val).forEach((line) => context.print(line));
  return EXIT_CODES.done;
}

function describeRange(
  key: number,
  range: OwnedRange | undefined,
): readonly string[] {
  if (range === undefined) {
    return [`key: ${key}`, "owner: none yet; no target has registered"];
  }
  const { from, to, owner, former } = range;
  return [
    `key: ${key}, of the range ${from} to ${to}`,
    `owner: ${owner.id} at ${owner.address}, token ${owner.token}`,
    ...former.map(({ id, token }) => `moving from: ${id}, token ${token}`),
  ];
}
