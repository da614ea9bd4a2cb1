/**
 * Simulates one caller of a client account. It sends requests through any ready
 * instance, retries only where a second run does no harm, and records the
 * result of every attempt.
 */
import { createHash, randomUUID } from "node:crypto";
import process from "node:process";
import type { Clock, Random } from "@lentilspur/ports/clock";
import { Agent, request } from "undici";
import { z } from "zod";
import type { CallerOutcome, CallerRecord } from "./caller_record.ts";

/** A request that a caller sends in one or more attempts. */
export interface LogicalRequest {
  readonly template: string;
  readonly key: string;
  readonly method: string;
  readonly path: string;
  readonly idempotent: boolean;
  /** How long the caller waits; the template's default if missing. */
  readonly deadlineMs?: number;
}

export interface CallerOptions {
  readonly clientAccount: string;
  readonly credential: string;
  readonly clock: Clock;
  readonly random: Random;
  /** Returns the `host:port` of every instance that is ready. */
  readonly listReadyAddresses: () => readonly string[];
  readonly record: (record: CallerRecord) => void;
}

const ATTEMPT_TIMEOUT_MS = 8_000;
const MAX_ATTEMPTS = 6;
const RETRY_DELAY_MS = 100;

const OUTCOMES: readonly CallerOutcome[] = ["ran", "not-run", "unknown"];
const ERROR_BODY = z.object({
  error: z.object({ kind: z.string(), mayResend: z.boolean() }),
});
const TARGET_BODY = z.object({ requestId: z.string(), path: z.string() });

export class Caller {
  readonly #options: CallerOptions;
  readonly #agent = new Agent({
    connect: { timeout: 1_000 },
    headersTimeout: ATTEMPT_TIMEOUT_MS,
    bodyTimeout: ATTEMPT_TIMEOUT_MS,
  });

  constructor(options: CallerOptions) {
    this.#options = options;
  }

  /**
   * Sends until the request has run, no further attempt is allowed, or
   * `MAX_ATTEMPTS` is reached; returns the record of the last attempt. A
   * further attempt is allowed if the response says that the request did not
   * run and may be sent again, or if the outcome of an idempotent request is
   * unknown.
   */
  async send(logicalRequest: LogicalRequest): Promise<CallerRecord> {
    const wantedId = randomUUID();
    for (let attempt = 1;; attempt++) {
      const record = await this.sendOnce(logicalRequest, wantedId);
      this.#options.record(record);
      if (attempt === MAX_ATTEMPTS || !mayRetry(record)) {
        return record;
      }
      await this.#options.clock.sleep(RETRY_DELAY_MS);
    }
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  /**
   * Sends one attempt and returns its record without reporting it to `record`.
   */
  async sendOnce(
    logicalRequest: LogicalRequest,
    wantedId: string = randomUUID(),
  ): Promise<CallerRecord> {
    const entry = this.#chooseInstance();
    const sentAtMs = readMonotonicMs();
    const { clientAccount } = this.#options;
    const subject = { clientAccount, ...logicalRequest, wantedId };
    const response = await this.#fetch(logicalRequest, entry);
    const receivedAtMs = readMonotonicMs();
    return { ...subject, entry, ...response, sentAtMs, receivedAtMs };
  }

  async #fetch(
    logicalRequest: LogicalRequest,
    entry: string,
  ): Promise<ResponseFields> {
    const { deadlineMs } = logicalRequest;
    try {
      const response = await request(`http://${entry}${logicalRequest.path}`, {
        method: logicalRequest.method,
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(ATTEMPT_TIMEOUT_MS),
        headers: {
          authorization: `Bearer ${this.#options.credential}`,
          ...(deadlineMs === undefined
            ? {}
            : { "lentilspur-deadline-ms": String(deadlineMs) }),
        },
      });
      const body = new Uint8Array(await response.body.arrayBuffer());
      const { headers, statusCode: status } = response;
      return describeResponse(logicalRequest, {
        status,
        outcome: String(headers["lentilspur-outcome"]),
        requestId: String(headers["lentilspur-request-id"]),
        body,
      });
    } catch (error) {
      // Without a complete response, a caller knows nothing about the outcome.
      const { code } = error as NodeJS.ErrnoException;
      return code === "ECONNREFUSED"
        ? { outcome: "none", isConnectionRefused: true }
        : { outcome: "none", cause: describeCause(error) };
    }
  }

  #chooseInstance(): string {
    const addresses = this.#options.listReadyAddresses();
    const index = Math.floor(this.#options.random.draw() * addresses.length);
    // Without a ready instance, the attempt fails: nothing listens on port 1.
    return addresses[index] ?? "127.0.0.1:1";
  }
}

function describeCause(error: unknown): string {
  const { code = "no code", message, socket } = error as
    & NodeJS.ErrnoException
    & { readonly socket?: { readonly bytesWritten: number } };
  const written = socket === undefined
    ? ""
    : `, ${socket.bytesWritten} bytes written`;
  return `${code}: ${message}${written}`;
}

/** Reads the monotonic clock that all processes of this machine share. */
export function readMonotonicMs(): number {
  return Number(process.hrtime.bigint()) / 1e6;
}

type ResponseFields = Pick<CallerRecord, "outcome"> & Partial<CallerRecord>;

interface ReceivedResponse {
  readonly status: number;
  readonly outcome: string;
  readonly requestId: string;
  readonly body: Uint8Array;
}

function mayRetry(
  { outcome, idempotent, mayResend }: CallerRecord,
): boolean {
  switch (outcome) {
    case "ran":
      return false;
    case "not-run":
      return mayResend === true;
    case "unknown":
    case "none":
      return idempotent;
  }
}

function describeResponse(
  logicalRequest: LogicalRequest,
  received: ReceivedResponse,
): ResponseFields {
  const { status, requestId } = received;
  const outcome = OUTCOMES.find((one) => one === received.outcome) ?? "none";
  const body = parseJson(received.body);
  const error = ERROR_BODY.safeParse(body).data?.error;
  if (error !== undefined) {
    const { kind: errorKind, mayResend } = error;
    return { outcome, requestId, status, errorKind, mayResend };
  }
  if (outcome !== "ran") {
    return { outcome, requestId, status };
  }
  const targetBody = TARGET_BODY.safeParse(body).data;
  return {
    outcome,
    requestId,
    status,
    isOwnAnswer: targetBody?.requestId === requestId &&
      targetBody.path === logicalRequest.path,
    answerDigest: createHash("sha256").update(received.body).digest("hex"),
  };
}

function parseJson(bytes: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(bytes).toString("utf8"));
  } catch {
    // A body that is not JSON does not name the request that it belongs to.
    return undefined;
  }
}
