/** A platform in memory and terminals beside it, for the tests of commands. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { Err, Ok } from "@lentilspur/outcomes/result";
import { FakeLog, type FakeLogLink } from "@lentilspur/ports/fake_log";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import type { InstanceSettings } from "@lentilspur/router/settings";
import type { Entry } from "@lentilspur/state/entries";
import { splitCheckpoint } from "@lentilspur/state/checkpoint";
import { serializeEnvelope } from "@lentilspur/state/entry_schema";
import { Fold } from "@lentilspur/state/fold";
import type { CommandContext } from "../command_context.ts";
import { runCommandLine } from "../main.ts";

export const STREAM = "lentilspur";
const CHECKPOINT_STREAM = "lentilspur-checkpoints";

/** How far the clock moves at a time while a command runs. */
const STEP_MS = 50;

const STOP_AFTER_MS = 1_000;

/** What all terminals and instances share. */
export class FakePlatform {
  readonly clock = new VirtualClock();
  readonly log = new FakeLog(this.clock);

  get recordCount(): number {
    return this.log.listRecords(STREAM).length;
  }

  /** Appends an entry as if its author were an instance. */
  addEntry(author: string, entry: Entry): void {
    const id = `${author}-${this.recordCount}`;
    const payload = serializeEnvelope({ id, author, entries: [entry] });
    this.log.appendNow(STREAM, payload);
  }

  addMember(id: string): void {
    const instance = {
      id,
      peerAddress: "127.0.0.1:1",
      httpAddress: id,
      dataCentre: "Bole",
    };
    this.addEntry(id, { kind: "instance-joined", instance, guardians: [] });
  }
}

/** As an instance does before records expire. */
export function writeCheckpoint({ log, recordCount }: FakePlatform): void {
  const fold = new Fold();
  log.listRecords(STREAM)
    .forEach(({ offset, payload }) => fold.apply(offset, payload));
  const options = { id: `checkpoint-${recordCount}`, nextOffset: recordCount };
  splitCheckpoint(fold.serialize(), options)
    .forEach((part) => log.appendNow(CHECKPOINT_STREAM, part));
}

/** Leaves nothing but a checkpoint of everything so far. */
export function expireRecords(platform: FakePlatform): void {
  writeCheckpoint(platform);
  platform.log.expireBefore(STREAM, platform.recordCount);
}

/** One operator's terminal, with a connection to the log of its own. */
export class Terminal {
  readonly platform: FakePlatform;
  readonly link: FakeLogLink;
  /** What each instance answers when asked for its version; others are silent. */
  readonly versions = new Map<string, number>();
  readonly environment: Record<string, string> = {};
  /** Settings of the instances that were started here. */
  readonly started: InstanceSettings[] = [];
  stopCount = 0;
  /** Resolves once a started instance has joined. */
  canJoin: Promise<void> = Promise.resolve();
  /** When somebody asks to stop; a second after the start if not set. */
  stopRequested: Promise<void> | undefined;
  ended: Promise<"stopped" | "taken-over"> = new Promise(() => {});
  readonly #lines: string[] = [];

  constructor(platform: FakePlatform) {
    this.platform = platform;
    this.link = platform.log.createLink();
  }

  /** Returns the exit code; the output is in `takeOutput`. */
  async run(...words: readonly string[]): Promise<number> {
    let isDone = false;
    const running = runCommandLine(words, this.#createContext())
      .finally(() => isDone = true);
    while (!isDone) {
      await this.platform.clock.advance(STEP_MS);
    }
    return await running;
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
      clock: this.platform.clock,
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
      openLog: () => ({
        append: (stream, payload) => this.link.append(stream, payload),
        read: (stream, from, options) => this.link.read(stream, from, options),
        close: () => {},
      }),
      readTime: () => new Date(0),
      mintId: () => "0a1b2c3d-rest",
      environment: this.environment,
      startInstance: (settings) => {
        this.started.push(settings);
        return this.canJoin.then(() =>
          Ok({
            httpAddress: "127.0.0.1:8080",
            peerAddress: "127.0.0.1:8081",
            ended: this.ended,
            stop: () => Promise.resolve(void this.stopCount++),
          })
        );
      },
      waitForStop: () =>
        this.stopRequested ?? this.platform.clock.sleep(STOP_AFTER_MS),
    };
  }
}

const DIGEST = `sha256:${"ab".repeat(32)}`;

const directories: string[] = [];

process.once("exit", () => {
  directories.forEach((directory) => rmSync(directory, { recursive: true }));
});

/** A directory with one template whose limit is given, and one account. */
export function makeDirectory(maxQueued = 64, accountName = "nile"): string {
  const directory = mkdtempSync(join(tmpdir(), "lentilspur-"));
  directories.push(directory);
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
