/**
 * The dependencies of commands: clock, output, store and instances. `main.ts`
 * passes those of the process, tests pass fakes.
 */
import { randomUUID } from "node:crypto";
import process from "node:process";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { InstancePorts } from "@lentilspur/gateway/instance_options";
import { openStore } from "@lentilspur/platform/adapter";
import type { Clock } from "@lentilspur/ports/clock";
import type { Store } from "@lentilspur/ports/store";
import { SystemClock } from "@lentilspur/ports/system_clock";
import { fetchInstanceStatus, type StatusFetcher } from "./instance_status.ts";
import type { ServeSettings } from "./setting_values.ts";

/** A process whose terminal closes receives SIGHUP. */
const STOP_SIGNALS = ["SIGTERM", "SIGINT", "SIGHUP"] as const;

/** A store client that keeps connections open until `close`. */
export interface StoreConnection extends Store {
  close(): void;
}

/** An instance that runs in this process. */
export interface RunningInstance {
  readonly host: string;
  readonly ports: InstancePorts;
  /** Resolves once every request in progress has finished. */
  stop(): Promise<void>;
}

export interface CommandContext {
  readonly clock: Clock;
  readonly fetchStatus: StatusFetcher;
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** Prints one line of the result to standard output. */
  print(line: string): void;
  /** Prints one line to standard error. */
  printError(line: string): void;
  openStore(address: string): StoreConnection;
  /** Returns the wall-clock time, which is only shown to people. */
  readWallClock(): Date;
  mintId(): string;
  /** On failure, returns the reason as a sentence. */
  startInstance(
    settings: ServeSettings,
  ): Promise<Result<RunningInstance, string>>;
  /** Resolves when this process receives SIGTERM, SIGINT or SIGHUP. */
  waitForStopSignal(): Promise<void>;
}

export function createSystemContext(): CommandContext {
  const clock = new SystemClock();
  return {
    clock,
    fetchStatus: fetchInstanceStatus,
    print: (line) => console.log(line),
    printError: (line) => console.error(line),
    openStore: (address) => openStore(address, clock),
    readWallClock: () => new Date(),
    mintId: () => randomUUID(),
    environment: process.env,
    startInstance,
    waitForStopSignal,
  };
}

async function startInstance(
  settings: ServeSettings,
): Promise<Result<RunningInstance, string>> {
  try {
    // A dynamic import, so that the other commands do not load the libraries
    // that only a server needs.
    const { startDeclaredInstance } = await import("./declared_instance.ts");
    return Ok(await startDeclaredInstance(settings));
  } catch (error) {
    return Err(error instanceof Error ? error.message : String(error));
  }
}

function waitForStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    // The listeners stay: without one, a further signal would end the process
    // and abort the requests in progress.
    for (const signal of STOP_SIGNALS) {
      process.on(signal, () => resolve());
    }
  });
}
