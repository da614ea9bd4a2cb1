/** Formats changes of a configuration for operators, field by field. */
import {
  renderClientAccount,
  type RenderedDocument,
  renderTemplate,
} from "./render.ts";
import type { Configuration, DocumentChange } from "./template.ts";

/** Returns one line for each changed document and each changed field. */
export function describeChanges(
  before: Configuration,
  changes: readonly DocumentChange[],
): readonly string[] {
  return changes.flatMap((change) => {
    const earlier = renderDocument(before, change);
    const later = renderChangedDocument(change);
    const title = `${change.kind} ${change.name}`;
    if (later === undefined) {
      return [`- ${title}`];
    }
    return earlier === undefined
      ? [`+ ${title}`, ...describeFields({}, later)]
      : [`~ ${title}`, ...describeFields(earlier, later)];
  });
}

function renderDocument(
  configuration: Configuration,
  change: DocumentChange,
): RenderedDocument | undefined {
  switch (change.kind) {
    case "template": {
      const found = configuration.templates
        .find(({ name }) => name === change.name);
      return found === undefined ? undefined : renderTemplate(found);
    }
    case "clientAccount": {
      const found = configuration.clientAccounts
        .find(({ name }) => name === change.name);
      return found === undefined ? undefined : renderClientAccount(found);
    }
  }
}

function renderChangedDocument(
  change: DocumentChange,
): RenderedDocument | undefined {
  switch (change.kind) {
    case "template":
      return change.content === null
        ? undefined
        : renderTemplate(change.content);
    case "clientAccount":
      return change.content === null
        ? undefined
        : renderClientAccount(change.content);
  }
}

function describeFields(
  before: RenderedDocument,
  after: RenderedDocument,
): readonly string[] {
  const earlier = listFields(before);
  const later = listFields(after);
  const paths = [...new Set([...earlier.keys(), ...later.keys()])];
  return paths
    .filter((path) => earlier.get(path) !== later.get(path))
    .map((path) => describeField(path, earlier.get(path), later.get(path)));
}

function describeField(
  path: string,
  before: string | undefined,
  after: string | undefined,
): string {
  if (before === undefined) {
    return `    ${path}: ${after}`;
  }
  return `    ${path}: ${before} -> ${after ?? "(removed)"}`;
}

/** Returns leaf values by path. List members are identified by content. */
function listFields(document: RenderedDocument): ReadonlyMap<string, string> {
  const fields = new Map<string, string>();
  for (const [name, value] of Object.entries(document)) {
    if (name !== "kind" && name !== "name") {
      addFields(fields, name, value);
    }
  }
  return fields;
}

function addFields(
  fields: Map<string, string>,
  path: string,
  value: unknown,
): void {
  if (Array.isArray(value)) {
    value.forEach((member) => addMember(fields, path, member));
  } else if (typeof value === "object" && value !== null) {
    for (const [name, child] of Object.entries(value)) {
      addFields(fields, `${path}.${name}`, child);
    }
  } else {
    fields.set(path, String(value));
  }
}

/**
 * Adds a list member under a path with its identifying values. With an index
 * in the path, inserting a member would mark all later members as changed.
 */
function addMember(
  fields: Map<string, string>,
  path: string,
  member: unknown,
): void {
  if (isRouteLike(member)) {
    const { method, path: route, idempotent } = member;
    fields.set(
      `${path}[${method} ${route}]`,
      idempotent ? "idempotent" : "non-idempotent",
    );
  } else if (isParametersLike(member)) {
    const { template, ...rest } = member;
    addFields(fields, `${path}[${template}]`, rest);
  } else {
    fields.set(`${path}[${String(member)}]`, "listed");
  }
}

function isRouteLike(
  value: unknown,
): value is {
  readonly method: string;
  readonly path: string;
  readonly idempotent: boolean;
} {
  return typeof value === "object" && value !== null && "method" in value;
}

function isParametersLike(
  value: unknown,
): value is { readonly template: string } {
  return typeof value === "object" && value !== null && "template" in value;
}
