/** `lentilspur publish DIR`: puts the declarations into force. */
import { formatDeclarationFault } from "@lentilspur/declarations/declaration_fault";
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
  waitUntilInForce,
} from "../in_force.ts";
import {
  createDurationOption,
  logOptions,
  runWithLog,
} from "../log_options.ts";
import type { LogSession } from "../log_session.ts";
import { operatorOption } from "../operator_option.ts";
import { describeChangedDocuments } from "../publication.ts";
import {
  publishConfiguration,
  type PublishOutcome,
  type PublishRequest,
} from "../publisher.ts";

/** Covers a restart of the log and still lets an operator wait for the end. */
const DEFAULT_PATIENCE_MS = 10_000;

/** A publication is to be in force everywhere within 5 s. */
const DEFAULT_IN_FORCE_MS = 5_000;

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
        "How long to go on while the log does not answer",
        DEFAULT_PATIENCE_MS,
      ),
      waitInForce: createDurationOption(
        "wait-in-force",
        "How long to wait for every instance to have it in force",
        DEFAULT_IN_FORCE_MS,
      ),
      ...logOptions,
    },
    handler: ({ logUrl, logStream, checkpointStream, ...args }) =>
      runWithLog(
        context,
        { logUrl, logStream, checkpointStream },
        (session) => runPublication(context, session, args),
      ),
  });
}

async function runPublication(
  context: CommandContext,
  session: LogSession,
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
    allowRemovals: args.allowRemovals,
    nonce: makeNonce(context),
    patienceMs: args.patience,
    ...(args.resume === undefined ? {} : { resume: args.resume }),
  };
  const outcome = await publishConfiguration(session, request);
  reportOutcome(context, outcome, { session, args });
  if (outcome.kind !== "accepted") {
    return toExitCode(outcome);
  }
  return await reportInForce(context, session, {
    version: outcome.version,
    patienceMs: args.waitInForce,
  });
}

/** The publisher's own time, for people who read the history. */
function makeNonce(context: CommandContext): string {
  const time = context.readTime().toISOString().replace(/[-:]|\.\d+/g, "");
  return `${time}-${context.mintId().slice(0, 8)}`;
}

function toExitCode(outcome: PublishOutcome): ExitCode {
  switch (outcome.kind) {
    case "accepted":
    case "unchanged":
      return EXIT_CODES.done;
    case "invalid":
    case "superseded":
    case "removal-not-allowed":
    case "template-in-use":
    case "content-differs":
    case "rejected":
      return EXIT_CODES.refused;
    case "not-appended":
      return EXIT_CODES.unavailable;
    case "no-longer-told":
    case "unknown":
      return EXIT_CODES.unknown;
  }
}

interface ReportContext {
  readonly session: LogSession;
  readonly args: PublishArguments;
}

function reportOutcome(
  context: CommandContext,
  outcome: PublishOutcome,
  { session, args }: ReportContext,
): void {
  switch (outcome.kind) {
    case "accepted":
      context.print(
        `Version ${outcome.version} is accepted at offset ${outcome.offset} (${outcome.envelopeId})`,
      );
      return;
    case "unchanged":
      context.print(
        `Version ${outcome.version}, which is in force, says the same already; nothing was published`,
      );
      return;
    case "invalid":
      outcome.faults.forEach((fault) =>
        context.printError(formatDeclarationFault(fault))
      );
      context.printError("Nothing was published; correct the faults above");
      return;
    case "superseded":
      reportSuperseded(context, outcome.version, { session, args });
      return;
    case "removal-not-allowed":
      context.printError(
        `Nothing was published: the directory lacks ${outcome.documents}, which are in force; add --allow-removals if they are to go`,
      );
      return;
    case "template-in-use":
      context.printError(
        `Nothing was published: targets still serve ${
          outcome.templates.join(", ")
        }; drain them before the template is removed`,
      );
      return;
    case "content-differs":
      context.printError(
        `Nothing was sent: the declarations, operator or version differ from those of ${outcome.envelopeId}; restore them, or leave --resume out to publish anew`,
      );
      return;
    case "no-longer-told":
      context.printError(
        `The log no longer holds the records that would tell what became of ${outcome.envelopeId}; compare with lentilspur diff`,
      );
      return;
    case "rejected":
      context.printError(
        `Nothing was published: the log's readers rejected it as ${
          JSON.stringify(outcome.reason)
        }; run lentilspur diff and try again`,
      );
      return;
    case "not-appended":
      context.printError(
        `Nothing was published: the log did not take it (${outcome.message}); try again later`,
      );
      return;
    case "unknown":
      context.printError(
        `UNKNOWN whether it was accepted: ${outcome.message}`,
      );
      context.printError(
        `Find out and finish it by the same command with --resume ${outcome.envelopeId}; that cannot publish twice`,
      );
      return;
  }
}

function reportSuperseded(
  context: CommandContext,
  version: number,
  { session, args }: ReportContext,
): void {
  context.printError(
    `Nothing was published: it was written against version ${args.expectVersion}, but version ${version} is in force`,
  );
  const later = session.publications
    .filter((publication) => publication.version > args.expectVersion);
  later.forEach((publication) =>
    context.printError(
      `  version ${publication.version} by ${publication.operator}: ${
        describeChangedDocuments(publication.changes)
      }`,
    )
  );
  context.printError(
    version > args.expectVersion
      ? "Take their changes into your files, look at lentilspur diff, and publish against the new version"
      : "No such version has been published; take the version from lentilspur diff",
  );
}

async function reportInForce(
  context: CommandContext,
  session: LogSession,
  options: { readonly version: number; readonly patienceMs: number },
): Promise<ExitCode> {
  const startedAt = context.clock.readMs();
  const reports = await waitUntilInForce(session.view, {
    ...options,
    fetchStatus: context.fetchStatus,
    clock: context.clock,
  });
  const elapsedMs = Math.round(context.clock.readMs() - startedAt);
  const behind = reports.filter((each) => !isInForce(each, options.version));
  context.print(
    `In force on ${
      reports.length - behind.length
    } of ${reports.length} instances, ${elapsedMs} ms after its acceptance was read`,
  );
  behind.forEach((report) =>
    context.printError(describeMemberReport(report, options.version))
  );
  return behind.length === 0 ? EXIT_CODES.done : EXIT_CODES.lagging;
}
