/**
 * Writes structured lines to standard output, in bounded memory and without
 * waiting.
 *
 * Guards against logging that delays requests. Lines are buffered and written
 * together. When the process that reads standard output falls behind, or more
 * lines come than a second's limit, lines are dropped and counted, and the
 * count is written as soon as there is room. Lines about failures have a limit
 * of their own, so a flood of successes hides none of them.
 */
import winston from "winston";
import type { Clock } from "@lentilspur/ports/clock";

/** Fields of one event. None may replace a field that every line has. */
export type LogFields =
  & Readonly<Record<string, unknown>>
  & { readonly [Name in CommonField]?: never };

type CommonField = "time" | "elapsedMs" | "sequence" | "event";

/**
 * `routine` is for successes, `notable` for failures and changes. `repeated` is
 * for requests that run at most once and are sent more than once: their lines
 * prove that the earlier sends did not run. `unreadable` is for records of other
 * programs, whose number nothing bounds.
 */
export type LogPriority = "routine" | "notable" | "repeated" | "unreadable";

export interface StructuredLoggerOptions {
  readonly clock: Clock;
  readonly instance: string;
  readonly incarnation: string;
  /** Standard output, except in tests. */
  readonly stream: NodeJS.WritableStream;
}

/** Lines logged within this time are written together, to save calls. */
const FLUSH_DELAY_MS = 100;
/**
 * Maximum lines of each priority in a second. The limit of routine lines is
 * twice the 75 requests a second that an instance takes.
 */
const MAX_PER_SECOND: Readonly<Record<LogPriority, number>> = {
  routine: 150,
  notable: 300,
  repeated: 300,
  unreadable: 10,
};
/** Maximum bytes that are buffered while nothing reads standard output. */
const MAX_UNWRITTEN_BYTES = 512 * 1024;

export class StructuredLogger {
  readonly #options: StructuredLoggerOptions;
  readonly #winston: winston.Logger;
  readonly #countInSecond = createCounts();
  readonly #dropped = createCounts();
  #secondStartedAtMs = -Infinity;
  /** Number of dropped lines that have been reported. */
  #reportedDrops = 0;
  #sequence = 0;
  #buffer: string[] = [];

  constructor(options: StructuredLoggerOptions) {
    this.#options = options;
    // Without a listener, the error of a write that nobody reads any more would
    // end the process.
    options.stream.on("error", () => {});
    this.#winston = winston.createLogger({
      format: winston.format.printf((info) => String(info.message)),
      transports: [
        new winston.transports.Stream({ stream: options.stream }),
      ],
    });
  }

  get droppedCount(): number {
    const { routine, notable, repeated, unreadable } = this.#dropped;
    return routine + notable + repeated + unreadable;
  }

  log(event: string, priority: LogPriority, fields: LogFields): void {
    if (!this.#takeAllowance(priority)) {
      this.#dropped[priority]++;
      return;
    }
    this.#add(event, fields);
  }

  /** Writes the buffered lines. */
  flush(): void {
    if (this.#buffer.length > 0) {
      const text = this.#buffer.join("\n");
      this.#buffer = [];
      this.#winston.info(text);
    }
  }

  #add(event: string, fields: LogFields): void {
    if (this.#buffer.length === 0) {
      setTimeout(() => this.flush(), FLUSH_DELAY_MS).unref();
    }
    const { clock, instance, incarnation } = this.#options;
    this.#sequence++;
    this.#buffer.push(JSON.stringify({
      time: new Date().toISOString(),
      elapsedMs: Math.round(clock.readMs() * 10) / 10,
      instance,
      incarnation,
      sequence: this.#sequence,
      event,
      ...fields,
    }));
  }

  #takeAllowance(priority: LogPriority): boolean {
    const nowMs = this.#options.clock.readMs();
    if (nowMs - this.#secondStartedAtMs >= 1_000) {
      this.#startSecond(nowMs);
    }
    const limit = MAX_PER_SECOND[priority];
    const unwritten = this.#getUnwrittenBytes();
    if (
      unwritten > MAX_UNWRITTEN_BYTES || this.#countInSecond[priority] >= limit
    ) {
      return false;
    }
    this.#countInSecond[priority]++;
    return true;
  }

  #startSecond(nowMs: number): void {
    this.#secondStartedAtMs = nowMs;
    Object.assign(this.#countInSecond, createCounts());
    if (this.droppedCount > this.#reportedDrops) {
      this.#reportedDrops = this.droppedCount;
      this.#add("lines-dropped", { ...this.#dropped });
    }
  }

  #getUnwrittenBytes(): number {
    return (this.#options.stream as NodeJS.WriteStream).writableLength ?? 0;
  }
}

function createCounts(): Record<LogPriority, number> {
  return { routine: 0, notable: 0, repeated: 0, unreadable: 0 };
}
