/** `lentilspur serve`: runs one instance until a signal stops it. */
import { command, option, optional, string } from "cmd-ts";
import type { CommandContext } from "../command_context.ts";
import { EXIT_CODES, type ExitCode } from "../exit_codes.ts";
import {
  getFlagName,
  getVariableName,
  listSettingNames,
  type Setting,
  type SettingName,
  SETTINGS,
} from "../setting_table.ts";
import { type RawSettings, resolveSettings } from "../setting_values.ts";

export function createServeCommand(context: CommandContext) {
  return command({
    name: "serve",
    description:
      "Run one instance. SIGTERM, SIGINT or SIGHUP stops it gracefully: it leaves the load balancer, hands over its duties, finishes every request in progress and exits with 0. Each setting is a flag or an environment variable; the flag takes precedence",
    examples: [
      {
        description: "An instance in Bole",
        command:
          "lentilspur serve --instance-name bole-1 --data-centre Bole --host 10.0.3.7 --store 10.0.0.5:7000",
      },
    ],
    args: createSettingOptions(),
    handler: (flags): Promise<ExitCode> => runInstance(context, flags),
  });
}

/**
 * Creates an optional flag: `resolveSettings` applies the environment and
 * defaults.
 */
function createSettingOption(name: SettingName) {
  const { description, fallback }: Setting<unknown> = SETTINGS[name];
  const long = getFlagName(name);
  const defaultText = fallback === undefined
    ? "required"
    : `default: ${fallback}`;
  const topic = {
    category: "options",
    usage: `--${long} <value>`,
    defaults: [`env: ${getVariableName(name)}`, defaultText],
    description,
  };
  return {
    ...option({ long, type: optional(string), description }),
    helpTopics: () => [topic],
  };
}

type SettingOptions = Readonly<
  Record<SettingName, ReturnType<typeof createSettingOption>>
>;

function createSettingOptions(): SettingOptions {
  return Object.fromEntries(
    listSettingNames().map((name) => [name, createSettingOption(name)]),
  ) as SettingOptions;
}

async function runInstance(
  context: CommandContext,
  flags: RawSettings["flags"],
): Promise<ExitCode> {
  const rawSettings = { flags, environment: context.environment };
  const settings = resolveSettings(rawSettings);
  if (!settings.ok) {
    settings.val.forEach((fault) => context.printError(fault));
    context.printError(`${settings.val.length} faults; nothing was started`);
    return EXIT_CODES.usage;
  }
  const { instance } = settings.val.gateway;
  // Listens for signals first, so that one during the start is not lost.
  const stopping = context.waitForStopSignal();
  const started = await context.startInstance(settings.val);
  if (!started.ok) {
    context.printError(`Instance ${instance} cannot start: ${started.val}`);
    return EXIT_CODES.unavailable;
  }
  const { host, ports } = started.val;
  // Goes to standard error, because standard output carries the JSON log lines.
  context.printError(
    `Instance ${instance} answers callers on ${host}:${ports.request}, says how it is on ${host}:${ports.status}, metrics on ${host}:${ports.metrics}/metrics`,
  );
  await stopping;
  context.printError(
    `Instance ${instance} finishes the requests in progress and stops`,
  );
  await started.val.stop();
  return EXIT_CODES.done;
}
