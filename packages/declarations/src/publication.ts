/**
 * The record that operators publish: the complete latest configuration and
 * the history of the last versions. Both are in one record, because the record
 * is appended only if no other record was appended since it was read. A version
 * and its history can therefore not diverge.
 */
import { decodeJson } from "@lentilspur/outcomes/json_boundary";
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
/** Sixteen times the longest record that the store takes. */
const MAX_PUBLICATION_LENGTH = 4 * 1_048_576;
/** Characters of the description of all faults. */
const MAX_FAULTS_LENGTH = 300;

const noteSchema = z.object({
  version: z.int().min(1),
  id: z.string(),
  operator: z.string(),
  publishedAt: z.string(),
  changes: z.array(z.string()),
});

const publicationSchema = z.object({
  version: z.int().min(1).max(2 ** 52),
  configuration: z.object({
    templates: z.array(z.object({ name: z.string() }).loose()),
    clientAccounts: z.array(z.object({ name: z.string() }).loose()),
  }),
  notes: z.array(noteSchema),
});

const amountSchema = z.number().min(0).max(Number.MAX_SAFE_INTEGER);
/** At most as long as a timer can wait. */
const durationSchema = z.number().min(0).max(2 ** 31 - 1);

/** The fields that `buildRoutingTable` reads. */
const routedSchema = z.object({
  templates: z.array(z.object({
    routes: z.array(z.object({
      method: z.string(),
      path: z.string(),
      idempotent: z.boolean(),
    })),
    deadlines: z.object({ defaultMs: durationSchema, maxMs: durationSchema }),
    limits: z.object({
      maxBodyBytes: amountSchema,
      maxAnswerBytes: amountSchema,
      maxQueuedPerTarget: amountSchema,
      maxQueueMs: durationSchema,
    }),
    retry: z.object({ budgetRatio: amountSchema, maxAttempts: amountSchema }),
  })),
  clientAccounts: z.array(z.object({
    credentialDigests: z.array(z.string()),
    templates: z.array(z.object({
      template: z.string(),
      weight: amountSchema,
      requestsPerSecond: amountSchema,
      burst: amountSchema,
      maxConcurrent: amountSchema,
    })),
  })),
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
  const decoded = decodeJson(text, { maxLength: MAX_PUBLICATION_LENGTH });
  if (!decoded.ok) {
    return Err(`The publication ${decoded.val}`);
  }
  const parsed = publicationSchema.safeParse(decoded.val);
  return parsed.success
    ? Ok(parsed.data as unknown as Publication)
    : createError(parsed.error);
}

/**
 * Decodes the record into the routing table of an instance. Checks all fields
 * that the table is built from.
 */
export function decodePublishedRouting(
  text: string,
): Result<RoutingTable, string> {
  const parsed = parsePublication(text);
  if (!parsed.ok) {
    return Err(parsed.val);
  }
  const { configuration, version } = parsed.val;
  const checked = routedSchema.safeParse(configuration);
  return checked.success
    ? Ok(buildRoutingTable(configuration, version))
    : createError(checked.error);
}

function createError(error: z.ZodError): Err<string> {
  const faults = z.prettifyError(error).slice(0, MAX_FAULTS_LENGTH);
  return Err(`The publication is invalid: ${faults}`);
}
