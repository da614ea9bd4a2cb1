/** Parses the log lines that instances write. */
import { z } from "zod";

const lineSchema = z.looseObject({
  time: z.string(),
  elapsedMs: z.number(),
  instance: z.string(),
  /** Random id that is new at each start of the process. */
  incarnation: z.string(),
  /** Consecutive number of the line within its incarnation. */
  sequence: z.int(),
  event: z.string(),
});

export type LogLine = Readonly<z.output<typeof lineSchema>>;

/** One send of a request to a target. */
const sendSchema = z.looseObject({
  requestId: z.string(),
  attempt: z.int(),
  service: z.string(),
  targetId: z.string(),
  idempotent: z.boolean(),
  key: z.int().optional(),
  token: z.int().optional(),
  outcome: z.enum(["answered", "not-run", "unknown"]),
  cause: z.string().optional(),
  /** What proves that the request has not run. */
  proof: z.string().optional(),
  /** The connection that carried the request. */
  trace: z.looseObject({
    connection: z.int(),
    position: z.int(),
    writtenBytes: z.number(),
  }).optional(),
  status: z.int().optional(),
  waitedMs: z.number(),
  tookMs: z.number(),
});

export type SendLine = LogLine & Readonly<z.output<typeof sendSchema>>;

/** The final outcome of a request, as reported to the caller. */
const finalSchema = z.looseObject({
  requestId: z.string(),
  outcome: z.string(),
  status: z.int().optional(),
  message: z.string().optional(),
  retryAfterMs: z.number().optional(),
  /** Number of sends, including those by other instances. */
  sends: z.int().optional(),
  tookMs: z.number().optional(),
});

export type FinalLine = LogLine & Readonly<z.output<typeof finalSchema>>;

/** Log lines of one or more files. */
export interface ParsedLines {
  readonly lines: readonly LogLine[];
  /** Number of non-empty lines that are not log lines of an instance. */
  readonly unreadableCount: number;
}

/**
 * Parses log files line by line, counts the lines that are not log lines, and
 * sorts the rest by time, those of one incarnation by sequence number.
 */
export function parseLines(texts: readonly string[]): ParsedLines {
  const lines: LogLine[] = [];
  let unreadableCount = 0;
  for (const text of texts.flatMap((each) => each.split("\n"))) {
    if (text.trim() === "") {
      continue;
    }
    const line = parseLine(text);
    if (line === undefined) {
      unreadableCount++;
    } else {
      lines.push(line);
    }
  }
  lines.sort((left, right) =>
    left.incarnation === right.incarnation
      ? left.sequence - right.sequence
      : left.time < right.time
      ? -1
      : left.time > right.time
      ? 1
      : 0
  );
  return { lines, unreadableCount };
}

export function toSendLine(line: LogLine): SendLine | undefined {
  const parsed = line.event === "send" ? sendSchema.safeParse(line) : undefined;
  return parsed?.success === true ? { ...line, ...parsed.data } : undefined;
}

export function toFinalLine(line: LogLine): FinalLine | undefined {
  const parsed = line.event === "final"
    ? finalSchema.safeParse(line)
    : undefined;
  return parsed?.success === true ? { ...line, ...parsed.data } : undefined;
}

function parseLine(text: string): LogLine | undefined {
  try {
    return lineSchema.safeParse(JSON.parse(text)).data;
  } catch {
    // Not JSON; `parseLines` counts the line as unreadable.
    return undefined;
  }
}
