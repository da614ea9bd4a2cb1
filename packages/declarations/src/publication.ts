/**
 * What operators publish, as one record: the whole configuration in force and
 * who brought about the last versions. One record, since it is written on the
 * condition that nobody else has written since: a version and its history
 * cannot come apart.
 */
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { RoutingTable } from "@lentilspur/ports/routing_table";
import { z } from "zod";
import { buildRoutingTable } from "./published_routing.ts";
import type { Configuration } from "./template.ts";

/** One accepted version. */
export interface PublicationNote {
  readonly version: number;
  /** Unique; tells whether an append without an answer was done. */
  readonly id: string;
  readonly operator: string;
  /** By the operator's clock, for people. */
  readonly publishedAt: string;
  /** Changes in the declared form, a line each. */
  readonly changes: readonly string[];
}

export interface Publication {
  readonly version: number;
  readonly configuration: Configuration;
  /** The last ones, the newest last. */
  readonly notes: readonly PublicationNote[];
}

/** Before anything is published. */
export const EMPTY_PUBLICATION: Publication = {
  version: 0,
  configuration: { templates: [], clientAccounts: [] },
  notes: [],
};

/** A day of changes comes to some 200 KB at this many; a record holds 256 KB. */
const MAX_NOTES = 20;
/** Of one publication; a whole new deployment is not told line by line. */
const MAX_CHANGE_LINES = 40;

const noteSchema = z.object({
  version: z.int().min(1),
  id: z.string(),
  operator: z.string(),
  publishedAt: z.string(),
  changes: z.array(z.string()),
});

const publicationSchema = z.object({
  version: z.int().min(1),
  configuration: z.object({
    templates: z.array(z.object({ name: z.string() }).loose()),
    clientAccounts: z.array(z.object({ name: z.string() }).loose()),
  }),
  notes: z.array(noteSchema),
});

/** The next version, with its note. */
export function createPublication(
  before: Publication,
  configuration: Configuration,
  note: Omit<PublicationNote, "version">,
): Publication {
  const version = before.version + 1;
  const changes = note.changes.length <= MAX_CHANGE_LINES ? note.changes : [
    ...note.changes.slice(0, MAX_CHANGE_LINES),
    `and ${note.changes.length - MAX_CHANGE_LINES} lines more`,
  ];
  const notes = [...before.notes, { ...note, version, changes }]
    .slice(-MAX_NOTES);
  return { version, configuration, notes };
}

export function serializePublication(publication: Publication): string {
  return JSON.stringify(publication);
}

/** The failure is a sentence. Only this project's commands write the record. */
export function parsePublication(text: string): Result<Publication, string> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return Err(`The publication is no JSON: ${String(error)}`);
  }
  const parsed = publicationSchema.safeParse(value);
  return parsed.success
    ? Ok(parsed.data as unknown as Publication)
    : Err(`The publication is at fault: ${z.prettifyError(parsed.error)}`);
}

/** What an instance routes by, from the record. */
export function decodePublishedRouting(
  text: string,
): Result<RoutingTable, string> {
  const parsed = parsePublication(text);
  return parsed.ok
    ? Ok(buildRoutingTable(parsed.val.configuration, parsed.val.version))
    : Err(parsed.val);
}
