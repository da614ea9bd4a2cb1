/** Computes and applies the differences between two configurations. */
import { isDeepStrictEqual } from "node:util";
import { compareText } from "./declaration_fault.ts";
import type { Configuration, DocumentChange } from "./template.ts";

interface NamedDocument {
  readonly name: string;
}

/** Returns the changes that turn `before` into `after`. */
export function diffConfigurations(
  before: Configuration,
  after: Configuration,
): readonly DocumentChange[] {
  return [
    ...listChangedDocuments(before.templates, after.templates)
      .map(({ name, content }) => ({
        kind: "template" as const,
        name,
        content,
      })),
    ...listChangedDocuments(before.clientAccounts, after.clientAccounts)
      .map(({ name, content }) => ({
        kind: "clientAccount" as const,
        name,
        content,
      })),
  ];
}

/** Applies `changes` to `before`; the result is sorted by document name. */
export function applyChanges(
  before: Configuration,
  changes: readonly DocumentChange[],
): Configuration {
  const templates = toMap(before.templates);
  const clientAccounts = toMap(before.clientAccounts);
  for (const change of changes) {
    switch (change.kind) {
      case "template":
        setContent(templates, change.name, change.content);
        break;
      case "clientAccount":
        setContent(clientAccounts, change.name, change.content);
        break;
    }
  }
  return {
    templates: toSorted(templates),
    clientAccounts: toSorted(clientAccounts),
  };
}

function listChangedDocuments<Content extends NamedDocument>(
  before: readonly Content[],
  after: readonly Content[],
): readonly { readonly name: string; readonly content: Content | null }[] {
  const earlier = toMap(before);
  const later = toMap(after);
  const names = [...new Set([...earlier.keys(), ...later.keys()])];
  return names
    .filter((name) => !isDeepStrictEqual(earlier.get(name), later.get(name)))
    .sort(compareText)
    .map((name) => ({ name, content: later.get(name) ?? null }));
}

function toMap<Content extends NamedDocument>(
  documents: readonly Content[],
): Map<string, Content> {
  return new Map(documents.map((document) => [document.name, document]));
}

function setContent<Content>(
  documents: Map<string, Content>,
  name: string,
  content: Content | null,
): void {
  if (content === null) {
    documents.delete(name);
  } else {
    documents.set(name, content);
  }
}

function toSorted<Content extends NamedDocument>(
  documents: ReadonlyMap<string, Content>,
): readonly Content[] {
  return [...documents.values()].sort((a, b) => compareText(a.name, b.name));
}
