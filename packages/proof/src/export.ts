/**
 * Copies the log's records into ordinary files before retention forgets them.
 * Each run goes on where the last one ended; a file appears only when whole.
 */
import { type FileHandle, open, rename, rm } from "node:fs/promises";
import { join } from "node:path";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { LogFailure, LogPort } from "@lentilspur/ports/log";
import {
  type ExportLine,
  FIRST_DIGEST,
  formatFileName,
  hashRecord,
} from "./export_chain.ts";
import { verifyExport } from "./export_verify.ts";

export interface ExportOptions {
  readonly log: LogPort;
  readonly stream: string;
  readonly directory: string;
}

export interface ExportResult {
  /** Undefined where there was nothing new. */
  readonly file?: string;
  readonly records: number;
  readonly nextOffset: number;
  /** To be kept elsewhere: it shows later that no file was cut off the end. */
  readonly lastDigest: string;
  /** Where the export begins; records before it had expired. */
  readonly firstOffset: number;
}

export type ExportFailure =
  | { readonly kind: "log"; readonly failure: LogFailure }
  /** Earlier files are damaged; nothing was added to them. */
  | { readonly kind: "damaged"; readonly message: string }
  /** Retention forgot records between the last export and this one. */
  | {
    readonly kind: "expired";
    readonly nextOffset: number;
    readonly firstOffset: number;
  };

interface Progress {
  nextOffset: number;
  digest: string;
  records: number;
}

export async function exportLog(
  options: ExportOptions,
): Promise<Result<ExportResult, ExportFailure>> {
  const before = await verifyExport(options.directory, options.stream);
  const [fault] = before.faults;
  if (fault !== undefined) {
    const message = `${fault.file}:${fault.lineNumber}: ${fault.message}`;
    return Err({ kind: "damaged", message });
  }
  const start = await locateStart(options, before.nextOffset);
  if (!start.ok) {
    return start;
  }
  if (before.records > 0 && start.val > before.nextOffset) {
    return Err({
      kind: "expired",
      nextOffset: before.nextOffset,
      firstOffset: start.val,
    });
  }
  const progress: Progress = {
    nextOffset: start.val,
    digest: before.records > 0 ? before.lastDigest : FIRST_DIGEST,
    records: 0,
  };
  return await writeFile(options, progress);
}

/** The wanted offset, or the first one that the log still has. */
async function locateStart(
  { log, stream }: ExportOptions,
  wanted: number,
): Promise<Result<number, ExportFailure>> {
  const read = await log.read(stream, wanted, { maxRecords: 1 });
  if (read.ok) {
    return Ok(wanted);
  }
  const failure = read.val;
  return failure.kind === "expired"
    ? Ok(failure.firstOffset)
    : Err({ kind: "log", failure });
}

async function writeFile(
  options: ExportOptions,
  progress: Progress,
): Promise<Result<ExportResult, ExportFailure>> {
  const firstOffset = progress.nextOffset;
  const name = formatFileName(options.stream, firstOffset);
  const path = join(options.directory, name);
  const partial = `${path}.partial`;
  const file = await open(partial, "w");
  try {
    const written = await writeRecords(file, options, progress);
    if (!written.ok) {
      return written;
    }
    await file.sync();
  } finally {
    await file.close();
  }
  const result = {
    firstOffset,
    records: progress.records,
    nextOffset: progress.nextOffset,
    lastDigest: progress.digest,
  };
  if (progress.records === 0) {
    await rm(partial);
    return Ok(result);
  }
  // A file that was cut off while being written never has its final name.
  await rename(partial, path);
  return Ok({ ...result, file: path });
}

async function writeRecords(
  file: FileHandle,
  { log, stream }: ExportOptions,
  progress: Progress,
): Promise<Result<void, ExportFailure>> {
  await writeLine(file, {
    kind: "header",
    format: 1,
    stream,
    firstOffset: progress.nextOffset,
    previousDigest: progress.digest,
  });
  for (;;) {
    const read = await log.read(stream, progress.nextOffset);
    if (!read.ok) {
      return Err({ kind: "log", failure: read.val });
    }
    for (const record of read.val.records) {
      const digest = hashRecord(progress.digest, record);
      await writeLine(file, { kind: "record", ...record, digest });
      progress.digest = digest;
      progress.nextOffset = record.offset + 1;
      progress.records++;
    }
    if (
      read.val.records.length === 0 ||
      progress.nextOffset >= read.val.nextOffset
    ) {
      break;
    }
  }
  await writeLine(file, {
    kind: "seal",
    nextOffset: progress.nextOffset,
    records: progress.records,
    digest: progress.digest,
  });
  return Ok(undefined);
}

async function writeLine(file: FileHandle, line: ExportLine): Promise<void> {
  await file.write(`${JSON.stringify(line)}\n`);
}
