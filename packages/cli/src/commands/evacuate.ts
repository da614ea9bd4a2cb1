/**
 * `lentilspur evacuate` and `restore`: take a data centre out of use and put it
 * back into use.
 */
import { command, positional, string } from "cmd-ts";
import type { CommandContext } from "../command_context.ts";
import { EXIT_CODES, type ExitCode } from "../exit_codes.ts";
import { operatorOption } from "../operator_option.ts";
import { runWithStore, storeOption } from "../store_options.ts";
import { describeStoreFailure, type StoreSession } from "../store_session.ts";

interface EvacuationRequest {
  readonly dataCentre: string;
  readonly operator: string;
  readonly isEvacuated: boolean;
}

const dataCentreArgument = positional({
  type: string,
  displayName: "DATA-CENTRE",
  description:
    "Name of the data centre, as in the targets' entries in the store",
});

export function createEvacuateCommand(context: CommandContext) {
  return createEvacuationCommand(context, {
    name: "evacuate",
    description:
      "Stop sending requests to the targets of a data centre; their keys move to targets elsewhere",
    isEvacuated: true,
  });
}

export function createRestoreCommand(context: CommandContext) {
  return createEvacuationCommand(context, {
    name: "restore",
    description: "Use the targets of an evacuated data centre again",
    isEvacuated: false,
  });
}

function createEvacuationCommand(
  context: CommandContext,
  { isEvacuated, ...commandInfo }: {
    readonly name: string;
    readonly description: string;
    readonly isEvacuated: boolean;
  },
) {
  return command({
    ...commandInfo,
    args: {
      dataCentre: dataCentreArgument,
      operator: operatorOption,
      store: storeOption,
    },
    handler: ({ store, ...request }): Promise<ExitCode> =>
      runWithStore(
        context,
        store,
        (session) =>
          writeEvacuation(context, session, { ...request, isEvacuated }),
      ),
  });
}

async function writeEvacuation(
  context: CommandContext,
  session: StoreSession,
  request: EvacuationRequest,
): Promise<ExitCode> {
  const { dataCentre, isEvacuated } = request;
  if (session.evacuated.includes(dataCentre) === isEvacuated) {
    const state = isEvacuated ? "evacuated already" : "not evacuated";
    context.print(`Data centre ${dataCentre} is ${state}`);
    return EXIT_CODES.done;
  }
  const known = isEvacuated ? await session.listDataCentres() : undefined;
  if (known?.ok === false) {
    context.printError(describeStoreFailure(known.val));
    return EXIT_CODES.unavailable;
  }
  if (known !== undefined && !known.val.includes(dataCentre)) {
    context.printError(
      `No target is in data centre "${dataCentre}"; name one of: ${
        known.val.join(", ") || "no data centre has targets"
      }`,
    );
    return EXIT_CODES.refused;
  }
  return await appendEvacuation(context, session, request);
}

async function appendEvacuation(
  context: CommandContext,
  session: StoreSession,
  { dataCentre, operator, isEvacuated }: EvacuationRequest,
): Promise<ExitCode> {
  const appended = await session.appendEvacuation(
    dataCentre,
    isEvacuated
      ? { operator, at: context.readWallClock().toISOString() }
      : null,
  );
  if (!appended.ok) {
    context.printError(describeStoreFailure(appended.val));
    context.printError("Run the same command again; repeating it is safe");
    return appended.val.kind === "unavailable"
      ? EXIT_CODES.unknown
      : EXIT_CODES.unavailable;
  }
  const operation = isEvacuated ? "evacuation" : "return to use";
  context.print(`The ${operation} of data centre ${dataCentre} is accepted`);
  context.print("lentilspur status shows which instances have applied it");
  return EXIT_CODES.done;
}
