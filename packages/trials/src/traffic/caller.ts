/**
 * One caller of a client account. It sends through any instance that the
 * balancer offers, tries again only where that can do no harm, and keeps every
 * attempt's fate.
 */
import { createHash, randomUUID } from "node:crypto";
import process from "node:process";
import type { Clock, Random } from "@lentilspur/ports/clock";
import { Agent, request } from "undici";
import { z } from "zod";
import type { CallerOutcome, CallerRecord } from "./caller_record.ts";

/** A request to make, whichever instance takes it. */
export interface LogicalRequest {
  readonly template: string;
  readonly key: string;
  readonly method: string;
  readonly path: string;
  readonly idempotent: boolean;
}

export interface CallerOptions {
  readonly clientAccount: string;
  readonly credential: string;
  readonly clock: Clock;
  readonly random: Random;
  /** Instances that the balancer would choose from now, as `host:port`. */
  readonly listReadyAddresses: () => readonly string[];
  readonly record: (record: CallerRecord) => void;
}

const TIMEOUT_MS = 8_000;
const MAX_ATTEMPTS = 6;
const PAUSE_MS = 100;

const OUTCOMES: readonly CallerOutcome[] = ["ran", "not-run", "unknown"];
const ERROR_BODY = z.object({
  error: z.object({ kind: z.string(), mayResend: z.boolean() }),
});
const TARGET_BODY = z.object({ requestId: z.string(), path: z.string() });

export class Caller {
  readonly #options: CallerOptions;
  readonly #agent = new Agent({
    connect: { timeout: 1_000 },
    headersTimeout: TIMEOUT_MS,
    bodyTimeout: TIMEOUT_MS,
  });

  constructor(options: CallerOptions) {
    this.#options = options;
  }

  /** Tries until it ran or another attempt could do harm; gives the last one. */
  async send(wanted: LogicalRequest): Promise<CallerRecord> {
    const wantedId = randomUUID();
    for (let count = 1;; count++) {
      const record = await this.sendOnce(wanted, wantedId);
      this.#options.record(record);
      if (count === MAX_ATTEMPTS || !mayRetry(record)) {
        return record;
      }
      await this.#options.clock.sleep(PAUSE_MS);
    }
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  /** Sends once and lets nobody know what came of it but whoever asks. */
  async sendOnce(
    wanted: LogicalRequest,
    wantedId: string = randomUUID(),
  ): Promise<CallerRecord> {
    const entry = this.#chooseEntry();
    const sentAtMs = readMonotonicMs();
    const { template, key, idempotent } = wanted;
    const { clientAccount } = this.#options;
    const subject = { clientAccount, template, key, idempotent, wantedId };
    const answer = await this.#fetch(wanted, entry);
    const receivedAtMs = readMonotonicMs();
    return { ...subject, entry, ...answer, sentAtMs, receivedAtMs };
  }

  async #fetch(wanted: LogicalRequest, entry: string): Promise<ResponseFields> {
    try {
      const answer = await request(`http://${entry}${wanted.path}`, {
        method: wanted.method,
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(TIMEOUT_MS),
        headers: { authorization: `Bearer ${this.#options.credential}` },
      });
      const body = new Uint8Array(await answer.body.arrayBuffer());
      const { headers, statusCode: status } = answer;
      return describeResponse(wanted, {
        status,
        outcome: String(headers["lentilspur-outcome"]),
        requestId: String(headers["lentilspur-request-id"]),
        body,
      });
    } catch {
      // No whole answer: the outcome `none` says all that a caller knows.
      return { outcome: "none" };
    }
  }

  #chooseEntry(): string {
    const entries = this.#options.listReadyAddresses();
    const index = Math.floor(this.#options.random.draw() * entries.length);
    return entries[index] ?? "127.0.0.1:1";
  }
}

/** Milliseconds on the clock that all processes of this machine share. */
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
  wanted: LogicalRequest,
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
  const own = TARGET_BODY.safeParse(body).data;
  return {
    outcome,
    requestId,
    status,
    isOwnAnswer: own?.requestId === requestId && own.path === wanted.path,
    answerDigest: createHash("sha256").update(received.body).digest("hex"),
  };
}

function parseJson(bytes: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(bytes).toString("utf8"));
  } catch {
    // A body that is no JSON is nobody's own answer.
    return undefined;
  }
}
