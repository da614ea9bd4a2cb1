/** `lentilspur publish DIR`: puts the declarations into force. */
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
  describeMemberReport,
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

/** Covers a restart of the store and still lets an operator wait for the end. */
const DEFAULT_STORE_TIMEOUT_MS = 10_000;

/** A publication is to be in force everywhere within 5 s. */
const DEFAULT_IN_FORCE_TIMEOUT_MS = 5_000;

const versionType = extendType(string, {
  displayName: "version",
  from: (text): Promise<number> =>
    /^[0-9]{1,15}$/.test(text) ? Promise.resolve(Number(text)) : Promise.reject(
      new Error(`"${text}" is no version, take it from lentilspur diff`),
    ),
});

interface PublishArguments {
  readonly directory: string;
  readonly expectVersion: number;
  readonly operator: string;
  readonly allowRemovals: boolean;
  readonly resume: string | undefined;
  readonly patience: number;
  readonly waitInForce: number;
}

export function createPublishCommand(context: CommandContext) {
  return command({
    name: "publish",
    description:
      "Put the declarations into force as one whole, against the version that you have seen. If somebody else has published since, nothing changes and you are told what they changed",
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
        description: "The version that the change was made against",
      }),
      operator: operatorOption,
      allowRemovals: flag({
        long: "allow-removals",
        description: "Also remove what the directory no longer holds",
      }),
      resume: option({
        long: "resume",
        type: optional(string),
        description: "Id of an earlier publication whose outcome is unknown",
      }),
      patience: createDurationOption(
        "patience",
        "How long to go on while the store does not answer",
        DEFAULT_STORE_TIMEOUT_MS,
      ),
      waitInForce: createDurationOption(
        "wait-in-force",
        "How long to wait for every instance to have it in force",
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
    timeoutMs: args.patience,
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

/** The publisher's own time, for people who read the history. */
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
  let asked: readonly QueriedInstance[] = [];
  const reports = await waitUntilInForce({
    ...options,
    fetchStatus: context.fetchStatus,
    clock: context.clock,
    readMembers: async () => {
      // While the store does not answer, the members known so far are asked.
      const members = await session.listMembers();
      asked = members.ok ? members.val.map(toQueriedInstance) : asked;
      return asked;
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
    context.printError(describeMemberReport(report, options.version))
  );
  return behind.length === 0 ? EXIT_CODES.done : EXIT_CODES.lagging;
}
