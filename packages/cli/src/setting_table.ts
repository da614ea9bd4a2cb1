/**
 * Every setting of an instance: its flag, what it does, what is allowed and
 * what holds without it. `--help` and docs/operating/settings.md show it.
 */
import { createDurationSchema } from "@lentilspur/declarations/field_schemas";
import { formatDuration } from "@lentilspur/declarations/units";
import { DEFAULT_TIMING } from "@lentilspur/router/settings";
import type { z } from "zod";
import {
  DEFAULT_CHECKPOINT_STREAM,
  DEFAULT_LOG_STREAM,
} from "./log_options.ts";
import {
  createCountSchema,
  createRatioSchema,
  hostSchema,
  labelSchema,
  logLevelSchema,
  portSchema,
  streamSchema,
  urlSchema,
} from "./setting_schemas.ts";

export interface Setting<Value> {
  readonly schema: z.ZodType<Value, string>;
  readonly description: string;
  /** What holds where it is left out; absent where it must be given. */
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
      "Name that the instance's id begins with; the rest is new for each start, since a replaced process must never pass for the one before it",
    fallback: "instance",
  },
  dataCentre: {
    schema: labelSchema,
    description: "The data centre that the instance stands in",
  },
  httpHost: {
    schema: hostSchema,
    description: "Address for callers and operators, as peers reach it too",
    fallback: "127.0.0.1",
  },
  httpPort: {
    schema: portSchema,
    description: "Port for callers and operators; 0 picks a free one",
    fallback: "8080",
  },
  peerHost: {
    schema: hostSchema,
    description: "Address for the other instances, as they reach it",
    fallback: "127.0.0.1",
  },
  peerPort: {
    schema: portSchema,
    description: "Port for the other instances; 0 picks a free one",
    fallback: "8081",
  },
  logUrl: { schema: urlSchema, description: "The platform's log" },
  instanceListUrl: {
    schema: urlSchema,
    description: "The platform's list of live and leaving instances",
  },
  logStream: {
    schema: streamSchema,
    description: "The log's stream of records; one for each deployment",
    fallback: DEFAULT_LOG_STREAM,
  },
  checkpointStream: {
    schema: streamSchema,
    description: "The log's stream of checkpoints; one for each deployment",
    fallback: DEFAULT_CHECKPOINT_STREAM,
  },
  logLevel: {
    schema: logLevelSchema,
    description:
      "The least level of log lines; decision lines, which the audit needs, are written at info",
    fallback: "info",
  },
  lease: createDurationSetting(
    "What the instance's guardians pledge for; how long a lost instance's keys go unserved grows with it. The same on all instances",
    DEFAULT_TIMING.leaseMs,
  ),
  renewEvery: createDurationSetting(
    "How often the lease is renewed",
    DEFAULT_TIMING.renewEveryMs,
  ),
  leaseMargin: createDurationSetting(
    "How long before its lease could lapse the instance stops acting",
    DEFAULT_TIMING.leaseMarginMs,
  ),
  standing: createDurationSetting(
    "How long an instance pledges on after it was last known to be a member. The same on all instances",
    DEFAULT_TIMING.standingMs,
  ),
  clockDriftRatio: {
    schema: createRatioSchema({ min: 0, max: 0.1 }),
    description: "Bound on how far two monotonic clocks drift apart",
    fallback: String(DEFAULT_TIMING.clockDriftRatio),
  },
  grant: createDurationSetting(
    "Life of a grant on a target that checks grants",
    DEFAULT_TIMING.grantMs,
  ),
  grantEvery: createDurationSetting(
    "How often grants are renewed",
    DEFAULT_TIMING.grantEveryMs,
  ),
  targetSuspect: createDurationSetting(
    "Silence after which a target is suspected to be lost",
    DEFAULT_TIMING.targetSuspectMs,
  ),
  uncheckedMaxRun: createDurationSetting(
    "Longest request sent to a target that does not check grants",
    DEFAULT_TIMING.uncheckedMaxRunMs,
  ),
  connectionLinger: createDurationSetting(
    "How long a lost instance's machine may still deliver what it had written; units of a target that does not check stay in place for this long",
    DEFAULT_TIMING.connectionLingerMs,
  ),
  listEvery: createDurationSetting(
    "How often the instance list is read",
    DEFAULT_TIMING.listEveryMs,
  ),
  planEvery: createDurationSetting(
    "How often placement is planned anew",
    DEFAULT_TIMING.planEveryMs,
  ),
  epoch: createDurationSetting(
    "Length of an epoch; request ids are honoured in theirs and the next",
    DEFAULT_TIMING.epochMs,
  ),
  checkpointEveryRecords: {
    schema: createCountSchema({ min: 10, max: 1_000_000 }),
    description: "Records of the log between two checkpoints",
    fallback: String(DEFAULT_TIMING.checkpointEveryRecords),
  },
  maxChangeWait: createDurationSetting(
    "Longest wait of a request for a move or take-over to end",
    DEFAULT_TIMING.maxChangeWaitMs,
  ),
} as const satisfies Readonly<Record<string, Setting<unknown>>>;

export type SettingName = keyof typeof SETTINGS;

export type SettingValues = {
  readonly [Name in SettingName]: z.output<(typeof SETTINGS)[Name]["schema"]>;
};

export function listSettingNames(): readonly SettingName[] {
  return Object.keys(SETTINGS) as SettingName[];
}

/** `logUrl` as `log-url`. */
export function getFlagName(name: SettingName): string {
  return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

/** `logUrl` as `LENTILSPUR_LOG_URL`. */
export function getVariableName(name: SettingName): string {
  return `LENTILSPUR_${getFlagName(name).toUpperCase().replaceAll("-", "_")}`;
}
