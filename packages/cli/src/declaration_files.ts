/** Reads the declarations in a directory and its subdirectories. */
import { readdir, readFile } from "node:fs/promises";
import { join } from "node:path";
import { formatDeclarationFault } from "@lentilspur/declarations/declaration_fault";
import type { DeclarationFile } from "@lentilspur/declarations/document_source";
import type { Configuration } from "@lentilspur/declarations/template";
import { validateDeclarations } from "@lentilspur/declarations/validate";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";

import type { CommandContext } from "./command_context.ts";

const EXTENSION_PATTERN = /\.ya?ml$/;

/**
 * Reads every `.yaml` and `.yml` file, or returns the reason for the failure as
 * a sentence. One unreadable file fails the whole directory, because documents
 * that are missing from it count as removed.
 */
export async function readDeclarationFiles(
  directory: string,
): Promise<Result<readonly DeclarationFile[], string>> {
  try {
    const names = await readdir(directory, { recursive: true });
    const declarationNames = names.filter((name) =>
      EXTENSION_PATTERN.test(name)
    ).sort();
    if (declarationNames.length === 0) {
      return Err(`No .yaml or .yml file found in ${JSON.stringify(directory)}`);
    }
    const files = await Promise.all(
      declarationNames.map((name) => readDeclarationFile(directory, name)),
    );
    return Ok(files);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return Err(`Cannot read ${JSON.stringify(directory)}: ${reason}`);
  }
}

async function readDeclarationFile(
  directory: string,
  name: string,
): Promise<DeclarationFile> {
  const path = join(directory, name);
  return { name: path, text: await readFile(path, "utf8") };
}

/** Prints all faults and returns undefined if the declarations are invalid. */
export async function loadConfiguration(
  context: CommandContext,
  directory: string,
  published?: Configuration,
): Promise<Configuration | undefined> {
  const files = await readDeclarationFiles(directory);
  if (!files.ok) {
    context.printError(files.val);
    return undefined;
  }
  const result = validateDeclarations(files.val, published);
  if (result.ok) {
    return result.val;
  }
  result.val.forEach((fault) =>
    context.printError(formatDeclarationFault(fault))
  );
  const count = result.val.length;
  context.printError(
    `${count} ${count === 1 ? "fault" : "faults"}; nothing can be published`,
  );
  return undefined;
}
