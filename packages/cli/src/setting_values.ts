/**
 * From flags and environment to the settings of one instance, or to all that
 * is wrong with them at once: a person who starts a process should not have to
 * start it once for each fault.
 */
import type { ResolvedGatewaySettings } from "@lentilspur/gateway/gateway_settings";
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import { MIN_GRACE_PERIOD_MS } from "@lentilspur/gateway/entry/graceful_shutdown";
import {
  getFlagName,
  getVariableName,
  listSettingNames,
  type Setting,
  type SettingName,
  SETTINGS,
  type SettingValues,
} from "./setting_table.ts";

export interface RawSettings {
  /** Given flags; they go before the environment. */
  readonly flags: Readonly<Partial<Record<SettingName, string | undefined>>>;
  readonly environment: Readonly<Record<string, string | undefined>>;
}

/** Variables that other commands read. */
const OTHER_VARIABLES: readonly string[] = ["LENTILSPUR_OPERATOR"];

/** What one instance that goes by declarations is started with. */
export interface ServeSettings {
  readonly gateway: ResolvedGatewaySettings;
  readonly storeAddress: string;
  /** Partitions that a topic has. */
  readonly topicParts: number;
}

/** The failures are sentences. */
export function resolveSettings(
  texts: RawSettings,
): Result<ServeSettings, readonly string[]> {
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
      `${variable} is no setting; lentilspur serve --help lists them`
    );
}

/** Relations without which a stop fails in ordinary operation. */
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
  });
}
