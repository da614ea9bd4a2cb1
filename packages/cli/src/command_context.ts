/**
 * What commands need of the world around them. Tests pass fakes; `main.ts`
 * passes the process's own.
 */
import { randomUUID } from "node:crypto";
import { once } from "node:events";
import process from "node:process";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { InstancePorts } from "@lentilspur/gateway/instance_options";
import { openStore } from "@lentilspur/platform/adapter";
import type { Clock } from "@lentilspur/ports/clock";
import type { Store } from "@lentilspur/ports/store";
import { SystemClock } from "@lentilspur/ports/system_clock";
import { fetchInstanceStatus, type StatusFetcher } from "./instance_status.ts";
import type { ServeSettings } from "./setting_values.ts";

/** The store together with the connections that it holds. */
export interface StoreConnection extends Store {
  close(): void;
}

/** An instance that this process runs. */
export interface RunningInstance {
  readonly host: string;
  readonly ports: InstancePorts;
  /** Resolves once every request in progress is finished. */
  stop(): Promise<void>;
}

export interface CommandContext {
  readonly clock: Clock;
  readonly fetchStatus: StatusFetcher;
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** One line for the result. */
  print(line: string): void;
  /** One line for what went wrong. */
  printError(line: string): void;
  openStore(address: string): StoreConnection;
  /** Wall-clock time, only ever shown to people. */
  readWallClock(): Date;
  mintId(): string;
  /** The failure is a sentence. */
  startInstance(
    settings: ServeSettings,
  ): Promise<Result<RunningInstance, string>>;
  /** Resolves when somebody asks this process to stop. */
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
    waitForStopSignal: waitForStopSignal,
  };
}

async function startInstance(
  settings: ServeSettings,
): Promise<Result<RunningInstance, string>> {
  try {
    // Loaded only here, so that the other commands start without a server's
    // libraries.
    const { startDeclaredInstance } = await import("./declared_instance.ts");
    return Ok(await startDeclaredInstance(settings));
  } catch (error) {
    return Err(error instanceof Error ? error.message : String(error));
  }
}

async function waitForStopSignal(): Promise<void> {
  await Promise.race([once(process, "SIGTERM"), once(process, "SIGINT")]);
  // A second signal must not cut off the requests that are being finished.
  process.on("SIGTERM", () => {});
}
