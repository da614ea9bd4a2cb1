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
      "Name that no other running instance has; a restart keeps it, so that others know the start before it has ended",
  },
  dataCentre: {
    schema: labelSchema,
    description: "The data centre that the instance stands in",
  },
  cores: {
    schema: createRatioSchema({ min: 0.01, max: 1_024 }),
    description:
      "Processor time that it may use, in cores; work for all instances falls to those with most",
    fallback: "1",
  },
  host: {
    schema: hostSchema,
    description: "Address of all listeners, as callers and peers reach it",
    fallback: "127.0.0.1",
  },
  port: {
    schema: portSchema,
    description: "Port for callers; 0 picks a free one",
    fallback: "8080",
  },
  peerPort: {
    schema: portSchema,
    description: "Port for the other instances, UDP; 0 picks a free one",
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
      "Partitions that a topic of the store has. The same on all instances",
    fallback: "8",
  },
  minMemberTtl: createDurationSetting(
    "Shortest silence after which the store takes a member for gone",
    1_000,
  ),
  maxHold: createDurationSetting(
    "Longest hold of keys that targets accept",
    10_000,
  ),
  drain: createDurationSetting(
    "How long after it was seen to leave a target may be sent work",
    2_000,
  ),
  evacuation: createDurationSetting(
    "How long after its data centre was evacuated a target may be sent work",
    5_000,
  ),
  gracePeriod: createDurationSetting(
    "From the signal to stop until the process is killed",
    6_000,
  ),
  retryRatio: {
    schema: createRatioSchema({ min: 0, max: 1 }),
    description:
      "Second sends as a share of first ones, where a template names none",
    fallback: "0.1",
  },
  retryReserve: {
    schema: createCountSchema({ min: 0, max: 1_000_000 }),
    description:
      "Second sends in a window besides, over all instances. The same on all instances",
    fallback: "64",
  },
  retryWindow: createDurationSetting(
    "Window over which second sends are counted",
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
