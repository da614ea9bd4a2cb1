/** Options that every command shares which reads or writes the log. */
import { formatDuration, parseDuration } from "@lentilspur/declarations/units";
import { extendType, option, string } from "cmd-ts";
import type { z } from "zod";
import type { Result } from "@lentilspur/outcomes/result";
import type { LogFailure } from "@lentilspur/ports/log";
import type { CommandContext } from "./command_context.ts";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";
import { describeLogFailure, LogSession } from "./log_session.ts";
import { streamSchema, urlSchema } from "./setting_schemas.ts";

export const DEFAULT_LOG_STREAM = "lentilspur";
export const DEFAULT_CHECKPOINT_STREAM = "lentilspur-checkpoints";

export interface LogOptions {
  readonly logUrl: string;
  readonly logStream: string;
  readonly checkpointStream: string;
}

export const urlType = createSchemaType("url", urlSchema);

const streamType = createSchemaType("stream", streamSchema);

export const logOptions = {
  logUrl: option({
    long: "log-url",
    env: "LENTILSPUR_LOG_URL",
    type: urlType,
    description: "The platform's log, such as http://127.0.0.1:7000",
  }),
  logStream: option({
    long: "log-stream",
    env: "LENTILSPUR_LOG_STREAM",
    type: streamType,
    description: "The log's stream of records",
    defaultValue: () => DEFAULT_LOG_STREAM,
    defaultValueIsSerializable: true,
  }),
  checkpointStream: option({
    long: "checkpoint-stream",
    env: "LENTILSPUR_CHECKPOINT_STREAM",
    type: streamType,
    description: "The log's stream of checkpoints",
    defaultValue: () => DEFAULT_CHECKPOINT_STREAM,
    defaultValueIsSerializable: true,
  }),
};

/** A duration with its unit, such as `10s`; milliseconds inside. */
export const durationType = extendType(string, {
  displayName: "duration",
  description: "a whole number with ms, s, min or h",
  from: (text): Promise<number> => {
    const ms = parseDuration(text);
    return ms === undefined
      ? Promise.reject(
        new Error(`"${text}" is no duration, write it such as 500ms or 10s`),
      )
      : Promise.resolve(ms);
  },
});

/** Makes an option for a duration with a default. */
export function createDurationOption(
  long: string,
  description: string,
  defaultMs: number,
) {
  return option({
    long,
    type: durationType,
    description: `${description} (${formatDuration(defaultMs)} if left out)`,
    defaultValue: () => defaultMs,
    defaultValueIsSerializable: false,
  });
}

/** The type of an option that a setting's schema checks. */
function createSchemaType(
  displayName: string,
  schema: z.ZodType<string, string>,
) {
  return extendType(string, {
    displayName,
    from: (text): Promise<string> => {
      const parsed = schema.safeParse(text);
      return parsed.success ? Promise.resolve(parsed.data) : Promise.reject(
        new Error(`"${text}" is not ${parsed.error.issues[0]?.message}`),
      );
    },
  });
}

export interface ReadingOptions {
  /**
   * `checkpoint` reads little and shows the state; `oldest` reads every record
   * that the log still holds, and shows the publications among them.
   */
  readonly from?: "checkpoint" | "oldest";
}

/** Reads the log to its end, lets `act` work on it, and closes the log. */
export async function runWithLog(
  context: CommandContext,
  options: LogOptions & ReadingOptions,
  act: (session: LogSession) => Promise<ExitCode>,
): Promise<ExitCode> {
  const log = context.openLog(options.logUrl);
  try {
    const session = new LogSession({
      log,
      stream: options.logStream,
      checkpointStream: options.checkpointStream,
      clock: context.clock,
    });
    const read = await readSession(session, options.from ?? "checkpoint");
    if (!read.ok) {
      context.printError(describeLogFailure(read.val));
      return EXIT_CODES.unavailable;
    }
    return await act(session);
  } finally {
    log.close();
  }
}

async function readSession(
  session: LogSession,
  from: "checkpoint" | "oldest",
): Promise<Result<void, LogFailure>> {
  if (from === "checkpoint") {
    const restored = await session.restoreCheckpoint();
    if (!restored.ok) {
      return restored;
    }
  }
  return await session.readToEnd();
}
