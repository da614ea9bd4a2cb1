/** What an operator reads about the outcome of a publication. */
import { formatDeclarationFault } from "@lentilspur/declarations/declaration_fault";
import type { PublicationNote } from "@lentilspur/declarations/publication";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";
import { MAX_RECORD_BYTES, type PublishOutcome } from "./publisher.ts";

/** What is known beside the outcome. */
export interface PublishContext {
  readonly notes: readonly PublicationNote[];
  readonly expectedVersion: number;
}

/** What became of it, then what to do next. */
export function describeOutcome(
  outcome: PublishOutcome,
  circumstances: PublishContext,
): readonly string[] {
  switch (outcome.kind) {
    case "accepted":
      return [
        `Version ${outcome.version} is accepted (${outcome.publicationId})`,
      ];
    case "unchanged":
      return [
        `Version ${outcome.version}, which is in force, says the same already; nothing was published`,
      ];
    case "invalid":
      return [
        ...outcome.faults.map(formatDeclarationFault),
        "Nothing was published; correct the faults above",
      ];
    case "superseded":
      return describeSuperseded(outcome.version, circumstances);
    case "removal-not-allowed":
      return [
        `Nothing was published: the directory lacks ${outcome.documents}, which are in force; add --allow-removals if they are to go`,
      ];
    case "content-differs":
      return [
        `Nothing was sent: the declarations, operator or version differ from those of ${outcome.publicationId}; restore them, or leave --resume out to publish anew`,
      ];
    case "no-longer-told":
      return [
        `Too much has been published since to tell what became of ${outcome.publicationId}; compare with lentilspur diff`,
      ];
    case "too-large":
      return [
        `Nothing was published: the declarations come to ${outcome.bytes} bytes, and the store takes ${MAX_RECORD_BYTES}; declare fewer routes or client accounts`,
      ];
    case "not-appended":
      return [`Nothing was published: ${outcome.message}; try again later`];
    case "unknown":
      return [
        `UNKNOWN whether it was accepted: ${outcome.message}`,
        `Find out and finish it by the same command with --resume ${outcome.publicationId}; that cannot publish twice`,
      ];
  }
}

/** Of an outcome by itself; `accepted` may still lag on some instance. */
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

/** A line for who and when, then a line for each changed document and field. */
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
      "No such version has been published; take the version from lentilspur diff",
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
    "Take their changes into your files (lentilspur show prints them), look at lentilspur diff, and publish against the new version",
  ];
}

/** Lines of fields are indented; those of documents begin with their mark. */
function listDocuments(changes: readonly string[]): string {
  return changes.filter((line) => /^[+~-] /.test(line))
    .map((line) => line.slice(2)).join(", ");
}
