/**
 * The record that operators publish: the complete latest configuration and
 * the history of the last versions. Both are in one record, because the record
 * is appended only if no other record was appended since it was read. A version
 * and its history can therefore not diverge.
 */
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { RoutingTable } from "@lentilspur/ports/routing_table";
import { z } from "zod";
import { buildRoutingTable } from "./published_routing.ts";
import type { Configuration } from "./template.ts";

/** Describes one published version. */
export interface PublicationNote {
  readonly version: number;
  /** Unique; shows whether an append without a response took effect. */
  readonly id: string;
  readonly operator: string;
  /** Informational: time of the operator's clock. */
  readonly publishedAt: string;
  /** A line for each changed document or field, in declaration notation. */
  readonly changes: readonly string[];
}

export interface Publication {
  readonly version: number;
  readonly configuration: Configuration;
  /** The last versions, newest last. */
  readonly notes: readonly PublicationNote[];
}

/** State before the first publication. */
export const EMPTY_PUBLICATION: Publication = {
  version: 0,
  configuration: { templates: [], clientAccounts: [] },
  notes: [],
};

/**
 * 20 notes, about a day of changes, take some 200 KB; a record is limited to
 * 256 KB.
 */
const MAX_NOTES = 20;
/** Per publication; a longer list, as of a new deployment, is truncated. */
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

/** Creates the version that follows `before`. */
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

/**
 * Returns an error message if `text` is not a publication. The check is
 * shallow, because only lentilspur's own commands write the record.
 */
export function parsePublication(text: string): Result<Publication, string> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return Err(`The publication is not valid JSON: ${String(error)}`);
  }
  const parsed = publicationSchema.safeParse(value);
  return parsed.success
    ? Ok(parsed.data as unknown as Publication)
    : Err(`The publication is invalid: ${z.prettifyError(parsed.error)}`);
}

/** Decodes the record into the routing table of an instance. */
export function decodePublishedRouting(
  text: string,
): Result<RoutingTable, string> {
  const parsed = parsePublication(text);
  return parsed.ok
    ? Ok(buildRoutingTable(parsed.val.configuration, parsed.val.version))
    : Err(parsed.val);
}
