/**
 * The `lentilspur` command; each module of `commands/` implements a subcommand.
 */
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

/** Add a new command as a module of `commands/` and a line here. */
function createCommands(context: CommandContext) {
  return subcommands({
    name: "lentilspur",
    description:
      "Routes requests to servers that own their keys exclusively. Operators check, diff and publish declarations; lentilspur serve runs an instance",
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

/** What cmd-ts returns for a subcommand, which may itself have a subcommand. */
interface SubcommandResult {
  readonly value: Promise<ExitCode> | ExitCode | SubcommandResult;
}

async function findExitCode({ value }: SubcommandResult): Promise<ExitCode> {
  const inner = await value;
  return typeof inner === "number" ? inner : await findExitCode(inner);
}

/**
 * Runs a command line, without the program's name, and returns the exit code.
 */
export async function runCommandLine(
  args: readonly string[],
  context: CommandContext,
): Promise<ExitCode> {
  const result = await runSafely(createCommands(context), [...args]);
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

/** Time for the last lines of output to be written before the process exits. */
const EXIT_GRACE_MS = 2_000;

/** Entry point of the program; `bin/lentilspur.js` calls it. */
export async function runMain(): Promise<void> {
  const args = process.argv.slice(2);
  const code = await runCommandLine(args, createSystemContext());
  process.exitCode = code;
  // An unresponsive connection may keep the process running for minutes.
  setTimeout(() => process.exit(code), EXIT_GRACE_MS).unref();
}
