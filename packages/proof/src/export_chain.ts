/**
 * The format of export files. Each record's digest covers the digest before
 * it, so a record that was changed, left out or put in breaks the chain from
 * there on; the chain goes on from file to file.
 */
import { createHash } from "node:crypto";
import type { LogRecord } from "@lentilspur/ports/log";
import { z } from "zod";

/** Before the first record of all. */
export const FIRST_DIGEST = "0".repeat(64);

export interface ExportHeader {
  readonly kind: "header";
  readonly format: 1;
  readonly stream: string;
  readonly firstOffset: number;
  /** Digest of the last record of the file before this one. */
  readonly previousDigest: string;
}

export interface ExportedRecord extends LogRecord {
  readonly kind: "record";
  /** SHA-256 over the digest before, the offset and the payload; hex. */
  readonly digest: string;
}

/** The last line of a whole file; a file without it was cut off. */
export interface ExportSeal {
  readonly kind: "seal";
  readonly nextOffset: number;
  readonly records: number;
  readonly digest: string;
}

export type ExportLine = ExportHeader | ExportedRecord | ExportSeal;

const digest = z.string().regex(/^[0-9a-f]{64}$/);
const offset = z.int().min(0);

const lineSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("header"),
    format: z.literal(1),
    stream: z.string(),
    firstOffset: offset,
    previousDigest: digest,
  }),
  z.object({
    kind: z.literal("record"),
    offset,
    payload: z.string(),
    digest,
  }),
  z.object({
    kind: z.literal("seal"),
    nextOffset: offset,
    records: offset,
    digest,
  }),
]);

/** Undefined for text that no export wrote. */
export function parseExportLine(text: string): ExportLine | undefined {
  try {
    const parsed = lineSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

export function hashRecord(previousDigest: string, record: LogRecord): string {
  return createHash("sha256")
    .update(`${previousDigest}\n${record.offset}\n`)
    .update(record.payload)
    .digest("hex");
}

/** Sorts by name in the order of the offsets. */
export function formatFileName(stream: string, firstOffset: number): string {
  return `${stream}-${String(firstOffset).padStart(16, "0")}.jsonl`;
}
