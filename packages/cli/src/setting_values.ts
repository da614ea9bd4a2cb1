/**
 * From flags and environment to the settings of one instance, or to all that
 * is wrong with them at once: a person who starts a process should not have to
 * start it once for each fault.
 */
import { formatDuration } from "@lentilspur/declarations/units";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type {
  ControlTiming,
  InstanceSettings,
} from "@lentilspur/router/settings";
import {
  getFlagName,
  getVariableName,
  listSettingNames,
  type Setting,
  type SettingName,
  SETTINGS,
  type SettingValues,
} from "./setting_table.ts";

export interface SettingTexts {
  /** Given flags; they go before the environment. */
  readonly flags: Readonly<Partial<Record<SettingName, string | undefined>>>;
  readonly environment: Readonly<Record<string, string | undefined>>;
}

/** Variables that other commands read. */
const OTHER_VARIABLES: readonly string[] = ["LENTILSPUR_OPERATOR"];

/** The failures are sentences. `suffix` makes the instance's id new. */
export function resolveSettings(
  texts: SettingTexts,
  suffix: string,
): Result<InstanceSettings, readonly string[]> {
  const faults = [...listUnknownVariables(texts.environment)];
  const values = new Map<SettingName, unknown>();
  for (const name of listSettingNames()) {
    const resolved = resolveSetting(name, texts);
    if (resolved.ok) {
      values.set(name, resolved.val);
    } else {
      faults.push(resolved.val);
    }
  }
  faults.push(...listTimingFaults(toTiming(values)));
  if (faults.length > 0) {
    return Err(faults);
  }
  const complete = Object.fromEntries(values) as SettingValues;
  return Ok(toInstanceSettings(complete, suffix));
}

function resolveSetting(
  name: SettingName,
  { flags, environment }: SettingTexts,
): Result<unknown, string> {
  const setting: Setting<unknown> = SETTINGS[name];
  const flag = `--${getFlagName(name)}`;
  const variable = getVariableName(name);
  const [source, text] = flags[name] === undefined
    ? [variable, environment[variable]]
    : [flag, flags[name]];
  const wanted = text ?? setting.fallback;
  if (wanted === undefined) {
    return Err(
      `${flag} or ${variable} is missing: ${setting.description}`,
    );
  }
  const parsed = setting.schema.safeParse(wanted);
  if (parsed.success) {
    return Ok(parsed.data);
  }
  const allowed = parsed.error.issues[0]?.message ?? "another value";
  return Err(`${source} is ${JSON.stringify(wanted)}; allowed is ${allowed}`);
}

/** A misspelt variable would otherwise leave its default in force silently. */
function listUnknownVariables(
  environment: SettingTexts["environment"],
): readonly string[] {
  const known = [
    ...listSettingNames().map(getVariableName),
    ...OTHER_VARIABLES,
  ];
  return Object.keys(environment)
    .filter((variable) => variable.startsWith("LENTILSPUR_"))
    .filter((variable) => !known.includes(variable))
    .map((variable) =>
      `${variable} is no setting; lentilspur serve --help lists them`
    );
}

type PartialTiming = Partial<Record<keyof ControlTiming, number>>;

/** Relations without which a lease or grant lapses in ordinary operation. */
function listTimingFaults(timing: PartialTiming): readonly string[] {
  const {
    leaseMs,
    renewEveryMs,
    leaseMarginMs,
    clockDriftRatio = 0,
    grantMs,
    grantEveryMs,
    epochMs,
    maxChangeWaitMs,
  } = timing;
  const faults: string[] = [];
  if (leaseMs && leaseMarginMs && leaseMarginMs < leaseMs * clockDriftRatio) {
    faults.push(
      `--lease-margin of ${
        formatDuration(leaseMarginMs)
      } does not cover the drift of two clocks over --lease; make it longer`,
    );
  }
  if (
    leaseMs && renewEveryMs && leaseMarginMs &&
    2 * renewEveryMs + leaseMarginMs > leaseMs
  ) {
    faults.push(
      `--lease of ${
        formatDuration(leaseMs)
      } leaves no time for a second renewal; make it at least twice --renew-every and --lease-margin together`,
    );
  }
  if (grantMs && grantEveryMs && 2 * grantEveryMs > grantMs) {
    faults.push(
      `--grant of ${
        formatDuration(grantMs)
      } leaves no time for a second renewal; make it at least twice --grant-every`,
    );
  }
  if (epochMs && maxChangeWaitMs && epochMs < 2 * maxChangeWaitMs) {
    faults.push(
      `--epoch of ${
        formatDuration(epochMs)
      } ends before a waiting request is served; make it at least twice --max-change-wait`,
    );
  }
  return faults;
}

const TIMING_SETTINGS = {
  leaseMs: "lease",
  renewEveryMs: "renewEvery",
  leaseMarginMs: "leaseMargin",
  standingMs: "standing",
  clockDriftRatio: "clockDriftRatio",
  grantMs: "grant",
  grantEveryMs: "grantEvery",
  targetSuspectMs: "targetSuspect",
  uncheckedMaxRunMs: "uncheckedMaxRun",
  connectionLingerMs: "connectionLinger",
  listEveryMs: "listEvery",
  planEveryMs: "planEvery",
  epochMs: "epoch",
  checkpointEveryRecords: "checkpointEveryRecords",
  maxChangeWaitMs: "maxChangeWait",
} as const satisfies Readonly<Record<keyof ControlTiming, SettingName>>;

function toTiming(values: ReadonlyMap<SettingName, unknown>): PartialTiming {
  return Object.fromEntries(
    Object.entries(TIMING_SETTINGS).flatMap(([field, name]) => {
      const value = values.get(name);
      return value === undefined ? [] : [[field, value]];
    }),
  );
}

function toInstanceSettings(
  values: SettingValues,
  suffix: string,
): InstanceSettings {
  const timing = toTiming(
    new Map(Object.entries(values) as Iterable<
      [SettingName, unknown]
    >),
  ) as ControlTiming;
  return Object.freeze({
    instanceId: `${values.instanceName}-${suffix}`,
    dataCentre: values.dataCentre,
    httpHost: values.httpHost,
    httpPort: values.httpPort,
    peerHost: values.peerHost,
    peerPort: values.peerPort,
    logUrl: values.logUrl,
    instanceListUrl: values.instanceListUrl,
    logStream: values.logStream,
    checkpointStream: values.checkpointStream,
    logLevel: values.logLevel,
    timing: Object.freeze(timing),
  });
}
