/**
 * What commands need of the world around them. Tests pass fakes; `main.ts`
 * passes the process's own.
 */
import { randomUUID } from "node:crypto";
import process from "node:process";
import { LogClient } from "@lentilspur/platform/log_client";
import type { Clock } from "@lentilspur/ports/clock";
import type { LogPort } from "@lentilspur/ports/log";
import { SystemClock } from "@lentilspur/ports/system_clock";
import { fetchInstanceStatus, type StatusFetcher } from "./instance_status.ts";

/** A log together with the connections that it holds. */
export interface OpenLog extends LogPort {
  close(): void;
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
  };
}
