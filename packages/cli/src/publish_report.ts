/** Describes the outcome of a publication to the operator. */
import { formatDeclarationFault } from "@lentilspur/declarations/declaration_fault";
import type { PublicationNote } from "@lentilspur/declarations/publication";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";
import { MAX_RECORD_BYTES, type PublishOutcome } from "./publisher.ts";

/** What `describeOutcome` needs besides the outcome. */
export interface PublishContext {
  readonly notes: readonly PublicationNote[];
  readonly expectedVersion: number;
}

/** Describes the outcome, then what to do next. */
export function describeOutcome(
  outcome: PublishOutcome,
  context: PublishContext,
): readonly string[] {
  switch (outcome.kind) {
    case "accepted":
      return [
        `Version ${outcome.version} is accepted (${outcome.publicationId})`,
      ];
    case "unchanged":
      return [
        `The declarations equal version ${outcome.version}, which is in force; nothing was published`,
      ];
    case "invalid":
      return [
        ...outcome.faults.map(formatDeclarationFault),
        "Nothing was published; correct the faults above",
      ];
    case "superseded":
      return describeSuperseded(outcome.version, context);
    case "removal-not-allowed":
      return [
        `Nothing was published: the directory lacks ${outcome.documents}, which are in force; add --allow-removals to remove them`,
      ];
    case "content-differs":
      return [
        `Nothing was sent: the declarations, operator or version differ from those of ${outcome.publicationId}; restore them, or omit --resume to start a new publication`,
      ];
    case "no-longer-told":
      return [
        `Too much has been published since to find out whether ${outcome.publicationId} was accepted; compare with lentilspur diff`,
      ];
    case "too-large":
      return [
        `Nothing was published: the declarations take ${outcome.bytes} bytes, and the store accepts at most ${MAX_RECORD_BYTES}; declare fewer routes or client accounts`,
      ];
    case "not-appended":
      return [`Nothing was published: ${outcome.message}; try again later`];
    case "unknown":
      return [
        `UNKNOWN whether it was accepted: ${outcome.message}`,
        `Find out and finish the publication: run the same command with --resume ${outcome.publicationId}; that cannot publish twice`,
      ];
  }
}

/**
 * Returns the exit code of the outcome; an accepted version may not yet be in
 * force on every instance.
 */
export function getExitCode(outcome: PublishOutcome): ExitCode {
  switch (outcome.kind) {
    case "accepted":
    case "unchanged":
      return EXIT_CODES.done;
    case "invalid":
    case "superseded":
    case "removal-not-allowed":
    case "content-differs":
    case "too-large":
      return EXIT_CODES.refused;
    case "not-appended":
      return EXIT_CODES.unavailable;
    case "no-longer-told":
    case "unknown":
      return EXIT_CODES.unknown;
  }
}

/**
 * Returns a line with the operator and time, then one for each changed document
 * and field.
 */
export function describeNote(note: PublicationNote): readonly string[] {
  return [
    `version ${note.version} by ${note.operator} on ${note.publishedAt} (${note.id})`,
    ...note.changes.map((line) => `  ${line}`),
  ];
}

function describeSuperseded(
  version: number,
  { notes, expectedVersion }: PublishContext,
): readonly string[] {
  const head =
    `Nothing was published: it was written against version ${expectedVersion}, but version ${version} is in force`;
  if (version < expectedVersion) {
    return [
      head,
      "The expected version has never been published; lentilspur diff prints the version in force",
    ];
  }
  const later = notes
    .filter((note) => note.version > expectedVersion)
    .map(({ version, operator, changes }) =>
      `  version ${version} by ${operator}: ${listDocuments(changes)}`
    );
  return [
    head,
    ...later,
    "Merge their changes into your files (lentilspur show prints them), check with lentilspur diff, and publish against the new version",
  ];
}

/**
 * Lists the changed documents: their lines begin with `+`, `~` or `-`, those of
 * fields are indented.
 */
function listDocuments(changes: readonly string[]): string {
  return changes.filter((line) => /^[+~-] /.test(line))
    .map((line) => line.slice(2)).join(", ");
}
