/**
 * Checks export files for being complete and unaltered. Cutting off the newest
 * files leaves a chain that is whole in itself; only the digest that the last
 * export printed, kept elsewhere, shows that.
 */
import { createReadStream } from "node:fs";
import { readdir } from "node:fs/promises";
import { join } from "node:path";
import { createInterface } from "node:readline";
import {
  type ExportHeader,
  type ExportSeal,
  FIRST_DIGEST,
  hashRecord,
  parseExportLine,
} from "./export_chain.ts";

export interface ExportFault {
  readonly file: string;
  readonly lineNumber: number;
  readonly message: string;
}

export interface ExportReport {
  readonly stream: string;
  readonly files: number;
  readonly records: number;
  /** The first exported offset; above 0, earlier records had expired. */
  readonly firstOffset: number;
  readonly nextOffset: number;
  readonly lastDigest: string;
  readonly faults: readonly ExportFault[];
}

export async function listExportFiles(
  directory: string,
  stream: string,
): Promise<readonly string[]> {
  const names = await readdir(directory);
  return names
    .filter((name) => name.startsWith(`${stream}-`) && name.endsWith(".jsonl"))
    .sort()
    .map((name) => join(directory, name));
}

export async function verifyExport(
  directory: string,
  stream: string,
): Promise<ExportReport> {
  const files = await listExportFiles(directory, stream);
  const chain = new ChainCheck(stream);
  for (const file of files) {
    await chain.checkFile(file);
  }
  return chain.report(files.length);
}

/** Follows the chain; after a fault it goes on from what the file claims. */
class ChainCheck {
  readonly #stream: string;
  readonly #faults: ExportFault[] = [];
  #firstOffset: number | undefined;
  #nextOffset = 0;
  #digest = FIRST_DIGEST;
  #records = 0;

  constructor(stream: string) {
    this.#stream = stream;
  }

  async checkFile(file: string): Promise<void> {
    const lines = createInterface({ input: createReadStream(file) });
    let lineNumber = 0;
    let recordsInFile = 0;
    let isSealed = false;
    const addFault = (message: string): void => {
      this.#faults.push({ file, lineNumber, message });
    };
    for await (const text of lines) {
      lineNumber++;
      const line = parseExportLine(text);
      if (isSealed) {
        addFault("A line follows the seal");
      } else if (line === undefined) {
        addFault("The line cannot be read");
      } else if (line.kind === "header") {
        this.#checkHeader(line, lineNumber, addFault);
      } else if (line.kind === "record") {
        recordsInFile++;
        this.#checkRecord(line, addFault);
      } else {
        isSealed = true;
        this.#checkSeal(line, recordsInFile, addFault);
      }
    }
    if (!isSealed) {
      addFault("The file ends without its seal, so it was cut off");
    }
  }

  report(files: number): ExportReport {
    return {
      stream: this.#stream,
      files,
      records: this.#records,
      firstOffset: this.#firstOffset ?? 0,
      nextOffset: this.#nextOffset,
      lastDigest: this.#digest,
      faults: this.#faults,
    };
  }

  #checkHeader(
    header: ExportHeader,
    lineNumber: number,
    addFault: (message: string) => void,
  ): void {
    if (lineNumber !== 1) {
      addFault("A header stands inside a file");
    }
    if (header.stream !== this.#stream) {
      addFault(`The file belongs to stream "${header.stream}"`);
    }
    const isFirst = this.#firstOffset === undefined;
    this.#firstOffset ??= header.firstOffset;
    if (!isFirst && header.firstOffset !== this.#nextOffset) {
      addFault(
        `Records "${this.#nextOffset}" to "${
          header.firstOffset - 1
        }" are missing`,
      );
    }
    if (header.previousDigest !== this.#digest) {
      addFault("The file does not go on from the one before it");
    }
    this.#nextOffset = header.firstOffset;
    this.#digest = header.previousDigest;
  }

  #checkRecord(
    record: {
      readonly offset: number;
      readonly payload: string;
      readonly digest: string;
    },
    addFault: (message: string) => void,
  ): void {
    if (record.offset !== this.#nextOffset) {
      addFault(
        `Offset "${record.offset}" stands where "${this.#nextOffset}" was expected`,
      );
    }
    if (hashRecord(this.#digest, record) !== record.digest) {
      addFault(`The record at offset "${record.offset}" was altered`);
    }
    this.#records++;
    this.#nextOffset = record.offset + 1;
    this.#digest = record.digest;
  }

  #checkSeal(
    seal: ExportSeal,
    recordsInFile: number,
    addFault: (message: string) => void,
  ): void {
    if (seal.records !== recordsInFile) {
      addFault(
        `The seal counts "${seal.records}" records and the file holds "${recordsInFile}"`,
      );
    }
    if (seal.nextOffset !== this.#nextOffset || seal.digest !== this.#digest) {
      addFault("The seal does not fit the last record");
    }
  }
}
