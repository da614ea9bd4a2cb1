/**
 * Writes one JSON line for each decision to standard output, and operational
 * messages beside them. `lentilspur audit` reads the decision lines.
 */
import type { Clock } from "@lentilspur/ports/clock";
import type {
  Decision,
  DecisionLine,
  DecisionSink,
} from "@lentilspur/proof/decision_line";
import winston from "winston";
import type { InstanceSettings } from "./settings.ts";
import type { StateSource } from "./state_source.ts";

export type LogLevel = InstanceSettings["logLevel"];

/** Decisions come before every level: the audit needs each of them. */
const LEVELS = { decision: 0, error: 1, warn: 2, info: 3, debug: 4 } as const;

/**
 * Writes lines, those of one turn of the event loop together: standard output
 * is written synchronously where it is a pipe, and a write for each line costs
 * more than the line. A process that is killed loses the lines of its last
 * turn; the next instance's audit shows that as a gap in the sequence.
 */
export class LineLog {
  readonly #logger: winston.Logger;
  #decisions: string[] = [];

  /** Writes to `stream`, or to standard output. */
  constructor(level: LogLevel, stream?: NodeJS.WritableStream) {
    this.#logger = winston.createLogger({
      levels: LEVELS,
      level,
      format: winston.format.printf((info) => String(info.message)),
      transports: [
        stream === undefined
          ? new winston.transports.Console()
          : new winston.transports.Stream({ stream }),
      ],
    });
  }

  /** Writes a decision as JSON, whatever the level is. */
  logDecision(line: DecisionLine): void {
    if (this.#decisions.length === 0) {
      setImmediate(() => this.#writeDecisions());
    }
    this.#decisions.push(JSON.stringify(line));
  }

  /** A line for people that is not a decision; the audit skips it. */
  logMessage(
    level: LogLevel,
    message: string,
    details: Readonly<Record<string, string | number | boolean>> = {},
  ): void {
    const time = new Date().toISOString();
    const line = JSON.stringify({ level, message, ...details, time });
    this.#logger.log(level, line);
  }

  #writeDecisions(): void {
    const lines = this.#decisions;
    this.#decisions = [];
    this.#logger.log("decision", lines.join("\n"));
  }
}

export interface DecisionLogOptions {
  readonly instanceId: string;
  readonly clock: Clock;
  readonly lines: LineLog;
  /** Undefined until the instance has begun to fold. */
  readonly getState: () => StateSource | undefined;
}

export class DecisionLog implements DecisionSink {
  readonly #options: DecisionLogOptions;
  #sequence = 0;

  constructor(options: DecisionLogOptions) {
    this.#options = options;
  }

  log(decision: Decision): void {
    const { instanceId, clock, getState, lines } = this.#options;
    const line: DecisionLine = {
      ...decision,
      instance: instanceId,
      sequence: this.#sequence,
      elapsedMs: Math.round(clock.readMs() * 10) / 10,
      time: new Date().toISOString(),
      foldedOffset: getState()?.getView().nextOffset ?? 0,
    };
    this.#sequence++;
    lines.logDecision(line);
  }
}
