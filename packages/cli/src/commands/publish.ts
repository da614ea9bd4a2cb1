/** `lentilspur publish DIR`: publishes the declarations. */
import {
  command,
  extendType,
  flag,
  option,
  optional,
  positional,
  string,
} from "cmd-ts";
import type { CommandContext } from "../command_context.ts";
import { readDeclarationFiles } from "../declaration_files.ts";
import { EXIT_CODES, type ExitCode } from "../exit_codes.ts";
import {
  describeInstanceReport,
  isInForce,
  type QueriedInstance,
  toQueriedInstance,
  waitUntilInForce,
} from "../in_force.ts";
import { operatorOption } from "../operator_option.ts";
import { describeOutcome, getExitCode } from "../publish_report.ts";
import { publishConfiguration, type PublishRequest } from "../publisher.ts";
import {
  createDurationOption,
  runWithStore,
  storeOption,
} from "../store_options.ts";
import type { StoreSession } from "../store_session.ts";

/**
 * Covers a restart of the store and is still a wait that an operator accepts.
 */
const DEFAULT_STORE_TIMEOUT_MS = 10_000;

/** A publication must be in force on all instances within 5 s. */
const DEFAULT_IN_FORCE_TIMEOUT_MS = 5_000;

const versionType = extendType(string, {
  displayName: "version",
  from: (text): Promise<number> =>
    /^[0-9]{1,15}$/.test(text) ? Promise.resolve(Number(text)) : Promise.reject(
      new Error(
        `"${text}" is not a version number; lentilspur diff prints the version in force`,
      ),
    ),
});

interface PublishArguments {
  readonly directory: string;
  readonly expectVersion: number;
  readonly operator: string;
  readonly allowRemovals: boolean;
  readonly resume: string | undefined;
  readonly storeTimeout: number;
  readonly waitInForce: number;
}

export function createPublishCommand(context: CommandContext) {
  return command({
    name: "publish",
    description:
      "Publish all declarations at once, against the version that they were made from. If somebody else has published since, nothing changes and the command lists their changes",
    examples: [
      {
        description: "Publish against version 7",
        command:
          "lentilspur publish declarations --expect-version 7 --operator neema",
      },
      {
        description: "Finish a publication whose outcome stayed unknown",
        command:
          "lentilspur publish declarations --expect-version 7 --operator neema --resume ID",
      },
    ],
    args: {
      directory: positional({
        displayName: "DIR",
        description: "The directory of the declarations",
      }),
      expectVersion: option({
        long: "expect-version",
        type: versionType,
        description:
          "The version that was in force when the change was made; lentilspur diff prints it",
      }),
      operator: operatorOption,
      allowRemovals: flag({
        long: "allow-removals",
        description:
          "Allow the removal of documents that the directory no longer contains",
      }),
      resume: option({
        long: "resume",
        type: optional(string),
        description: "Id of an earlier publication whose outcome is unknown",
      }),
      storeTimeout: createDurationOption(
        "patience",
        "How long to keep trying while the store does not respond",
        DEFAULT_STORE_TIMEOUT_MS,
      ),
      waitInForce: createDurationOption(
        "wait-in-force",
        "How long to wait until the version is in force on every instance",
        DEFAULT_IN_FORCE_TIMEOUT_MS,
      ),
      store: storeOption,
    },
    handler: ({ store, ...args }) =>
      runWithStore(
        context,
        store,
        (session) => runPublication(context, session, args),
      ),
  });
}

async function runPublication(
  context: CommandContext,
  session: StoreSession,
  args: PublishArguments,
): Promise<ExitCode> {
  const files = await readDeclarationFiles(args.directory);
  if (!files.ok) {
    context.printError(files.val);
    return EXIT_CODES.refused;
  }
  const request: PublishRequest = {
    files: files.val,
    expectedVersion: args.expectVersion,
    operator: args.operator,
    publishedAt: context.readWallClock().toISOString(),
    allowRemovals: args.allowRemovals,
    nonce: makeNonce(context),
    timeoutMs: args.storeTimeout,
    ...(args.resume === undefined ? {} : { resume: args.resume }),
  };
  const outcome = await publishConfiguration(session, request, context.clock);
  const code = getExitCode(outcome);
  const lines = describeOutcome(outcome, {
    notes: session.publication.notes,
    expectedVersion: args.expectVersion,
  });
  lines.forEach((line) =>
    code === EXIT_CODES.done ? context.print(line) : context.printError(line)
  );
  if (outcome.kind !== "accepted") {
    return code;
  }
  return await reportInForce(context, session, {
    version: outcome.version,
    timeoutMs: args.waitInForce,
  });
}

/**
 * Returns the publisher's wall-clock time, for readers of the history, with a
 * random suffix.
 */
function makeNonce(context: CommandContext): string {
  const time = context.readWallClock().toISOString().replace(/[-:]|\.\d+/g, "");
  return `${time}-${context.mintId().slice(0, 8)}`;
}

async function reportInForce(
  context: CommandContext,
  session: StoreSession,
  options: { readonly version: number; readonly timeoutMs: number },
): Promise<ExitCode> {
  const startedAt = context.clock.readMs();
  let instances: readonly QueriedInstance[] = [];
  const reports = await waitUntilInForce({
    ...options,
    fetchStatus: context.fetchStatus,
    clock: context.clock,
    readMembers: async () => {
      // While the store does not respond, queries the members listed last.
      const members = await session.listMembers();
      instances = members.ok ? members.val.map(toQueriedInstance) : instances;
      return instances;
    },
  });
  const elapsedMs = Math.round(context.clock.readMs() - startedAt);
  const behind = reports.filter((each) => !isInForce(each, options.version));
  context.print(
    `In force on ${
      reports.length - behind.length
    } of ${reports.length} instances, ${elapsedMs} ms after it was accepted`,
  );
  if (reports.length === 0) {
    context.print("No instance is a member; start one with lentilspur serve");
  }
  behind.forEach((report) =>
    context.printError(describeInstanceReport(report, options.version))
  );
  return behind.length === 0 ? EXIT_CODES.done : EXIT_CODES.lagging;
}
