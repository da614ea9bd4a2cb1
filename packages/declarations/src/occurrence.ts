/** Where a value stands that must be the only one of its kind. */
import type { DeclarationFault } from "./declaration_fault.ts";
import type { SourceDocument, ValuePath } from "./document_source.ts";

export interface Occurrence {
  readonly value: string;
  readonly source: SourceDocument;
  readonly path: ValuePath;
}

/** A fault for each occurrence of a value but the first. */
export function listDuplicateFaults(
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

/** Such as `templates/ledger.yaml:12`. */
export function formatLocation({ source, path }: Occurrence): string {
  return `${source.file}:${source.locate(path).line}`;
}
