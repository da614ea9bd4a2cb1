/** The `lentilspur` command: one subcommand a module of `commands/`. */
import process from "node:process";
import { runSafely, subcommands } from "cmd-ts";
import { type CommandContext, createSystemContext } from "./command_context.ts";
import { createAuditCommand } from "./commands/audit.ts";
import { createCheckCommand } from "./commands/check.ts";
import { createCredentialCommand } from "./commands/credential.ts";
import { createDiffCommand } from "./commands/diff.ts";
import {
  createEvacuateCommand,
  createRestoreCommand,
} from "./commands/evacuate.ts";
import { createExplainCommand } from "./commands/explain.ts";
import { createHistoryCommand } from "./commands/history.ts";
import { createLossesCommand } from "./commands/losses.ts";
import { createOwnerCommand } from "./commands/owner.ts";
import { createPublishCommand } from "./commands/publish.ts";
import { createServeCommand } from "./commands/serve.ts";
import { createShowCommand } from "./commands/show.ts";
import { createStatusCommand } from "./commands/status.ts";
import { EXIT_CODES, EXIT_CODES_HELP, type ExitCode } from "./exit_codes.ts";

/** A new command is one module of `commands/` and one line here. */
function createCommands(context: CommandContext) {
  return subcommands({
    name: "lentilspur",
    description:
      "Routes requests to servers that own their keys exclusively. Operators check, diff and publish declarations; serve runs an instance",
    cmds: {
      serve: createServeCommand(context),
      check: createCheckCommand(context),
      diff: createDiffCommand(context),
      publish: createPublishCommand(context),
      show: createShowCommand(context),
      status: createStatusCommand(context),
      evacuate: createEvacuateCommand(context),
      restore: createRestoreCommand(context),
      history: createHistoryCommand(context),
      owner: createOwnerCommand(context),
      credential: createCredentialCommand(context),
      audit: createAuditCommand(context),
      explain: createExplainCommand(context),
      losses: createLossesCommand(context),
    },
  });
}

/** What cmd-ts gives for a subcommand, which may hold a subcommand itself. */
interface SubcommandResult {
  readonly value: Promise<ExitCode> | ExitCode | SubcommandResult;
}

async function findExitCode({ value }: SubcommandResult): Promise<ExitCode> {
  const inner = await value;
  return typeof inner === "number" ? inner : await findExitCode(inner);
}

/** Runs one command line, without the program's name, to its exit code. */
export async function runCommandLine(
  words: readonly string[],
  context: CommandContext,
): Promise<ExitCode> {
  const result = await runSafely(createCommands(context), [...words]);
  if (result._tag === "ok") {
    return await findExitCode(result.value);
  }
  const { message, into, exitCode } = result.error.config;
  if (into === "stdout") {
    context.print(message);
    context.print(EXIT_CODES_HELP);
  } else {
    context.printError(message);
  }
  return exitCode === 0 ? EXIT_CODES.done : EXIT_CODES.usage;
}

/** For the last lines of output to leave the process. */
const EXIT_GRACE_MS = 2_000;

/** Entry of the program; `bin/lentilspur.js` calls it. */
export async function runMain(): Promise<void> {
  const words = process.argv.slice(2);
  const code = await runCommandLine(words, createSystemContext());
  process.exitCode = code;
  // A connection that went silent may hold the process open for minutes.
  setTimeout(() => process.exit(code), EXIT_GRACE_MS).unref();
}
