/**
 * The platform's append-only log, as its published protocol offers it: named
 * streams, offsets that grow by one, limited retention, outages.
 */
import type { Result } from "@lentilspur/outcomes/result";

/** One record as the log keeps it. */
export interface LogRecord {
  readonly offset: number;
  readonly payload: string;
}

export interface LogBatch {
  readonly records: readonly LogRecord[];
  /** The offset that the next append will get, as of this read. */
  readonly nextOffset: number;
}

export type LogFailure =
  /** Nothing is known: the call may or may not have taken effect. */
  | { readonly kind: "unavailable"; readonly message: string }
  /** Records before `firstOffset` are gone. */
  | { readonly kind: "expired"; readonly firstOffset: number }
  /** The log refused the call and did nothing. */
  | { readonly kind: "refused"; readonly message: string };

export interface ReadOptions {
  readonly maxRecords?: number;
  /** How long the log may hold the call open until a record arrives. */
  readonly waitMs?: number;
  readonly signal?: AbortSignal;
}

export interface LogPort {
  append(stream: string, payload: string): Promise<Result<number, LogFailure>>;
  read(
    stream: string,
    fromOffset: number,
    options?: ReadOptions,
  ): Promise<Result<LogBatch, LogFailure>>;
}
