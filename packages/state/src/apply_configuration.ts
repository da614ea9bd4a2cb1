/** Applies published configuration and epochs. */
import type {
  ClientAccount,
  DocumentChange,
  Template,
} from "@lentilspur/declarations/template";
import type { Entry, RejectionReason } from "./entries.ts";
import type { EntryContext, Tables } from "./tables.ts";

type EntryOf<K extends Entry["kind"]> = Extract<Entry, { kind: K }>;

/** Undefined where the entry is accepted, as for all `apply…` functions. */
export function applyConfigurationPublished(
  tables: Tables,
  entry: EntryOf<"configuration-published">,
  context: EntryContext,
): RejectionReason | undefined {
  if (entry.expectedVersion !== tables.configurationVersion) {
    return "stale-precondition";
  }
  if (!hasGoodReferences(tables, entry.changes)) {
    return "bad-reference";
  }
  for (const change of entry.changes) {
    applyChange(tables, change, context);
  }
  tables.configurationVersion += 1;
  return undefined;
}

export function applyEpochAdvanced(
  tables: Tables,
  entry: EntryOf<"epoch-advanced">,
  context: EntryContext,
): RejectionReason | undefined {
  if (!tables.isMember(context.author)) {
    return "not-a-member";
  }
  if (entry.expectedEpoch !== tables.epoch) {
    return "stale-precondition";
  }
  tables.epoch += 1;
  return undefined;
}

/**
 * The command line checks everything before it publishes. The fold checks
 * again what later entries lean on, since two publishers can each be right
 * alone: a template removed by one may be named by the other.
 */
function hasGoodReferences(
  tables: Tables,
  changes: readonly DocumentChange[],
): boolean {
  // Each change is checked against what is in force, so a document that is
  // named twice would be checked against the wrong thing: a new template with
  // two shard counts would declare one and have units for the other.
  const names = new Set(changes.map(({ kind, name }) => `${kind}:${name}`));
  if (names.size !== changes.length) {
    return false;
  }
  const templates = new Map<string, Template>(tables.templates);
  const accounts = new Map<string, ClientAccount>(tables.clientAccounts);
  for (const change of changes) {
    if (change.content !== null && change.content.name !== change.name) {
      return false;
    }
    switch (change.kind) {
      case "template":
        if (!isTemplateChangeAllowed(tables, change.name, change.content)) {
          return false;
        }
        setOrRemove(templates, change.name, change.content);
        break;
      case "clientAccount":
        setOrRemove(accounts, change.name, change.content);
        break;
    }
  }
  return [...accounts.values()].every((account) =>
    account.templates.every((each) => templates.has(each.template))
  );
}

function isTemplateChangeAllowed(
  tables: Tables,
  name: string,
  content: Template | null,
): boolean {
  if (content === null) {
    return tables.listTargetsOfTemplate(name).length === 0;
  }
  // Another shard count would send a key to another unit while its old unit
  // still has an owner: two owners of one key.
  const inForce = tables.templates.get(name);
  return inForce === undefined || inForce.shardCount === content.shardCount;
}

function applyChange(
  tables: Tables,
  change: DocumentChange,
  context: EntryContext,
): void {
  switch (change.kind) {
    case "template":
      applyTemplateChange(tables, change.name, change.content, context);
      return;
    case "clientAccount":
      setOrRemove(tables.clientAccounts, change.name, change.content);
      return;
  }
}

function applyTemplateChange(
  tables: Tables,
  name: string,
  content: Template | null,
  context: EntryContext,
): void {
  if (content === null) {
    tables.units.removeTemplate(name);
  } else if (!tables.templates.has(name)) {
    tables.units.addTemplate(name, content.shardCount, context.position);
  }
  setOrRemove(tables.templates, name, content);
}

function setOrRemove<T>(
  map: Map<string, T>,
  name: string,
  content: T | null,
): void {
  if (content === null) {
    map.delete(name);
  } else {
    map.set(name, content);
  }
}
