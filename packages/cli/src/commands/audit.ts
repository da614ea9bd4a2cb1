/** `lentilspur audit`: what collected lines and exported records prove. */
import { runAudit } from "@lentilspur/proof/audit";
import {
  findConfiguration,
  findRequest,
  locateOwner,
} from "@lentilspur/proof/audit_questions";
import {
  AUDIT_EXIT_CODES,
  computeExitCode,
  renderConfiguration,
  renderOwner,
  renderRefusal,
  renderReport,
  renderRequest,
} from "@lentilspur/proof/audit_text";
import {
  array,
  command,
  flag,
  multioption,
  number,
  option,
  positional,
  string,
  subcommands,
} from "cmd-ts";
import type { CommandContext } from "../command_context.ts";
import type { ExitCode } from "../exit_codes.ts";

const inputs = {
  files: multioption({
    long: "input",
    short: "i",
    type: array(string),
    description:
      "A file of JSON lines: decision lines, exported records, targets' histories; give it again for more files",
  }),
  json: flag({ long: "json", description: "Print JSON instead of text" }),
};

interface Inputs {
  readonly files: readonly string[];
  readonly json: boolean;
}

export function createAuditCommand(context: CommandContext) {
  return subcommands({
    name: "audit",
    description:
      "Show what collected decision lines and exported log records prove. Exit codes of audit report: 0 proven, 1 violated, 2 wrong usage or input that cannot be read, 3 something cannot be shown",
    cmds: {
      report: createReportCommand(context),
      owner: createOwnerQuestion(context),
      request: createRequestQuestion(context, "request"),
      refusal: createRequestQuestion(context, "refusal"),
      configuration: createConfigurationQuestion(context),
    },
  });
}

function createReportCommand(context: CommandContext) {
  return command({
    name: "report",
    description: "Judge every fact: proven, violated, or not to be shown",
    args: inputs,
    handler: (options): Promise<ExitCode> =>
      runQuestion(context, options, {
        ask: () => runAudit(options.files),
        render: renderReport,
        computeExit: ({ facts }) => computeExitCode(facts),
      }),
  });
}

function createOwnerQuestion(context: CommandContext) {
  return command({
    name: "owner",
    description: "Who owned a key at a moment, and by which record",
    args: {
      ...inputs,
      key: option({ long: "key", type: string }),
      template: option({ long: "template", type: string }),
      at: option({
        long: "at",
        type: string,
        description: "A log offset, or a time such as 2026-01-31T12:00:00Z",
      }),
    },
    handler: (options): Promise<ExitCode> =>
      runQuestion(context, options, {
        ask: () => locateOwner(options.files, options),
        render: renderOwner,
        computeExit: ({ holdings, missing }) =>
          holdings.length === 1 && missing.length === 0
            ? AUDIT_EXIT_CODES.proven
            : AUDIT_EXIT_CODES.cannotBeShown,
      }),
  });
}

function createRequestQuestion(
  context: CommandContext,
  name: "request" | "refusal",
) {
  return command({
    name,
    description: name === "request"
      ? "What became of a request, and whether it ran once"
      : "Why the caller of a request was refused",
    args: {
      requestId: positional({ type: string, displayName: "REQUEST-ID" }),
      ...inputs,
    },
    handler: (options): Promise<ExitCode> =>
      runQuestion(context, options, {
        ask: () => findRequest(options.files, options.requestId),
        render: name === "request" ? renderRequest : renderRefusal,
        computeExit: ({ found }) => {
          const verdicts = found.map(({ verdict }) => verdict);
          if (verdicts.includes("ran-more-than-once")) {
            return AUDIT_EXIT_CODES.violated;
          }
          return found.length > 0 && !verdicts.includes("may-have-run")
            ? AUDIT_EXIT_CODES.proven
            : AUDIT_EXIT_CODES.cannotBeShown;
        },
      }),
  });
}

function createConfigurationQuestion(context: CommandContext) {
  return command({
    name: "configuration",
    description: "Who published a version, and where and when it was in force",
    args: {
      version: positional({ type: number, displayName: "VERSION" }),
      ...inputs,
    },
    handler: (options): Promise<ExitCode> =>
      runQuestion(context, options, {
        ask: () => findConfiguration(options.files, options.version),
        render: renderConfiguration,
        computeExit: ({ published, notShown, missing }) =>
          published !== null && notShown.length + missing.length === 0
            ? AUDIT_EXIT_CODES.proven
            : AUDIT_EXIT_CODES.cannotBeShown,
      }),
  });
}

interface Question<T> {
  readonly ask: () => Promise<T>;
  readonly render: (answer: T) => string;
  readonly computeExit: (answer: T) => ExitCode;
}

async function runQuestion<T>(
  context: CommandContext,
  { files, json }: Inputs,
  question: Question<T>,
): Promise<ExitCode> {
  if (files.length === 0) {
    context.printError("No file was given, name each with --input");
    return AUDIT_EXIT_CODES.badInput;
  }
  try {
    const answer = await question.ask();
    context.print(
      json ? JSON.stringify(answer, null, 2) : question.render(answer),
    );
    return question.computeExit(answer);
  } catch (error) {
    context.printError(error instanceof Error ? error.message : String(error));
    return AUDIT_EXIT_CODES.badInput;
  }
}
