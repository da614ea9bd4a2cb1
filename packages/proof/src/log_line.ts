/** The lines that instances write, read back. */
import { z } from "zod";

const lineSchema = z.looseObject({
  time: z.string(),
  elapsedMs: z.number(),
  instance: z.string(),
  /** Drawn anew at each start of the process. */
  incarnation: z.string(),
  /** Counts the lines of one incarnation, without gaps. */
  sequence: z.int(),
  event: z.string(),
});

export type LogLine = Readonly<z.output<typeof lineSchema>>;

/** One attempt to have a target run a request. */
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
  status: z.int().optional(),
  waitedMs: z.number(),
  tookMs: z.number(),
});

export type SendLine = LogLine & Readonly<z.output<typeof sendSchema>>;

/** What the caller was told. */
const finalSchema = z.looseObject({
  requestId: z.string(),
  outcome: z.string(),
  status: z.int().optional(),
  message: z.string().optional(),
  retryAfterMs: z.number().optional(),
  tookMs: z.number().optional(),
});

export type FinalLine = LogLine & Readonly<z.output<typeof finalSchema>>;

/** Lines as they stand in one or more files. */
export interface ParsedLines {
  readonly lines: readonly LogLine[];
  /** What stood between them and is no line of an instance. */
  readonly unreadableCount: number;
}

/** In the order of time, those of one incarnation in their own order. */
export function parseLines(texts: readonly string[]): ParsedLines {
  const lines: LogLine[] = [];
  let unreadable = 0;
  for (const text of texts.flatMap((each) => each.split("\n"))) {
    if (text.trim() === "") {
      continue;
    }
    const line = parseLine(text);
    if (line === undefined) {
      unreadable++;
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
  return { lines, unreadableCount: unreadable };
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
    // Not JSON; the caller counts it.
    return undefined;
  }
}
