/** Reads the log lines that were collected from instances. */
import { createHash } from "node:crypto";
import { readFile } from "node:fs/promises";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import { type ParsedLines, parseLines } from "@lentilspur/proof/log_line";
import { restPositionals, string } from "cmd-ts";
import type { CommandContext } from "./command_context.ts";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";

export interface LogFile {
  readonly name: string;
  /** SHA-256 of the file, in hex: says which evidence was looked at. */
  readonly digest: string;
}

export interface CollectedLogs extends ParsedLines {
  readonly files: readonly LogFile[];
}

/** The files that a command works on. */
export const logFilesArgument = restPositionals({
  type: string,
  displayName: "FILE",
  description: "Standard output of instances, as it was collected",
});

/** Reads the files and lets `act` work on their lines. */
export async function runWithLogs(
  context: CommandContext,
  names: readonly string[],
  act: (lines: CollectedLogs) => ExitCode,
): Promise<ExitCode> {
  if (names.length === 0) {
    context.printError("Name the files of collected lines");
    return EXIT_CODES.usage;
  }
  const read = await readLogFiles(names);
  if (!read.ok) {
    context.printError(read.val);
    return EXIT_CODES.refused;
  }
  return act(read.val);
}

/** The failure is a sentence. */
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
