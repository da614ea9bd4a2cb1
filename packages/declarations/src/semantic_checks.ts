/**
 * Semantic checks, which a schema of a single document cannot express:
 * duplicate names, overlapping routes, inconsistent durations, references to
 * undeclared templates, credentials shared by two client accounts, and changes
 * of a published shard count.
 */
import type { ClientAccountDocument } from "./client_account_schema.ts";
import type { DeclarationFault } from "./declaration_fault.ts";
import type { SchemaCheckResult, ValidDocument } from "./schema_checks.ts";
import type { SourceDocument } from "./document_source.ts";
import { formatLocation, listDuplicateFaults } from "./occurrence.ts";
import { checkRouteConflicts } from "./route_conflicts.ts";
import type { Configuration } from "./template.ts";
import type { TemplateDocument } from "./template_schema.ts";

/** All documents, valid or not, and the published configuration if known. */
export interface SemanticCheckInput {
  readonly sources: readonly SourceDocument[];
  readonly documents: SchemaCheckResult;
  readonly published: Configuration | undefined;
}

export function checkSemantics(
  input: SemanticCheckInput,
): readonly DeclarationFault[] {
  const { templates, clientAccounts } = input.documents;
  const templateNames = listTemplateNames(input.sources);
  return [
    ...checkUniqueNames(input.sources),
    ...checkRouteConflicts(templates),
    ...templates.flatMap(checkTemplateValues),
    ...clientAccounts.flatMap((account) =>
      checkTemplateReferences(account, templateNames)
    ),
    ...checkUniqueCredentials(clientAccounts),
    ...templates.flatMap((template) =>
      checkShardCount(template, input.published)
    ),
  ];
}

/**
 * Checks that names are unique. Includes documents with other faults, so that
 * duplicates are reported in the same run as those faults.
 */
function checkUniqueNames(
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
    allowed: `one document per name; the first is at ${
      formatLocation(earlier)
    }`,
  }));
}

function checkTemplateValues(
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
      "a duration up to deadlines.max, because no caller waits longer",
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

/**
 * Includes templates with faults, so that a fault in a template is not reported
 * again for each reference to the template.
 */
function listTemplateNames(
  sources: readonly SourceDocument[],
): readonly string[] {
  return sources
    .filter((source) => source.getText("kind") === "Template")
    .flatMap((source) => source.getText("name") ?? []);
}

function checkTemplateReferences(
  { source, content }: ValidDocument<ClientAccountDocument>,
  templateNames: readonly string[],
): readonly DeclarationFault[] {
  const occurrences = content.templates.map(({ template }, index) => ({
    value: template,
    source,
    path: ["templates", index, "template"],
  }));
  const unknown = occurrences
    .filter(({ value }) => !templateNames.includes(value))
    .map(({ value, path }) =>
      source.createFault(
        path,
        `${JSON.stringify(value)}, which no document declares`,
        templateNames.length === 0
          ? "the name of a declared template, but no template is declared"
          : `the name of a declared template: ${templateNames.join(", ")}`,
      )
    );
  const repeated = listDuplicateFaults(occurrences, (earlier) => ({
    found: `${JSON.stringify(earlier.value)} a second time`,
    allowed: "each template at most once per client account",
  }));
  return [...unknown, ...repeated];
}

/** A shared credential would not identify the client account of a request. */
function checkUniqueCredentials(
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
    found: `the same digest as at ${formatLocation(earlier)}`,
    allowed: "a different credential for each client account",
  }));
}

/**
 * Checks that the shard count of a published template has not changed. If each
 * shard had an owner, another count would change the owner of nearly every key
 * at once, while the previous owners still hold the keys. The router does not
 * use the shard count (see `Template.shardCount`), but it stays immutable.
 */
function checkShardCount(
  { source, content }: ValidDocument<TemplateDocument>,
  published: Configuration | undefined,
): readonly DeclarationFault[] {
  const current = published?.templates
    .find((template) => template.name === content.name);
  if (current === undefined || current.shardCount === content.shardCount) {
    return [];
  }
  return [source.createFault(
    ["shardCount"],
    `${content.shardCount}`,
    `${current.shardCount}, which is in force and cannot change for an existing template; declare a new template under another name instead`,
  )];
}
