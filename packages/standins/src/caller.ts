/**
 * One caller of a client account. It takes request ids, sends through any
 * instance, sends again with the same id when it is not told an outcome, and
 * keeps every send's fate.
 */
import { createHash } from "node:crypto";
import process from "node:process";
import type { Clock, Random } from "@lentilspur/ports/clock";
import { Agent, request } from "undici";
import { z } from "zod";
import type { CallerOutcome, CallerRecord } from "./caller_record.ts";

/** A request to make, whichever instance takes it. */
export interface CallerRequest {
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
  readonly listEntries: () => readonly string[];
  readonly record: (record: CallerRecord) => void;
}

const TIMEOUT_MS = 8_000;
const MAX_SENDS = 6;
const IDS_PER_FETCH = 8;
/**
 * An id that was minted before a take-over could have been sent before it, so
 * its first send may be answered as unknown; fresh ids keep these few.
 */
const MAX_ID_AGE_MS = 1_000;
const RESEND_PAUSE_MS = 100;

const IDS_ANSWER = z.object({ requestIds: z.array(z.string()) });
const OUTCOMES: readonly CallerOutcome[] = ["ran", "not-run", "unknown"];
const ERROR_BODY = z.object({
  error: z.object({ kind: z.string(), mayResend: z.boolean() }),
});
const TARGET_BODY = z.object({ requestId: z.string(), key: z.string() });

export class Caller {
  readonly #options: CallerOptions;
  readonly #agent = new Agent({
    connect: { timeout: 1_000 },
    headersTimeout: TIMEOUT_MS,
    bodyTimeout: TIMEOUT_MS,
  });
  #ids: string[] = [];
  #idsFetchedAt = 0;

  constructor(options: CallerOptions) {
    this.#options = options;
  }

  /** Sends until an outcome is known for good; gives the last record. */
  async send(wanted: CallerRequest): Promise<CallerRecord | undefined> {
    const requestId = await this.#takeId();
    let last: CallerRecord | undefined;
    if (requestId === undefined) {
      return undefined;
    }
    for (let count = 0; count < MAX_SENDS; count++) {
      last = await this.#sendOnce(wanted, requestId);
      this.#options.record(last);
      if (last.outcome === "ran" || last.mayResend === false) {
        return last;
      }
      await this.#options.clock.sleep(RESEND_PAUSE_MS);
    }
    return last;
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #sendOnce(
    wanted: CallerRequest,
    requestId: string,
  ): Promise<CallerRecord> {
    const entry = this.#chooseEntry();
    const sentAtMs = readMachineMs();
    const { template, key, idempotent } = wanted;
    const { clientAccount } = this.#options;
    const subject = { clientAccount, template, key, idempotent, requestId };
    const answer = await this.#fetch(wanted, requestId, entry);
    const receivedAtMs = readMachineMs();
    return { ...subject, entry, ...answer, sentAtMs, receivedAtMs };
  }

  async #fetch(
    wanted: CallerRequest,
    requestId: string,
    entry: string,
  ): Promise<Pick<CallerRecord, "outcome"> & Partial<CallerRecord>> {
    try {
      const answer = await request(`http://${entry}${wanted.path}`, {
        method: wanted.method,
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(TIMEOUT_MS),
        headers: {
          ...this.#makeCredentialField(),
          "lentilspur-request-id": requestId,
        },
      });
      const body = new Uint8Array(await answer.body.arrayBuffer());
      return describeAnswer(wanted, requestId, {
        status: answer.statusCode,
        outcome: answer.headers["lentilspur-outcome"],
        body,
      });
    } catch {
      return { outcome: "none" };
    }
  }

  async #takeId(): Promise<string | undefined> {
    const { clock } = this.#options;
    const isOld = clock.readMs() - this.#idsFetchedAt > MAX_ID_AGE_MS;
    if (isOld) {
      this.#ids = [];
    }
    for (let count = 0; count < MAX_SENDS; count++) {
      if (this.#ids.length > 0) {
        return this.#ids.pop();
      }
      this.#ids = await this.#fetchIds();
      this.#idsFetchedAt = clock.readMs();
      if (this.#ids.length === 0) {
        await clock.sleep(RESEND_PAUSE_MS);
      }
    }
    return this.#ids.pop();
  }

  async #fetchIds(): Promise<string[]> {
    try {
      const url =
        `http://${this.#chooseEntry()}/request-ids?count=${IDS_PER_FETCH}`;
      const answer = await request(url, {
        method: "POST",
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(TIMEOUT_MS),
        headers: this.#makeCredentialField(),
      });
      const body = IDS_ANSWER.safeParse(await answer.body.json());
      return body.success ? body.data.requestIds : [];
    } catch {
      return [];
    }
  }

  #makeCredentialField(): { readonly authorization: string } {
    return { authorization: `Bearer ${this.#options.credential}` };
  }

  #chooseEntry(): string {
    const entries = this.#options.listEntries();
    const index = Math.floor(this.#options.random.draw() * entries.length);
    return entries[index] ?? "127.0.0.1:1";
  }
}

/** Milliseconds on the clock that all processes of this machine share. */
export function readMachineMs(): number {
  return Number(process.hrtime.bigint()) / 1e6;
}

interface ReceivedAnswer {
  readonly status: number;
  readonly outcome: string | string[] | undefined;
  readonly body: Uint8Array;
}

function describeAnswer(
  wanted: CallerRequest,
  requestId: string,
  received: ReceivedAnswer,
): Pick<CallerRecord, "outcome"> & Partial<CallerRecord> {
  const { status } = received;
  const outcome = toOutcome(received.outcome);
  const body = parseJson(received.body);
  const error = ERROR_BODY.safeParse(body).data?.error;
  if (error !== undefined) {
    const { kind: errorKind, mayResend } = error;
    return { outcome, status, errorKind, mayResend };
  }
  if (outcome !== "ran") {
    return { outcome, status };
  }
  const own = TARGET_BODY.safeParse(body).data;
  return {
    outcome,
    status,
    isOwnAnswer: own?.requestId === requestId && own.key === wanted.key,
    answerDigest: createHash("sha256").update(received.body).digest("hex"),
  };
}

function toOutcome(field: string | string[] | undefined): CallerOutcome {
  return OUTCOMES.find((outcome) => outcome === field) ?? "none";
}

function parseJson(bytes: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(bytes).toString("utf8"));
  } catch {
    return undefined;
  }
}
