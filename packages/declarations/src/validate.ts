/**
 * Validates declaration files and returns either a configuration or all faults.
 * There is no partial result, because a configuration may be published only if
 * all files are valid.
 */
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import { toClientAccount } from "./client_account_schema.ts";
import {
  compareText,
  type DeclarationFault,
  sortDeclarationFaults,
} from "./declaration_fault.ts";
import { checkSchemas, type SchemaCheckResult } from "./schema_checks.ts";
import {
  type DeclarationFile,
  parseDeclarationFile,
} from "./document_source.ts";
import { checkSemantics } from "./semantic_checks.ts";
import type { Configuration } from "./template.ts";
import { toTemplate } from "./template_schema.ts";

/**
 * Validates `files` together. `published` is the configuration that they
 * replace; without it, changes to immutable fields are not detected.
 */
export function validateDeclarations(
  files: readonly DeclarationFile[],
  published?: Configuration,
): Result<Configuration, readonly DeclarationFault[]> {
  const parsed = files.map(parseDeclarationFile);
  const sources = parsed.flatMap(({ documents }) => documents);
  const documents = checkSchemas(sources);
  const faults = [
    ...parsed.flatMap((file) => file.faults),
    ...documents.faults,
    ...checkSemantics({ sources, documents, published }),
  ];
  return faults.length > 0
    ? Err(sortDeclarationFaults(faults))
    : Ok(toConfiguration(documents));
}

function toConfiguration(documents: SchemaCheckResult): Configuration {
  const templates = documents.templates
    .map(({ content }) => toTemplate(content));
  const clientAccounts = documents.clientAccounts
    .map(({ content }) => toClientAccount(content));
  return {
    templates: templates.sort(compareNames),
    clientAccounts: clientAccounts.sort(compareNames),
  };
}

function compareNames(
  a: { readonly name: string },
  b: { readonly name: string },
): number {
  return compareText(a.name, b.name);
}
