/** Options shared by the commands that read or write the store. */
import { formatDuration, parseDuration } from "@lentilspur/declarations/units";
import { extendType, option, optional, string } from "cmd-ts";
import type { CommandContext } from "./command_context.ts";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";
import { addressSchema } from "./setting_schemas.ts";
import { describeStoreFailure, StoreSession } from "./store_session.ts";

const addressType = extendType(string, {
  displayName: "host:port",
  from: (text): Promise<string> => {
    const parsed = addressSchema.safeParse(text);
    return parsed.success ? Promise.resolve(parsed.data) : Promise.reject(
      new Error(`"${text}" is not ${parsed.error.issues[0]?.message}`),
    );
  },
});

const STORE_OPTION = {
  long: "store",
  env: "LENTILSPUR_STORE",
  description: "Address of the platform's store, such as 127.0.0.1:7000",
};

export const storeOption = option({ ...STORE_OPTION, type: addressType });

export const optionalStoreOption = option({
  ...STORE_OPTION,
  type: optional(addressType),
});

/** Parses a duration with its unit, such as `10s`, to milliseconds. */
const durationType = extendType(string, {
  displayName: "duration",
  description: "a whole number with ms, s, min or h",
  from: (text): Promise<number> => {
    const ms = parseDuration(text);
    return ms === undefined
      ? Promise.reject(
        new Error(
          `"${text}" is not a duration; use a whole number and a unit, such as 500ms or 10s`,
        ),
      )
      : Promise.resolve(ms);
  },
});

export function createDurationOption(
  long: string,
  description: string,
  defaultMs: number,
) {
  return option({
    long,
    type: durationType,
    description: `${description} (default: ${formatDuration(defaultMs)})`,
    defaultValue: () => defaultMs,
    defaultValueIsSerializable: false,
  });
}

/**
 * Opens the store, reads the latest publication and the evacuations, calls
 * `action` and closes the store.
 */
export async function runWithStore(
  context: CommandContext,
  address: string,
  action: (session: StoreSession) => Promise<ExitCode>,
): Promise<ExitCode> {
  const store = context.openStore(address);
  try {
    const session = new StoreSession(store);
    const read = await session.readPublicationAndEvacuations();
    if (!read.ok) {
      context.printError(describeStoreFailure(read.val));
      return EXIT_CODES.unavailable;
    }
    return await action(session);
  } finally {
    store.close();
  }
}
