/**
 * Resolves flags and environment variables to the settings of one instance.
 * Reports all faults at once, so that an operator need not restart the process
 * for each of them.
 */
import {
  computeCallerMemoryBytes,
  computeMaxCallerConnections,
  computeReadAheadBytes,
  DEFAULT_DESCRIPTORS,
  DEFAULT_MEMORY_MB,
  type ResolvedGatewaySettings,
} from "@lentilspur/gateway/gateway_settings";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import { MIN_GRACE_PERIOD_MS } from "@lentilspur/gateway/entry/graceful_shutdown";
import {
  ANY_ADDRESS,
  getFlagName,
  getVariableName,
  listSettingNames,
  type Setting,
  type SettingName,
  SETTINGS,
  type SettingValues,
} from "./setting_table.ts";

export interface RawSettings {
  /** Values of flags, which take precedence over the environment. */
  readonly flags: Readonly<Partial<Record<SettingName, string | undefined>>>;
  readonly environment: Readonly<Record<string, string | undefined>>;
}

/** Environment variables that other commands read. */
const OTHER_VARIABLES: readonly string[] = ["LENTILSPUR_OPERATOR"];

/** The settings that `lentilspur serve` starts an instance with. */
export interface ServeSettings {
  readonly gateway: ResolvedGatewaySettings;
  readonly storeAddress: string;
  /** Number of partitions of each store topic. */
  readonly topicParts: number;
  /** Local address of connections to targets, if it is set. */
  readonly sourceAddress?: string;
}

/** On failure, returns a sentence for each fault. */
export function resolveSettings(
  rawSettings: RawSettings,
): Result<ServeSettings, readonly string[]> {
  const faults = [...listUnknownVariables(rawSettings.environment)];
  const values = new Map<SettingName, unknown>();
  for (const name of listSettingNames()) {
    const resolved = resolveSetting(name, rawSettings);
    if (resolved.ok) {
      values.set(name, resolved.val);
    } else {
      faults.push(resolved.val);
    }
  }
  faults.push(...listTimingFaults(values));
  if (faults.length > 0) {
    return Err(faults);
  }
  const complete = Object.fromEntries(values) as SettingValues;
  return Ok(toServeSettings(complete));
}

function resolveSetting(
  name: SettingName,
  { flags, environment }: RawSettings,
): Result<unknown, string> {
  const setting: Setting<unknown> = SETTINGS[name];
  const flag = `--${getFlagName(name)}`;
  const variable = getVariableName(name);
  const [source, given] = flags[name] === undefined
    ? [variable, environment[variable]]
    : [flag, flags[name]];
  const text = given ?? setting.fallback;
  if (text === undefined) {
    return Err(
      `${flag} or ${variable} is missing: ${setting.description}`,
    );
  }
  const parsed = setting.schema.safeParse(text);
  if (parsed.success) {
    return Ok(parsed.data);
  }
  const allowed = parsed.error.issues[0]?.message ?? "another value";
  return Err(`${source} is ${JSON.stringify(text)}; expected ${allowed}`);
}

/**
 * Reports misspelt variables, whose settings would otherwise keep their
 * defaults without notice.
 */
function listUnknownVariables(
  environment: RawSettings["environment"],
): readonly string[] {
  const known = [
    ...listSettingNames().map(getVariableName),
    ...OTHER_VARIABLES,
  ];
  return Object.keys(environment)
    .filter((variable) => variable.startsWith("LENTILSPUR_"))
    .filter((variable) => !known.includes(variable))
    .map((variable) =>
      `${variable} is not a setting; lentilspur serve --help lists all settings`
    );
}

/** Checks that requests in progress can finish before the process is killed. */
function listTimingFaults(
  values: ReadonlyMap<SettingName, unknown>,
): readonly string[] {
  const gracePeriod = values.get("gracePeriod");
  const faults: string[] = [];
  if (typeof gracePeriod === "number" && gracePeriod < MIN_GRACE_PERIOD_MS) {
    faults.push(
      `--grace-period is shorter than the ${MIN_GRACE_PERIOD_MS} ms in which requests in progress are finished; make it longer`,
    );
  }
  return faults;
}

function toServeSettings(values: SettingValues): ServeSettings {
  return Object.freeze({
    gateway: Object.freeze({
      instance: values.instanceName,
      dataCentre: values.dataCentre,
      cores: values.cores,
      readAheadBytes: computeReadAheadBytes(DEFAULT_MEMORY_MB),
      maxCallerConnections: computeMaxCallerConnections(DEFAULT_DESCRIPTORS),
      callerMemoryBytes: computeCallerMemoryBytes(DEFAULT_MEMORY_MB),
      host: values.host,
      requestPort: values.port,
      readyPort: values.statusPort,
      metricsPort: values.metricsPort,
      peerPort: values.peerPort,
      retryLimits: Object.freeze({
        ratio: values.retryRatio,
        reserve: values.retryReserve,
        windowMs: values.retryWindow,
      }),
      maxHoldMs: values.maxHold,
      drainMs: values.drain,
      evacuationMs: values.evacuation,
      gracePeriodMs: values.gracePeriod,
      minMemberTtlMs: values.minMemberTtl,
    }),
    storeAddress: values.store,
    topicParts: values.storeParts,
    ...(values.sourceAddress === ANY_ADDRESS
      ? {}
      : { sourceAddress: values.sourceAddress }),
  });
}
