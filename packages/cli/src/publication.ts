/** Publications as the log tells them: who, what, against which version. */
import { describeChanges } from "@lentilspur/declarations/change_text";
import type {
  Configuration,
  DocumentChange,
} from "@lentilspur/declarations/template";
import type { Entry } from "@lentilspur/state/entries";
import type { FoundEnvelope } from "./log_session.ts";

/** One accepted publication. */
export interface Publication {
  readonly version: number;
  readonly offset: number;
  readonly envelopeId: string;
  readonly operator: string;
  readonly changes: readonly DocumentChange[];
  /** What was in force before it. */
  readonly before: Configuration;
}

type ConfigurationPublished = Extract<
  Entry,
  { kind: "configuration-published" }
>;

/** The accepted publications of one envelope. */
export function listPublicationsOf(
  found: FoundEnvelope,
  before: Configuration,
): readonly Publication[] {
  return found.envelope.entries.flatMap((entry, index) => {
    const isAccepted = found.verdicts[index]?.kind === "accepted";
    return entry.kind === "configuration-published" && isAccepted
      ? [toPublication(found, entry, before)]
      : [];
  });
}

/** A line for who and when, then a line for each changed document and field. */
export function describePublication(
  publication: Publication,
): readonly string[] {
  const { version, operator, offset, envelopeId } = publication;
  return [
    `version ${version} by ${operator} at offset ${offset} (${envelopeId})`,
    ...describeChanges(publication.before, publication.changes)
      .map((line) => `  ${line}`),
  ];
}

/** One line without the fields, such as `template ledger, clientAccount nile`. */
export function describeChangedDocuments(
  changes: readonly DocumentChange[],
): string {
  return changes.map(({ kind, name }) => `${kind} ${name}`).join(", ");
}

function toPublication(
  found: FoundEnvelope,
  entry: ConfigurationPublished,
  before: Configuration,
): Publication {
  return {
    version: entry.expectedVersion + 1,
    offset: found.offset,
    envelopeId: found.envelope.id,
    operator: entry.operator,
    changes: entry.changes,
    before,
  };
}
