/**
 * What no single document shows: names used twice, routes that meet,
 * references to nothing, credentials shared by two client accounts.
 */
import type { ClientAccountDocument } from "./client_account_schema.ts";
import type { DeclarationFault } from "./declaration_fault.ts";
import type { Declared, DeclaredDocuments } from "./declared_documents.ts";
import type { SourceDocument, ValuePath } from "./document_source.ts";
import { matchRoutePaths } from "./route_path.ts";
import type { Configuration } from "./template.ts";
import type { TemplateDocument } from "./template_schema.ts";

/** A value that must be the only one of its kind. */
interface Occurrence {
  readonly value: string;
  readonly source: SourceDocument;
  readonly path: ValuePath;
}

/** Everything read, valid or not, and what is in force if that is known. */
export interface ReferenceContext {
  readonly sources: readonly SourceDocument[];
  readonly documents: DeclaredDocuments;
  readonly inForce: Configuration | undefined;
}

export function checkReferences(
  context: ReferenceContext,
): readonly DeclarationFault[] {
  const { templates, clientAccounts } = context.documents;
  return [
    ...checkNames(context.sources),
    ...checkRoutes(templates),
    ...templates.flatMap(checkDurations),
    ...clientAccounts.flatMap((account) =>
      checkAccountTemplates(account, context.sources)
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
  return listRepeated(occurrences, (earlier) => ({
    found: `a second ${earlier.value}`,
    allowed: `one document for each name; the first is at ${
      formatPlace(earlier)
    }`,
  }));
}

interface RouteOccurrence extends Occurrence {
  readonly method: string;
  readonly template: string;
}

function checkRoutes(
  templates: readonly Declared<TemplateDocument>[],
): readonly DeclarationFault[] {
  const routes = templates.flatMap(listRoutes);
  return routes.flatMap((route, index) => {
    const earlier = routes.slice(0, index).find((other) =>
      other.method === route.method && matchRoutePaths(other.value, route.value)
    );
    return earlier === undefined ? [] : [createRouteFault(route, earlier)];
  });
}

function listRoutes(
  { source, content }: Declared<TemplateDocument>,
): readonly RouteOccurrence[] {
  return content.routes.map((route, index) => ({
    value: route.path,
    method: route.method,
    template: content.name,
    source,
    path: ["routes", index, "path"],
  }));
}

function createRouteFault(
  route: RouteOccurrence,
  earlier: RouteOccurrence,
): DeclarationFault {
  return route.source.createFault(
    route.path,
    `${route.method} ${route.value}, which can match the same request as ${earlier.method} ${earlier.value} of template ${
      JSON.stringify(earlier.template)
    } at ${formatPlace(earlier)}`,
    "routes of which at most one matches any request",
  );
}

function checkDurations(
  { source, content }: Declared<TemplateDocument>,
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

function checkAccountTemplates(
  { source, content }: Declared<ClientAccountDocument>,
  sources: readonly SourceDocument[],
): readonly DeclarationFault[] {
  const known = sources
    .filter((other) => other.getText("kind") === "Template")
    .flatMap((other) => other.getText("name") ?? []);
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
  const repeated = listRepeated(occurrences, (earlier) => ({
    found: `${JSON.stringify(earlier.value)} a second time`,
    allowed: "each template once for each client account",
  }));
  return [...unknown, ...repeated];
}

/** A credential names one client account, or its caller could not be told. */
function checkCredentials(
  accounts: readonly Declared<ClientAccountDocument>[],
): readonly DeclarationFault[] {
  const occurrences = accounts.flatMap(({ source, content }) =>
    content.credentialDigests.map((value, index) => ({
      value,
      source,
      path: ["credentialDigests", index],
    }))
  );
  return listRepeated(occurrences, (earlier) => ({
    found: `the digest that also stands at ${formatPlace(earlier)}`,
    allowed: "a credential of its own for each client account",
  }));
}

/**
 * Keys are spread over the shards by their hash, so another count would give
 * nearly every key another owner at once, while the old one still holds it.
 */
function checkShardCount(
  { source, content }: Declared<TemplateDocument>,
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

function listRepeated(
  occurrences: readonly Occurrence[],
  explain: (
    earlier: Occurrence,
  ) => { readonly found: string; readonly allowed: string },
): readonly DeclarationFault[] {
  const seen = new Map<string, Occurrence>();
  const faults: DeclarationFault[] = [];
  for (const occurrence of occurrences) {
    const earlier = seen.get(occurrence.value);
    if (earlier === undefined) {
      seen.set(occurrence.value, occurrence);
      continue;
    }
    const { found, allowed } = explain(earlier);
    faults.push(occurrence.source.createFault(occurrence.path, found, allowed));
  }
  return faults;
}

function formatPlace({ source, path }: Occurrence): string {
  return `${source.file}:${source.locate(path).line}`;
}
