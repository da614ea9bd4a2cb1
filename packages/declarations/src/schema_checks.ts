/** Checks each document against the schema of its kind. */
import type { z } from "zod";
import {
  type ClientAccountDocument,
  clientAccountSchema,
} from "./client_account_schema.ts";
import { type DeclarationFault, describeValue } from "./declaration_fault.ts";
import { formatPath, type SourceDocument } from "./document_source.ts";
import { type TemplateDocument, templateSchema } from "./template_schema.ts";

/** A document that matches its schema, with its source. */
export interface ValidDocument<Content> {
  readonly source: SourceDocument;
  readonly content: Content;
}

/** The valid documents by kind, and the faults of the others. */
export interface SchemaCheckResult {
  readonly templates: readonly ValidDocument<TemplateDocument>[];
  readonly clientAccounts: readonly ValidDocument<ClientAccountDocument>[];
  readonly faults: readonly DeclarationFault[];
}

export function checkSchemas(
  sources: readonly SourceDocument[],
): SchemaCheckResult {
  const templates: ValidDocument<TemplateDocument>[] = [];
  const clientAccounts: ValidDocument<ClientAccountDocument>[] = [];
  const faults: DeclarationFault[] = [];
  for (const source of sources) {
    switch (source.getText("kind")) {
      case "Template":
        checkDocument(source, templateSchema, { accepted: templates, faults });
        break;
      case "ClientAccount":
        checkDocument(source, clientAccountSchema, {
          accepted: clientAccounts,
          faults,
        });
        break;
      case undefined:
      default:
        faults.push(createKindFault(source));
    }
  }
  return { templates, clientAccounts, faults };
}

interface DocumentSink<Content> {
  readonly accepted: ValidDocument<Content>[];
  readonly faults: DeclarationFault[];
}

function checkDocument<Content>(
  source: SourceDocument,
  schema: z.ZodType<Content>,
  sink: DocumentSink<Content>,
): void {
  const parsed = schema.safeParse(source.value);
  if (parsed.success) {
    sink.accepted.push({ source, content: parsed.data });
    return;
  }
  for (const issue of parsed.error.issues) {
    sink.faults.push(...toFaults(source, issue));
  }
}

function createKindFault(source: SourceDocument): DeclarationFault {
  const kind = getValueAt(source.value, ["kind"]);
  return source.createFault(
    ["kind"],
    kind === undefined ? "no kind" : describeValue(kind),
    "Template or ClientAccount",
  );
}

function toFaults(
  source: SourceDocument,
  issue: z.core.$ZodIssue,
): readonly DeclarationFault[] {
  if (issue.code !== "unrecognized_keys") {
    const value = getValueAt(source.value, issue.path);
    const found = describeFound(issue.path, value);
    return [source.createFault(issue.path, found, issue.message)];
  }
  return issue.keys.map((key) => ({
    file: source.file,
    ...source.locateKey(issue.path, key),
    path: formatPath([...issue.path, key]),
    found: `an unknown field ${JSON.stringify(key)}`,
    allowed: issue.message,
  }));
}

/**
 * Describes the value at `path`. Does not quote a value in the position of a
 * digest: it may be a credential in clear text, and messages end up in
 * terminals and build logs.
 */
function describeFound(
  path: readonly PropertyKey[],
  value: unknown,
): string {
  return path[0] === "credentialDigests" && typeof value === "string"
    ? `a string of ${value.length} characters that is not a digest`
    : describeValue(value);
}

function getValueAt(
  value: unknown,
  path: readonly PropertyKey[],
): unknown {
  return path.reduce<unknown>(
    (current, step) =>
      typeof current === "object" && current !== null
        ? (current as Readonly<Record<PropertyKey, unknown>>)[step]
        : undefined,
    value,
  );
}
