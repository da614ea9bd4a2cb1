/** The platform's log over HTTP; docs/standins.md gives the protocol. */
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { Clock } from "@lentilspur/ports/clock";
import type {
  LogBatch,
  LogFailure,
  LogPort,
  ReadOptions,
} from "@lentilspur/ports/log";
import { z } from "zod";
import { ConnectionPool, type PoolFailure } from "./connection_pool.ts";
import type { HttpAnswer } from "./http_connection.ts";

export interface LogClientOptions {
  readonly clock: Clock;
  readonly appendTimeoutMs?: number;
  /** On top of the time for which the log was asked to hold a read open. */
  readonly readTimeoutMs?: number;
}

/** The log answers within milliseconds; past this it is taken to be slow. */
const DEFAULT_TIMEOUT_MS = 1_500;
const CONNECT_TIMEOUT_MS = 1_000;
/** One long poll for each stream and a few appends and reads beside them. */
const MAX_CONNECTIONS = 16;
/** Past this a pooled connection may have gone silent; a fresh one is opened. */
const MAX_UNHEARD_MS = 5_000;
/** A thousand records of 64 KiB each. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;
const DEFAULT_MAX_RECORDS = 1_000;

const APPEND_ANSWER = z.object({ offset: z.number().int().nonnegative() });
const READ_ANSWER = z.object({
  records: z.array(z.object({
    offset: z.number().int().nonnegative(),
    payload: z.string(),
  })),
  nextOffset: z.number().int().nonnegative(),
});
const EXPIRED_ANSWER = z.object({
  firstOffset: z.number().int().nonnegative(),
});

export class LogClient implements LogPort {
  readonly #pool: ConnectionPool;
  readonly #appendTimeoutMs: number;
  readonly #readTimeoutMs: number;

  /** `url` is such as `http://127.0.0.1:7000`. */
  constructor(url: string, options: LogClientOptions) {
    this.#pool = new ConnectionPool(new URL(url).host, {
      clock: options.clock,
      maxConnections: MAX_CONNECTIONS,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      maxUnheardMs: MAX_UNHEARD_MS,
    });
    this.#appendTimeoutMs = options.appendTimeoutMs ?? DEFAULT_TIMEOUT_MS;
    this.#readTimeoutMs = options.readTimeoutMs ?? DEFAULT_TIMEOUT_MS;
  }

  async append(
    stream: string,
    payload: string,
  ): Promise<Result<number, LogFailure>> {
    const sent = await this.#pool.send({
      method: "POST",
      path: `/streams/${encodeURIComponent(stream)}/records`,
      headers: [{ name: "content-type", value: "application/json" }],
      body: Buffer.from(JSON.stringify({ payload })),
      timeoutMs: this.#appendTimeoutMs,
      maxAnswerBytes: MAX_ANSWER_BYTES,
    });
    if (!sent.ok) {
      return Err(describeFailure(sent.val));
    }
    const body = parseAnswer(APPEND_ANSWER, sent.val);
    return body.ok ? Ok(body.val.offset) : body;
  }

  async read(
    stream: string,
    fromOffset: number,
    options: ReadOptions = {},
  ): Promise<Result<LogBatch, LogFailure>> {
    const waitMs = options.waitMs ?? 0;
    const query = new URLSearchParams({
      from: String(fromOffset),
      max: String(options.maxRecords ?? DEFAULT_MAX_RECORDS),
      waitMs: String(waitMs),
    });
    const sent = await this.#pool.send({
      method: "GET",
      path: `/streams/${encodeURIComponent(stream)}/records?${query}`,
      timeoutMs: waitMs + this.#readTimeoutMs,
      maxAnswerBytes: MAX_ANSWER_BYTES,
      ...(options.signal === undefined ? {} : { signal: options.signal }),
    });
    return sent.ok
      ? parseAnswer(READ_ANSWER, sent.val)
      : Err(describeFailure(sent.val));
  }

  close(): void {
    this.#pool.close();
  }
}

/** Only a call of which no byte was written proves that nothing took effect. */
function describeFailure(failure: PoolFailure): LogFailure {
  switch (failure.stage) {
    case "opening":
      return { kind: "refused", message: failure.message };
    case "sending":
      return failure.written
        ? { kind: "unavailable", message: failure.message }
        : { kind: "refused", message: failure.message };
  }
}

function parseAnswer<T>(
  schema: z.ZodType<T>,
  answer: HttpAnswer,
): Result<T, LogFailure> {
  const body = parseJson(answer.body);
  if (answer.status === 200) {
    const parsed = schema.safeParse(body);
    return parsed.success
      ? Ok(parsed.data)
      : Err({ kind: "unavailable", message: "The log's answer is malformed" });
  }
  const message = `The log answered with status ${answer.status}`;
  if (answer.status === 410) {
    const expired = EXPIRED_ANSWER.safeParse(body);
    return expired.success
      ? Err({ kind: "expired", firstOffset: expired.data.firstOffset })
      : Err({ kind: "unavailable", message });
  }
  const isRefusal = answer.status >= 400 && answer.status < 500;
  return Err({ kind: isRefusal ? "refused" : "unavailable", message });
}

/** Returns undefined for what is no JSON. */
export function parseJson(bytes: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(bytes).toString("utf8"));
  } catch {
    return undefined;
  }
}
