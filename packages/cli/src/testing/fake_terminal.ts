/** A log in memory and a terminal beside it, for the tests of commands. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { Clock } from "@lentilspur/ports/clock";
import type { LogBatch, LogFailure } from "@lentilspur/ports/log";
import type { Entry } from "@lentilspur/state/entries";
import { serializeEnvelope } from "@lentilspur/state/entry_schema";
import type { CommandContext, OpenLog } from "../command_context.ts";
import { runCommandLine } from "../main.ts";

export type AppendFault =
  | "answer-lost"
  | "not-taken"
  | "taken-later"
  | "refused";

/** A log in memory whose next appends and reads can be made to fail. */
export class FakeLog implements OpenLog {
  readonly records: string[] = [];
  readonly appendFaults: AppendFault[] = [];
  readonly #delayed: string[] = [];
  down = false;

  append(
    _stream: string,
    payload: string,
  ): Promise<Result<number, LogFailure>> {
    const fault = this.down ? "not-taken" : this.appendFaults.shift();
    const silence = Err({ kind: "unavailable", message: "timed out" } as const);
    switch (fault) {
      case undefined:
        return Promise.resolve(Ok(this.records.push(payload) - 1));
      case "answer-lost":
        this.records.push(payload);
        return Promise.resolve(silence);
      case "taken-later":
        this.#delayed.push(payload);
        return Promise.resolve(silence);
      case "not-taken":
        return Promise.resolve(silence);
      case "refused":
        return Promise.resolve(Err({ kind: "refused", message: "no route" }));
    }
  }

  read(
    _stream: string,
    fromOffset: number,
  ): Promise<Result<LogBatch, LogFailure>> {
    if (this.down) {
      return Promise.resolve(Err({ kind: "unavailable", message: "down" }));
    }
    const records = this.records.slice(fromOffset)
      .map((payload, index) => ({ offset: fromOffset + index, payload }));
    return Promise.resolve(Ok({ records, nextOffset: this.records.length }));
  }

  /** Lets appends take effect whose answers were lost long ago. */
  settle(): void {
    this.records.push(...this.#delayed.splice(0));
  }

  close(): void {}
}

/** Sleeping takes no time but moves the clock. */
class InstantClock implements Clock {
  #nowMs = 0;

  readMs(): number {
    return this.#nowMs;
  }

  sleep(ms: number): Promise<void> {
    this.#nowMs += ms;
    return Promise.resolve();
  }
}

/** One operator's terminal beside a shared log. */
export class Terminal {
  readonly log: FakeLog;
  readonly versions = new Map<string, number>();
  readonly #lines: string[] = [];

  constructor(log: FakeLog) {
    this.log = log;
  }

  /** Returns the exit code; the output is in `takeOutput`. */
  run(...words: readonly string[]): Promise<number> {
    return runCommandLine(words, this.#createContext());
  }

  publish(directory: string, ...more: readonly string[]): Promise<number> {
    return this.run(
      "publish",
      directory,
      "--log-url=http://127.0.0.1:1",
      "--operator=neema",
      ...more,
    );
  }

  takeOutput(): string {
    return this.#lines.splice(0).join("\n");
  }

  #createContext(): CommandContext {
    return {
      clock: new InstantClock(),
      fetchStatus: (address) => {
        const version = this.versions.get(address);
        return Promise.resolve(
          version === undefined ? Err("timed out") : Ok({
            instanceId: address,
            dataCentre: "Bole",
            configurationVersion: version,
            inForceSinceMs: 1_500,
            foldedOffset: 3,
            leaseHeld: true,
            ready: true,
          }),
        );
      },
      print: (line) => void this.#lines.push(line),
      printError: (line) => void this.#lines.push(line),
      openLog: () => this.log,
      readTime: () => new Date(0),
      mintId: () => "0a1b2c3d-rest",
    };
  }
}

const DIGEST = `sha256:${"ab".repeat(32)}`;

/** A directory with one template whose limit is given, and one account. */
export function makeDirectory(maxQueued = 64, accountName = "nile"): string {
  const directory = mkdtempSync(join(tmpdir(), "lentilspur-"));
  process.on("exit", () => rmSync(directory, { recursive: true }));
  writeFileSync(
    join(directory, "ledger.yaml"),
    `kind: Template
name: ledger
shardCount: 64
limits:
  maxQueuedPerTarget: ${maxQueued}
routes:
  - method: GET
    path: /ledger/{key}
    idempotent: true
---
kind: ClientAccount
name: ${accountName}
credentialDigests: ["${DIGEST}"]
templates:
  - template: ledger
`,
  );
  return directory;
}

/** Appends an entry as if its author were an instance. */
export function addEntry(log: FakeLog, author: string, entry: Entry): void {
  const id = `${author}-${log.records.length}`;
  log.records.push(serializeEnvelope({ id, author, entries: [entry] }));
}

export function addMember(log: FakeLog, id: string): void {
  const instance = {
    id,
    peerAddress: "127.0.0.1:1",
    httpAddress: id,
    dataCentre: "Bole",
  };
  addEntry(log, id, { kind: "instance-joined", instance, guardians: [] });
}
