/**
 * What no single document shows: names used twice, routes that meet,
 * references to nothing, credentials shared by two client accounts.
 */
import type { ClientAccountDocument } from "./client_account_schema.ts";
import type { DeclarationFault } from "./declaration_fault.ts";
import type { SchemaCheckResult, ValidDocument } from "./schema_checks.ts";
import type { SourceDocument } from "./document_source.ts";
import { formatLocation, listDuplicateFaults } from "./occurrence.ts";
import { checkRouteConflicts } from "./route_conflicts.ts";
import type { Configuration } from "./template.ts";
import type { TemplateDocument } from "./template_schema.ts";

/** Everything read, valid or not, and what is in force if that is known. */
export interface SemanticCheckInput {
  readonly sources: readonly SourceDocument[];
  readonly documents: SchemaCheckResult;
  readonly inForce: Configuration | undefined;
}

export function checkSemantics(
  context: SemanticCheckInput,
): readonly DeclarationFault[] {
  const { templates, clientAccounts } = context.documents;
  const known = listTemplateNames(context.sources);
  return [
    ...checkNames(context.sources),
    ...checkRouteConflicts(templates),
    ...templates.flatMap(checkDurations),
    ...clientAccounts.flatMap((account) =>
      checkAccountTemplates(account, known)
    ),
    ...checkCredentials(clientAccounts),
    ...templates.flatMap((template) =>
      checkShardCount(template, context.inForce)
    ),
  ];
}

/** Also documents with other faults count, so that none hides a second one. */
function checkNames(
  sources: readonly SourceDocument[],
): readonly DeclarationFault[] {
  const occurrences = sources.flatMap((source) => {
    const kind = source.getText("kind");
    const name = source.getText("name");
    return kind === undefined || name === undefined
      ? []
      : [{ value: `${kind} ${JSON.stringify(name)}`, source, path: ["name"] }];
  });
  return listDuplicateFaults(occurrences, (earlier) => ({
    found: `a second ${earlier.value}`,
    allowed: `one document for each name; the first is at ${
      formatLocation(earlier)
    }`,
  }));
}

function checkDurations(
  { source, content }: ValidDocument<TemplateDocument>,
): readonly DeclarationFault[] {
  const { deadlines, limits, placement } = content;
  const faults: DeclarationFault[] = [];
  if (deadlines.default > deadlines.max) {
    faults.push(source.createFault(
      ["deadlines", "default"],
      `${deadlines.default}ms, more than deadlines.max of ${deadlines.max}ms`,
      "a duration up to deadlines.max",
    ));
  }
  if (limits.maxQueueTime > deadlines.max) {
    faults.push(source.createFault(
      ["limits", "maxQueueTime"],
      `${limits.maxQueueTime}ms, more than deadlines.max of ${deadlines.max}ms`,
      "a duration up to deadlines.max, since nobody waits longer",
    ));
  }
  if (Object.values(placement).every((weight) => weight === 0)) {
    faults.push(source.createFault(
      ["placement"],
      "no weight above 0",
      "at least one of imbalance, churn and unservedTime above 0",
    ));
  }
  return faults;
}

/** Also of templates with faults, so that one fault does not make many. */
function listTemplateNames(
  sources: readonly SourceDocument[],
): readonly string[] {
  return sources
    .filter((source) => source.getText("kind") === "Template")
    .flatMap((source) => source.getText("name") ?? []);
}

function checkAccountTemplates(
  { source, content }: ValidDocument<ClientAccountDocument>,
  known: readonly string[],
): readonly DeclarationFault[] {
  const occurrences = content.templates.map(({ template }, index) => ({
    value: template,
    source,
    path: ["templates", index, "template"],
  }));
  const unknown = occurrences
    .filter(({ value }) => !known.includes(value))
    .map(({ value, path }) =>
      source.createFault(
        path,
        `${JSON.stringify(value)}, which no document declares`,
        known.length === 0
          ? "the name of a declared template, and none is declared"
          : `the name of a declared template: ${known.join(", ")}`,
      )
    );
  const repeated = listDuplicateFaults(occurrences, (earlier) => ({
    found: `${JSON.stringify(earlier.value)} a second time`,
    allowed: "each template once for each client account",
  }));
  return [...unknown, ...repeated];
}

/** A credential names one client account, or its caller could not be told. */
function checkCredentials(
  accounts: readonly ValidDocument<ClientAccountDocument>[],
): readonly DeclarationFault[] {
  const occurrences = accounts.flatMap(({ source, content }) =>
    content.credentialDigests.map((value, index) => ({
      value,
      source,
      path: ["credentialDigests", index],
    }))
  );
  return listDuplicateFaults(occurrences, (earlier) => ({
    found: `the digest that also stands at ${formatLocation(earlier)}`,
    allowed: "a credential of its own for each client account",
  }));
}

/**
 * Keys are spread over the shards by their hash, so another count would give
 * nearly every key another owner at once, while the old one still holds it.
 */
function checkShardCount(
  { source, content }: ValidDocument<TemplateDocument>,
  inForce: Configuration | undefined,
): readonly DeclarationFault[] {
  const current = inForce?.templates
    .find((template) => template.name === content.name);
  if (current === undefined || current.shardCount === content.shardCount) {
    return [];
  }
  return [source.createFault(
    ["shardCount"],
    `${content.shardCount}`,
    `${current.shardCount}, which is in force and fixed for the life of a template; declare a new template under another name instead`,
  )];
}
