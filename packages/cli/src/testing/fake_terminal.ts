/** An in-memory platform and terminals that run commands on it, for tests. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { Err, Ok } from "@lentilspur/outcomes/result";
import { serializeMember } from "@lentilspur/gateway/members/members";
import {
  MEMBERS_PARTITION,
  PUBLISHED_CONFIGURATION,
  TARGETS_PARTITION,
} from "@lentilspur/platform/declared_adapter";
import { encodeTarget } from "@lentilspur/platform/target_format";
import { FakeStore } from "@lentilspur/ports/fake_store";
import type { Store } from "@lentilspur/ports/store";
import { VirtualClock } from "@lentilspur/ports/virtual_clock";
import type { CommandContext } from "../command_context.ts";
import { runCommandLine } from "../main.ts";
import type { ServeSettings } from "../setting_values.ts";

/** How far the clock advances at a time while a command runs. */
const CLOCK_STEP_MS = 50;

const STOP_AFTER_MS = 1_000;
const STATUS_PORT = 1;

/** The clock and the store that all terminals and instances share. */
export class FakePlatform {
  readonly clock = new VirtualClock();
  readonly store = new FakeStore(this.clock, 8);

  /** Number of records in the partition of publications. */
  get recordCount(): number {
    return this.store.listRecords(PUBLISHED_CONFIGURATION).length;
  }

  addTarget(id: string, dataCentre: string): void {
    const entry = encodeTarget({
      address: "10.0.0.1:80",
      sequence: 1,
      service: "ledger",
      dataCentre,
      places: 2,
      leaving: false,
      coldMs: 0,
    });
    this.store.write(TARGETS_PARTITION, id, entry);
  }

  addMember(instance: string): void {
    const text = serializeMember({
      instance,
      incarnation: "1",
      dataCentre: "Bole",
      host: instance,
      port: 1,
      statusPort: STATUS_PORT,
      cores: 1,
    });
    this.store.write(MEMBERS_PARTITION, instance, text);
  }
}

/** Runs commands as one operator, with its own client of the store. */
export class FakeTerminal {
  readonly platform: FakePlatform;
  /** Tests replace it to inject faults between the command and the store. */
  storeClient: Store;
  /**
   * The version that each instance reports; instances without one do not
   * respond.
   */
  readonly versions = new Map<string, number>();
  /** The evacuated data centres that each instance reports. */
  evacuated: readonly string[] = [];
  /** Instances whose process has ended. */
  readonly stoppedInstances = new Set<string>();
  readonly environment: Record<string, string> = {};
  /** Settings of the instances that `serve` started. */
  readonly startedSettings: ServeSettings[] = [];
  stopCount = 0;
  readonly #lines: string[] = [];

  constructor(platform: FakePlatform, name = "terminal") {
    this.platform = platform;
    this.storeClient = platform.store.createClient(name);
  }

  /**
   * Runs a command and returns its exit code; `takeOutput` returns what it
   * printed.
   */
  async run(...args: readonly string[]): Promise<number> {
    let isDone = false;
    const running = runCommandLine(args, this.#createContext())
      .finally(() => isDone = true);
    while (!isDone) {
      await this.platform.clock.advance(CLOCK_STEP_MS);
    }
    return await running;
  }

  publish(directory: string, ...options: readonly string[]): Promise<number> {
    return this.run(
      "publish",
      directory,
      "--store=127.0.0.1:1",
      "--operator=neema",
      ...options,
    );
  }

  takeOutput(): string {
    return this.#lines.splice(0).join("\n");
  }

  #createContext(): CommandContext {
    return {
      clock: this.platform.clock,
      fetchStatus: (address) => {
        const [instance = ""] = address.split(":");
        const version = this.versions.get(instance);
        const kind = this.stoppedInstances.has(instance) ? "gone" : "silent";
        return Promise.resolve(
          version === undefined ? Err({ kind, message: "timed out" }) : Ok({
            instance,
            incarnation: "1",
            dataCentre: "Bole",
            isReady: true,
            configurationVersion: version,
            inForceForMs: 1_500,
            targets: 3,
            openRequests: 0,
            duties: instance === "a" ? ["reader"] : [],
            evacuated: this.evacuated,
          }),
        );
      },
      print: (line) => void this.#lines.push(line),
      printError: (line) => void this.#lines.push(line),
      openStore: () => ({ ...this.storeClient, close: () => {} }),
      readWallClock: () => new Date(0),
      mintId: () => "0a1b2c3d-rest",
      environment: this.environment,
      startInstance: (settings) => {
        this.startedSettings.push(settings);
        const ports = { request: 8080, status: 8082, peer: 8081, metrics: 1 };
        return Promise.resolve(Ok({
          host: "127.0.0.1",
          ports,
          stop: () => Promise.resolve(void this.stopCount++),
        }));
      },
      waitForStopSignal: () => this.platform.clock.sleep(STOP_AFTER_MS),
    };
  }
}

const DIGEST = `sha256:${"ab".repeat(32)}`;

const directories: string[] = [];

process.once("exit", () => {
  directories.forEach((directory) => rmSync(directory, { recursive: true }));
});

/**
 * Creates a directory that declares one template, with the given queue limit,
 * and one client account.
 */
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
