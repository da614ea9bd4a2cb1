/** `lentilspur owner TEMPLATE KEY`: who owns a key now. */
import { hashPathKey } from "@lentilspur/gateway/requests/path_key";
import type { OwnedRange } from "@lentilspur/ownership/key_table";
import { command, number, option, positional, string } from "cmd-ts";
import type { CommandContext } from "../command_context.ts";
import { EXIT_CODES, type ExitCode } from "../exit_codes.ts";
import { runWithStore, storeOption } from "../store_options.ts";
import { describeStoreFailure, type StoreSession } from "../store_session.ts";

/** As `lentilspur serve` has it. */
const DEFAULT_PARTITION_COUNT = 8;

interface WantedKey {
  readonly template: string;
  readonly key: string;
  readonly parts: number;
}

export function createOwnerCommand(context: CommandContext) {
  return command({
    name: "owner",
    description:
      "Show who owns a key as of now: its number, the range that holds it, the target that owns the range, its fencing token, and who held it before where it is moving",
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
      parts: option({
        long: "store-parts",
        type: number,
        description: "Partitions of the table of owners, as instances have it",
        defaultValue: () => DEFAULT_PARTITION_COUNT,
        defaultValueIsSerializable: true,
      }),
      store: storeOption,
    },
    handler: ({ store, ...wanted }): Promise<ExitCode> =>
      runWithStore(
        context,
        store,
        (session) => printOwner(context, session, wanted),
      ),
  });
}

async function printOwner(
  context: CommandContext,
  session: StoreSession,
  { template, key, parts }: WantedKey,
): Promise<ExitCode> {
  const { templates } = session.publication.configuration;
  if (!templates.some(({ name }) => name === template)) {
    const known = templates.map(({ name }) => name).join(", ");
    context.printError(
      `No template ${JSON.stringify(template)} is in force; there are: ${
        known || "none"
      }`,
    );
    return EXIT_CODES.refused;
  }
  const keyNumber = hashPathKey(key);
  const found = await session
    .findOwner({ service: template, key: keyNumber, partitionCount: parts });
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
