/**
 * Starts an instance that is configured by the declarations in the platform's
 * store.
 */
import { randomUUID } from "node:crypto";
import process from "node:process";
import { decodePublishedRouting } from "@lentilspur/declarations/publication";
import { parseRequestMetadata } from "@lentilspur/gateway/entry/request_metadata";
import { Instance } from "@lentilspur/gateway/instance";
import { computeShutdownTiming } from "@lentilspur/gateway/entry/graceful_shutdown";
import { createAdapter } from "@lentilspur/platform/adapter";
import { createDeclaredAdapter } from "@lentilspur/platform/declared_adapter";
import { SystemClock } from "@lentilspur/ports/system_clock";
import type { RunningInstance } from "./command_context.ts";
import type { ServeSettings } from "./setting_values.ts";

/** Rejects if the instance cannot listen on its ports. */
export async function startDeclaredInstance(
  settings: ServeSettings,
): Promise<RunningInstance> {
  const clock = new SystemClock();
  const { gateway } = settings;
  const instance = new Instance({
    settings: gateway,
    clock,
    stream: process.stdout,
    createAdapter: (tools) =>
      createDeclaredAdapter(createAdapter(settings, clock, tools), {
        decodeConfiguration: decodePublishedRouting,
        parseMetadata: (headers) => parseRequestMetadata(headers, randomUUID),
      }),
  });
  await instance.start();
  return {
    host: gateway.host,
    ports: instance.ports,
    stop: () => instance.stop(computeShutdownTiming(gateway.gracePeriodMs)),
  };
}
