/** Detects duplicates of values that must be unique. */
import type { DeclarationFault } from "./declaration_fault.ts";
import type { SourceDocument, ValuePath } from "./document_source.ts";

/** A value and its location. */
export interface Occurrence {
  readonly value: string;
  readonly source: SourceDocument;
  readonly path: ValuePath;
}

/** Returns a fault for each occurrence of a value after its first one. */
export function listDuplicateFaults(
  occurrences: readonly Occurrence[],
  describeDuplicate: (
    earlier: Occurrence,
  ) => { readonly found: string; readonly allowed: string },
): readonly DeclarationFault[] {
  const seen = new Map<string, Occurrence>();
  const faults: DeclarationFault[] = [];
  for (const occurrence of occurrences) {
    const first = seen.get(occurrence.value);
    if (first === undefined) {
      seen.set(occurrence.value, occurrence);
      continue;
    }
    const { found, allowed } = describeDuplicate(first);
    faults.push(occurrence.source.createFault(occurrence.path, found, allowed));
  }
  return faults;
}

/** Formats file and line, such as `templates/ledger.yaml:12`. */
export function formatLocation({ source, path }: Occurrence): string {
  return `${source.file}:${source.locate(path).line}`;
}
