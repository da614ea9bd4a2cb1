/**
 * What commands need of the world around them. Tests pass fakes; `main.ts`
 * passes the process's own.
 */
import { randomUUID } from "node:crypto";
import { once } from "node:events";
import process from "node:process";
import { LogClient } from "@lentilspur/transport/log_client";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { Clock } from "@lentilspur/ports/clock";
import type { LogPort } from "@lentilspur/ports/log";
import { SystemClock } from "@lentilspur/ports/system_clock";
import type { InstanceSettings } from "@lentilspur/router/settings";
import { fetchInstanceStatus, type StatusFetcher } from "./instance_status.ts";

/** A log together with the connections that it holds. */
export interface OpenLog extends LogPort {
  close(): void;
}

/** An instance that this process runs. */
export interface RunningInstance {
  readonly httpAddress: string;
  readonly peerAddress: string;
  /**
   * Resolves when it has ended: by `stop`, or because others took it over
   * while it was paused for longer than its lease.
   */
  readonly ended: Promise<"stopped" | "taken-over">;
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
  openLog(url: string): OpenLog;
  /** Wall-clock time, only ever shown to people. */
  readTime(): Date;
  mintId(): string;
  /** The failure is a sentence. */
  startInstance(
    settings: InstanceSettings,
  ): Promise<Result<RunningInstance, string>>;
  /** Resolves when somebody asks this process to stop. */
  waitForStop(): Promise<void>;
}

export function createSystemContext(): CommandContext {
  const clock = new SystemClock();
  return {
    clock,
    fetchStatus: fetchInstanceStatus,
    print: (line) => console.log(line),
    printError: (line) => console.error(line),
    openLog: (url) => new LogClient(url, { clock }),
    readTime: () => new Date(),
    mintId: () => randomUUID(),
    environment: process.env,
    startInstance,
    waitForStop,
  };
}

async function startInstance(
  settings: InstanceSettings,
): Promise<Result<RunningInstance, string>> {
  try {
    // Loaded only here, so that the other commands start without a server's
    // libraries.
    const { startDaemon } = await import("@lentilspur/router/daemon");
    return Ok(await startDaemon({ settings }));
  } catch (error) {
    return Err(error instanceof Error ? error.message : String(error));
  }
}

async function waitForStop(): Promise<void> {
  await Promise.race([once(process, "SIGTERM"), once(process, "SIGINT")]);
  // A second signal must not cut off the requests that are being finished.
  process.on("SIGTERM", () => {});
}
