/**
 * The settings of an instance: name, description, allowed values and default of
 * each. `--help` and docs/operating/settings.md list them.
 */
import { createDurationSchema } from "@lentilspur/declarations/field_schemas";
import { formatDuration } from "@lentilspur/declarations/units";
import type { z } from "zod";
import {
  addressSchema,
  createCountSchema,
  createRatioSchema,
  hostSchema,
  labelSchema,
  portSchema,
} from "./setting_schemas.ts";

export interface Setting<Value> {
  readonly schema: z.ZodType<Value, string>;
  readonly description: string;
  /** The default, as text; absent for a required setting. */
  readonly fallback?: string;
}

/** Lets the system choose the local address of a connection. */
export const ANY_ADDRESS = "0.0.0.0";

const anyDuration = createDurationSchema({ min: 1, max: 24 * 3_600_000 });

function createDurationSetting(
  description: string,
  defaultMs: number,
): Setting<number> {
  return {
    schema: anyDuration as z.ZodType<number, string>,
    description,
    fallback: formatDuration(defaultMs),
  };
}

export const SETTINGS = {
  instanceName: {
    schema: labelSchema,
    description:
      "Unique name of the instance; keep it across restarts, so that the other instances know that the previous incarnation has ended",
  },
  dataCentre: {
    schema: labelSchema,
    description: "Data centre of the instance",
  },
  cores: {
    schema: createRatioSchema({ min: 0.01, max: 1_024 }),
    description:
      "Processor time that the instance may use, in cores; duties go to the instances with the most cores",
    fallback: "1",
  },
  host: {
    schema: hostSchema,
    description: "Address of all listeners, as callers and peers reach it",
    fallback: "127.0.0.1",
  },
  sourceAddress: {
    schema: hostSchema,
    description:
      "Local address of connections to targets, on hosts with several addresses; 0.0.0.0 lets the system choose",
    fallback: ANY_ADDRESS,
  },
  port: {
    schema: portSchema,
    description: "Port for callers; 0 picks a free one",
    fallback: "8080",
  },
  peerPort: {
    schema: portSchema,
    description:
      "Port for the other instances, UDP and TCP; 0 picks a free one for each",
    fallback: "8081",
  },
  statusPort: {
    schema: portSchema,
    description: "Port for readiness and /status; 0 picks a free one",
    fallback: "8082",
  },
  metricsPort: {
    schema: portSchema,
    description: "Port for /metrics; 0 picks a free one",
    fallback: "9464",
  },
  store: { schema: addressSchema, description: "The platform's store" },
  storeParts: {
    schema: createCountSchema({ min: 1, max: 1_000 }),
    description:
      "Number of partitions of each store topic; must be the same on all instances",
    fallback: "8",
  },
  minMemberTtl: createDurationSetting(
    "Shortest time after which the store may drop a member that does not join again",
    1_000,
  ),
  maxHold: createDurationSetting(
    "Longest hold of keys that targets accept",
    10_000,
  ),
  drain: createDurationSetting(
    "How long a target may still be sent requests after it was seen to be leaving",
    2_000,
  ),
  evacuation: createDurationSetting(
    "How long a target may still be sent requests after its data centre was evacuated",
    5_000,
  ),
  gracePeriod: createDurationSetting(
    "Time from the stop signal until the process is killed",
    6_000,
  ),
  retryRatio: {
    schema: createRatioSchema({ min: 0, max: 1 }),
    description:
      "Retries as a share of requests, for services without a ratio of their own",
    fallback: "0.1",
  },
  retryReserve: {
    schema: createCountSchema({ min: 0, max: 1_000_000 }),
    description:
      "Retries per window allowed in addition to the ratio, over all instances; must be the same on all instances",
    fallback: "64",
  },
  retryWindow: createDurationSetting(
    "Window in which retries are counted",
    10_000,
  ),
} as const satisfies Readonly<Record<string, Setting<unknown>>>;

export type SettingName = keyof typeof SETTINGS;

export type SettingValues = {
  readonly [Name in SettingName]: z.output<(typeof SETTINGS)[Name]["schema"]>;
};

export function listSettingNames(): readonly SettingName[] {
  return Object.keys(SETTINGS) as SettingName[];
}

/** Returns the flag of a setting: `peer-port` for `peerPort`. */
export function getFlagName(name: SettingName): string {
  return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

/**
 * Returns the environment variable of a setting: `LENTILSPUR_PEER_PORT` for
 * `peerPort`.
 */
export function getVariableName(name: SettingName): string {
  return `LENTILSPUR_${getFlagName(name).toUpperCase().replaceAll("-", "_")}`;
}
