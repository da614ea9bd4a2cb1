/** `lentilspur serve`: runs one instance until it is asked to stop. */
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
import { resolveSettings, type SettingTexts } from "../setting_values.ts";

/** Characters of a random id that make an instance's id new. */
const SUFFIX_CHARACTERS = 8;

export function createServeCommand(context: CommandContext) {
  return command({
    name: "serve",
    description:
      "Run one instance. SIGTERM or SIGINT stops it gracefully: it leaves the balancer, hands its targets over, finishes every request in progress and exits with 0. An instance that others took over while it was paused exits with 6, so that a new one is started. Each setting is a flag or an environment variable; the flag goes first",
    examples: [
      {
        description: "An instance in Bole",
        command:
          "lentilspur serve --data-centre Bole --http-host 10.0.3.7 --peer-host 10.0.3.7 --log-url http://10.0.0.5:7000 --instance-list-url http://10.0.0.5:7001",
      },
    ],
    args: createSettingOptions(),
    handler: (flags): Promise<ExitCode> => runInstance(context, flags),
  });
}

/** The environment and defaults are resolved with all settings together. */
function createSettingOption(name: SettingName) {
  const { description, fallback }: Setting<unknown> = SETTINGS[name];
  const long = getFlagName(name);
  const otherwise = fallback === undefined
    ? "required"
    : `default: ${fallback}`;
  const topic = {
    category: "options",
    usage: `--${long} <value>`,
    defaults: [`env: ${getVariableName(name)}`, otherwise],
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
  flags: SettingTexts["flags"],
): Promise<ExitCode> {
  const suffix = context.mintId().slice(0, SUFFIX_CHARACTERS);
  const texts = { flags, environment: context.environment };
  const settings = resolveSettings(texts, suffix);
  if (!settings.ok) {
    settings.val.forEach((fault) => context.printError(fault));
    context.printError(`${settings.val.length} faults; nothing was started`);
    return EXIT_CODES.usage;
  }
  const { instanceId } = settings.val;
  // Listens before the start, so that a signal during it is not missed.
  const stopping = context.waitForStop();
  const started = await Promise.race([
    context.startInstance(settings.val),
    stopping.then(() => undefined),
  ]);
  if (started === undefined) {
    // The log may be down, and then the instance cannot join; it serves nobody
    // yet, so there is nothing to finish.
    context.printError(`Instance ${instanceId} was stopped before it joined`);
    return EXIT_CODES.done;
  }
  if (!started.ok) {
    context.printError(`Instance ${instanceId} cannot start: ${started.val}`);
    return EXIT_CODES.unavailable;
  }
  const { httpAddress, peerAddress } = started.val;
  // Standard output belongs to the log lines, which are JSON.
  context.printError(
    `Instance ${instanceId} answers callers on ${httpAddress}, peers on ${peerAddress}`,
  );
  const reason = await Promise.race([
    stopping.then(() => "asked" as const),
    started.val.ended,
  ]);
  if (reason === "taken-over") {
    context.printError(
      `Instance ${instanceId} was taken over while it did not run; start a new one`,
    );
    return EXIT_CODES.takenOver;
  }
  context.printError(`Instance ${instanceId} finishes its work and stops`);
  await started.val.stop();
  return EXIT_CODES.done;
}
