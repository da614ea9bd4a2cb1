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

/** A logger whose messages are finished lines. */
export function createLogger(level: LogLevel): winston.Logger {
  return winston.createLogger({
    level,
    format: winston.format.printf((info) => String(info.message)),
    transports: [new winston.transports.Console()],
  });
}

export interface DecisionLogOptions {
  readonly instanceId: string;
  readonly clock: Clock;
  /** Where finished lines go. */
  readonly write: (line: string) => void;
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
    const { instanceId, clock, getState, write } = this.#options;
    const line: DecisionLine = {
      ...decision,
      instance: instanceId,
      sequence: this.#sequence,
      elapsedMs: Math.round(clock.readMs() * 10) / 10,
      time: new Date().toISOString(),
      foldedOffset: getState()?.getView().nextOffset ?? 0,
    };
    this.#sequence++;
    write(JSON.stringify(line));
  }
}

/** A line for people that is not a decision; the audit skips it. */
export function formatMessage(
  level: LogLevel,
  message: string,
  details: Readonly<Record<string, string | number | boolean>> = {},
): string {
  const time = new Date().toISOString();
  return JSON.stringify({ level, message, ...details, time });
}
