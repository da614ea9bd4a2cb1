/** What an operator reads about the outcome of a publication. */
import { formatDeclarationFault } from "@lentilspur/declarations/declaration_fault";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";
import { describeChangedDocuments, type Publication } from "./publication.ts";
import type { PublishOutcome } from "./publisher.ts";

/** What is known beside the outcome. */
export interface PublishCircumstances {
  readonly publications: readonly Publication[];
  readonly expectedVersion: number;
}

/** What became of it, then what to do next. */
export function describeOutcome(
  outcome: PublishOutcome,
  circumstances: PublishCircumstances,
): readonly string[] {
  switch (outcome.kind) {
    case "accepted":
      return [
        `Version ${outcome.version} is accepted at offset ${outcome.offset} (${outcome.envelopeId})`,
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
    case "template-in-use": {
      const templates = outcome.templates.join(", ");
      return [
        `Nothing was published: targets still serve ${templates}; drain them before the template is removed`,
      ];
    }
    case "content-differs":
      return [
        `Nothing was sent: the declarations, operator or version differ from those of ${outcome.envelopeId}; restore them, or leave --resume out to publish anew`,
      ];
    case "no-longer-told":
      return [
        `The log no longer holds the records that would tell what became of ${outcome.envelopeId}; compare with lentilspur diff`,
      ];
    case "rejected":
      return [
        `Nothing was published: it was rejected as "${outcome.reason}", since the state moved on meanwhile; run lentilspur diff and try again`,
      ];
    case "not-appended":
      return [
        `Nothing was published: the log did not take it (${outcome.message}); try again later`,
      ];
    case "unknown":
      return [
        `UNKNOWN whether it was accepted: ${outcome.message}`,
        `Find out and finish it by the same command with --resume ${outcome.envelopeId}; that cannot publish twice`,
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
    case "template-in-use":
    case "content-differs":
    case "rejected":
      return EXIT_CODES.refused;
    case "not-appended":
      return EXIT_CODES.unavailable;
    case "no-longer-told":
    case "unknown":
      return EXIT_CODES.unknown;
  }
}

function describeSuperseded(
  version: number,
  { publications, expectedVersion }: PublishCircumstances,
): readonly string[] {
  const head =
    `Nothing was published: it was written against version ${expectedVersion}, but version ${version} is in force`;
  if (version < expectedVersion) {
    return [
      head,
      "No such version has been published; take the version from lentilspur diff",
    ];
  }
  const later = publications
    .filter((publication) => publication.version > expectedVersion)
    .map(describeLater);
  return [
    head,
    ...later,
    "Take their changes into your files (lentilspur show prints them), look at lentilspur diff, and publish against the new version",
  ];
}

function describeLater(publication: Publication): string {
  const documents = describeChangedDocuments(publication.changes);
  return `  version ${publication.version} by ${publication.operator}: ${documents}`;
}
