/** `lentilspur evacuate` and `restore`: takes a data centre out of use, and back. */
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
  description: "As targets name it in their entries",
});

export function createEvacuateCommand(context: CommandContext) {
  return createEvacuationCommand(context, {
    name: "evacuate",
    description:
      "Send nothing more to the targets of a data centre; their keys move to the others",
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
  { isEvacuated, ...texts }: {
    readonly name: string;
    readonly description: string;
    readonly isEvacuated: boolean;
  },
) {
  return command({
    ...texts,
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
      `No target stands in "${dataCentre}"; name one of: ${
        known.val.join(", ") || "none has targets"
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
  const written = await session.appendEvacuation(
    dataCentre,
    isEvacuated
      ? { operator, at: context.readWallClock().toISOString() }
      : null,
  );
  if (!written.ok) {
    context.printError(describeStoreFailure(written.val));
    context.printError("Give the same command again; it does no harm twice");
    return written.val.kind === "unavailable"
      ? EXIT_CODES.unknown
      : EXIT_CODES.unavailable;
  }
  const order = isEvacuated ? "evacuation" : "return to use";
  context.print(`The ${order} of data centre ${dataCentre} is accepted`);
  context.print("lentilspur status shows which instances have seen it");
  return EXIT_CODES.done;
}
