/**
 * Structured lines on standard output, bounded and never waited for.
 *
 * Guards against a log that takes the time of requests: lines are gathered and
 * written together; when the reader of standard output falls behind, or more
 * come than a second's allowance, ordinary lines are dropped and counted, and
 * the count is written as soon as there is room. Lines that tell of a failure
 * have an allowance of their own, so a flood of successes hides none of them.
 */
import winston from "winston";
import type { Clock } from "@lentilspur/ports/clock";

/** Fields of one event. None of them may hide those that every line has. */
export type LogFields =
  & Readonly<Record<string, unknown>>
  & { readonly [Name in CommonField]?: never };

type CommonField = "time" | "elapsedMs" | "sequence" | "event";

/** `routine` tells of what went well, `notable` of what did not or changed. */
export type LogPriority = "routine" | "notable";

export interface StructuredLoggerOptions {
  readonly clock: Clock;
  readonly instance: string;
  readonly incarnation: string;
  /** Standard output, but for tests. */
  readonly stream: NodeJS.WritableStream;
}

/** Lines that come within this long are written together; saves a call each. */
const GATHER_MS = 100;
/** Twice the requests that a node of today's size takes. */
const ROUTINE_PER_SECOND = 150;
const NOTABLE_PER_SECOND = 300;
/** What may lie unwritten at a reader that has stopped. */
const MAX_UNWRITTEN_BYTES = 512 * 1024;

export class StructuredLogger {
  readonly #options: StructuredLoggerOptions;
  readonly #winston: winston.Logger;
  readonly #written = { routine: 0, notable: 0 };
  readonly #dropped = { routine: 0, notable: 0 };
  #secondStartedAtMs = -Infinity;
  /** Dropped lines that have been told of. */
  #reported = 0;
  #sequence = 0;
  #lines: string[] = [];

  constructor(options: StructuredLoggerOptions) {
    this.#options = options;
    this.#winston = winston.createLogger({
      format: winston.format.printf((info) => String(info.message)),
      transports: [
        new winston.transports.Stream({ stream: options.stream }),
      ],
    });
  }

  /** Lines that were dropped so far. */
  get droppedCount(): number {
    return this.#dropped.routine + this.#dropped.notable;
  }

  log(event: string, weight: LogPriority, fields: LogFields): void {
    if (!this.#claim(weight)) {
      this.#dropped[weight]++;
      return;
    }
    this.#add(event, fields);
  }

  /** Writes what has been gathered. */
  flush(): void {
    if (this.#lines.length > 0) {
      const text = this.#lines.join("\n");
      this.#lines = [];
      this.#winston.info(text);
    }
  }

  #add(event: string, fields: LogFields): void {
    if (this.#lines.length === 0) {
      setTimeout(() => this.flush(), GATHER_MS).unref();
    }
    const { clock, instance, incarnation } = this.#options;
    this.#sequence++;
    this.#lines.push(JSON.stringify({
      time: new Date().toISOString(),
      elapsedMs: Math.round(clock.readMs() * 10) / 10,
      instance,
      incarnation,
      sequence: this.#sequence,
      event,
      ...fields,
    }));
  }

  #claim(weight: LogPriority): boolean {
    const nowMs = this.#options.clock.readMs();
    if (nowMs - this.#secondStartedAtMs >= 1_000) {
      this.#startSecond(nowMs);
    }
    const limit = weight === "routine"
      ? ROUTINE_PER_SECOND
      : NOTABLE_PER_SECOND;
    const unwritten = this.#getUnwrittenBytes();
    if (unwritten > MAX_UNWRITTEN_BYTES || this.#written[weight] >= limit) {
      return false;
    }
    this.#written[weight]++;
    return true;
  }

  #startSecond(nowMs: number): void {
    this.#secondStartedAtMs = nowMs;
    this.#written.routine = 0;
    this.#written.notable = 0;
    const { routine, notable } = this.#dropped;
    if (routine + notable > this.#reported) {
      this.#reported = routine + notable;
      this.#add("lines-dropped", { routine, notable });
    }
  }

  #getUnwrittenBytes(): number {
    return (this.#options.stream as NodeJS.WriteStream).writableLength ?? 0;
  }
}
