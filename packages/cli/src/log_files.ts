/** Reads files of log lines that were collected from instances. */
import { createHash } from "node:crypto";
import { readFile } from "node:fs/promises";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import { type ParsedLines, parseLines } from "@lentilspur/proof/log_line";
import { restPositionals, string } from "cmd-ts";
import type { CommandContext } from "./command_context.ts";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";

export interface LogFile {
  readonly name: string;
  /**
   * SHA-256 of the file in hex, which identifies the evidence that was checked.
   */
  readonly digest: string;
}

export interface CollectedLogs extends ParsedLines {
  readonly files: readonly LogFile[];
}

export const logFilesArgument = restPositionals({
  type: string,
  displayName: "FILE",
  description: "Collected standard output of instances",
});

/**
 * Reads the files, calls `action` with their lines and returns its exit code.
 */
export async function runWithLogs(
  context: CommandContext,
  names: readonly string[],
  action: (lines: CollectedLogs) => ExitCode,
): Promise<ExitCode> {
  if (names.length === 0) {
    context.printError(
      "No file given; pass the collected standard output of instances",
    );
    return EXIT_CODES.usage;
  }
  const read = await readLogFiles(names);
  if (!read.ok) {
    context.printError(read.val);
    return EXIT_CODES.refused;
  }
  return action(read.val);
}

/** On failure, returns the reason as a sentence. */
async function readLogFiles(
  names: readonly string[],
): Promise<Result<CollectedLogs, string>> {
  const files: LogFile[] = [];
  const texts: string[] = [];
  for (const name of names) {
    try {
      const text = await readFile(name, "utf8");
      const digest = createHash("sha256").update(text).digest("hex");
      files.push({ name, digest });
      texts.push(text);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      return Err(`Cannot read ${JSON.stringify(name)}: ${reason}`);
    }
  }
  return Ok({ files, ...parseLines(texts) });
}
