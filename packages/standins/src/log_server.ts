/** The platform's log as a process; docs/standins.md gives the protocol. */
import type { Clock } from "@lentilspur/ports/clock";
import {
  FakeLog,
  type FakeLogLink,
  type FakeLogOptions,
} from "@lentilspur/ports/fake_log";
import type { LogFailure } from "@lentilspur/ports/log";
import { z } from "zod";
import {
  type Call,
  type HttpService,
  parseBody,
  type Reply,
  startHttpService,
} from "./http_service.ts";

export interface LogServerOptions extends FakeLogOptions {
  readonly clock: Clock;
  readonly port?: number;
}

const RECORDS = /^\/streams\/([^/]+)\/records$/;
const APPEND_BODY = z.object({ payload: z.string() });
const CONTROL_BODY = z.object({
  isDown: z.boolean().optional(),
  latencyMs: z.number().optional(),
  timeoutMs: z.number().optional(),
  lostAnswers: z.number().optional(),
  lostAppends: z.number().optional(),
  lateAppends: z.number().optional(),
  lateByMs: z.number().optional(),
});
/** How long it is silent while it is down; callers give up before this. */
const SILENCE_MS = 3_000;
const MAX_WAIT_MS = 30_000;

/** Serves one in-memory log to everybody. */
export class LogServer {
  readonly #log: FakeLog;
  readonly #link: FakeLogLink;
  #service: HttpService | undefined;

  constructor(options: LogServerOptions) {
    this.#log = new FakeLog(options.clock, options);
    this.#link = this.#log.createLink({ latencyMs: 0, timeoutMs: SILENCE_MS });
  }

  /** Resolves with `host:port`. */
  async start(port = 0): Promise<string> {
    this.#service = await startHttpService({
      port,
      routes: [
        { method: "POST", pattern: RECORDS, handle: (c) => this.#append(c) },
        { method: "GET", pattern: RECORDS, handle: (c) => this.#read(c) },
        {
          method: "POST",
          pattern: /^\/control$/,
          handle: (call) => this.#applyControl(call),
        },
        {
          method: "GET",
          pattern: /^\/streams$/,
          handle: () => ({ status: 200, body: this.#log.describe() }),
        },
      ],
    });
    return this.#service.address;
  }

  async stop(): Promise<void> {
    await this.#service?.close();
  }

  async #append(call: Call): Promise<Reply> {
    const body = APPEND_BODY.safeParse(parseBody(call));
    if (!body.success) {
      return { status: 400, body: { message: "The body has no payload" } };
    }
    const stream = call.captured[0]!;
    const appended = await this.#link.append(stream, body.data.payload);
    return appended.ok
      ? { status: 200, body: { offset: appended.val } }
      : makeFailureReply(appended.val);
  }

  async #read(call: Call): Promise<Reply> {
    const { searchParams } = call.url;
    const from = Number(searchParams.get("from") ?? 0);
    if (!Number.isSafeInteger(from) || from < 0) {
      return { status: 400, body: { message: "from is no offset" } };
    }
    const wanted = Number(searchParams.get("waitMs") ?? 0);
    const waitMs = Math.min(Math.max(wanted, 0), MAX_WAIT_MS);
    const batch = await this.#link.read(call.captured[0]!, from, {
      maxRecords: Number(searchParams.get("max") ?? 1_000),
      waitMs,
      signal: call.signal,
    });
    return batch.ok
      ? { status: 200, body: batch.val }
      : makeFailureReply(batch.val);
  }

  #applyControl(call: Call): Reply {
    const body = CONTROL_BODY.safeParse(parseBody(call));
    if (!body.success) {
      return { status: 400, body: { message: body.error.message } };
    }
    const { isDown, ...faults } = body.data;
    if (isDown !== undefined) {
      this.#log.setDown(isDown);
    }
    const given = Object.entries(faults).filter(([, value]) =>
      value !== undefined
    );
    this.#link.setFaults(Object.fromEntries(given));
    return {
      status: 200,
      body: { isDown: this.#log.isDown, ...this.#link.faults },
    };
  }
}

function makeFailureReply(failure: LogFailure): Reply {
  switch (failure.kind) {
    case "expired":
      return { status: 410, body: { firstOffset: failure.firstOffset } };
    case "unavailable":
      return { status: 503, body: { message: failure.message } };
    case "refused":
      return { status: 400, body: { message: failure.message } };
  }
}
