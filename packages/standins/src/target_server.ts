/** One target as a process; docs/standins.md gives the protocol. */
import { appendFileSync } from "node:fs";
import process from "node:process";
import {
  FakeTarget,
  type FakeTargetOptions,
  type TargetReply,
} from "@lentilspur/ports/fake_target";
import type { TargetFailure } from "@lentilspur/ports/target";
import type { TargetRun } from "@lentilspur/ports/target_history";
import { z } from "zod";
import {
  type Call,
  type HttpService,
  parseBody,
  type Reply,
  startHttpService,
} from "./http_service.ts";

export interface TargetServerOptions
  extends Omit<FakeTargetOptions, "recordRun" | "getRunMs" | "processName"> {
  /** How long a request runs unless its query says `runMs`. */
  readonly runMs?: number;
  /** Each start and end of a run is appended here, for the judge. */
  readonly historyFile?: string;
}

const GRANT_BODY = z.object({
  stewardToken: z.number(),
  bootId: z.string(),
  validUntilMs: z.number(),
  add: z.array(z.object({ unit: z.string(), token: z.number() })),
  remove: z.array(z.string()),
  excludedKeys: z.array(z.string()).nullable(),
});
const CONTROL_BODY = z.object({
  isFrozen: z.boolean().optional(),
  isDraining: z.boolean().optional(),
  isShedding: z.boolean().optional(),
  report: z.object({
    runningRequests: z.number().optional(),
    state: z.enum(["warming", "live", "leaving"]).optional(),
  }).optional(),
});

const DEFAULT_RUN_MS = 2;
const DEFAULT_DEADLINE_MS = 10_000;
const RETRY_AFTER_MS = 20;

export class TargetServer {
  readonly #target: FakeTarget;
  readonly #options: TargetServerOptions;
  /** What requests asked to run for, until they start. */
  readonly #runTimes = new Map<string, number>();
  #service: HttpService | undefined;

  constructor(options: TargetServerOptions) {
    this.#options = options;
    this.#target = new FakeTarget({
      ...options,
      processName: String(process.pid),
      getRunMs: (request) =>
        this.#runTimes.get(request.requestId) ?? options.runMs ??
          DEFAULT_RUN_MS,
      recordRun: (run) => this.#writeRun(run),
    });
  }

  /** Resolves with `host:port`. */
  async start(port = 0): Promise<string> {
    this.#service = await startHttpService({
      port,
      routes: [
        {
          method: "POST",
          pattern: /^\/grants$/,
          handle: (call) => this.#grant(call),
        },
        {
          method: "GET",
          pattern: /^\/report$/,
          handle: async () => ({
            status: 200,
            body: await this.#target.getReport(),
          }),
        },
        {
          method: "POST",
          pattern: /^\/cancel\/([^/]+)$/,
          handle: async (call) => {
            await this.#target.cancel(call.captured[0]!);
            return { status: 200 };
          },
        },
        {
          method: "GET",
          pattern: /^\/history$/,
          handle: () => ({
            status: 200,
            body: { runs: this.#target.listHistory() },
          }),
        },
        {
          method: "POST",
          pattern: /^\/control$/,
          handle: (call) => this.#applyControl(call),
        },
      ],
      fallback: (call) => this.#run(call),
    });
    return this.#service.address;
  }

  /** Refuses new requests, lets those it has finish, then closes. */
  async stop(): Promise<void> {
    this.#target.setDraining(true);
    while ((await this.#target.getReport()).runningRequests > 0) {
      await this.#options.clock.sleep(RETRY_AFTER_MS);
    }
    await this.#service?.close();
  }

  async #run(call: Call): Promise<Reply | null> {
    const requestId = readField(call, "request-id");
    const runMs = call.url.searchParams.get("runMs");
    if (runMs !== null) {
      this.#runTimes.set(requestId, Number(runMs));
    }
    const reply = await this.#target.handle({
      method: call.method,
      requestId,
      clientAccount: readField(call, "client-account"),
      key: decodeURIComponent(readField(call, "key")),
      unit: decodeURIComponent(readField(call, "unit")),
      stewardToken: Number(readField(call, "steward-token")),
      unitToken: Number(readField(call, "unit-token")),
      deadlineMs: Number(readField(call, "deadline-ms") || DEFAULT_DEADLINE_MS),
    });
    this.#runTimes.delete(requestId);
    return makeReply(requestId, reply);
  }

  async #grant(call: Call): Promise<Reply> {
    const body = GRANT_BODY.safeParse(parseBody(call));
    if (!body.success) {
      return { status: 400, body: { message: body.error.message } };
    }
    const granted = await this.#target.handleGrant(body.data);
    return granted.ok
      ? { status: 200, body: granted.val }
      : makeGrantRefusal(granted.val);
  }

  #applyControl(call: Call): Reply {
    const body = CONTROL_BODY.safeParse(parseBody(call));
    if (!body.success) {
      return { status: 400, body: { message: body.error.message } };
    }
    const { isFrozen, isDraining, isShedding, report } = body.data;
    if (isFrozen !== undefined) {
      isFrozen ? this.#target.freeze() : this.#target.resume();
    }
    if (isDraining !== undefined) {
      this.#target.setDraining(isDraining);
    }
    if (isShedding !== undefined) {
      this.#target.setShedding(isShedding);
    }
    if (report !== undefined) {
      const stated = Object.entries(report).filter(([, value]) =>
        value !== undefined
      );
      this.#target.setReport(Object.fromEntries(stated));
    }
    return { status: 200 };
  }

  /**
   * Written before the run goes on, so that a killed target's history lasts.
   * The time is that of the machine, which all processes of a trial share.
   */
  #writeRun(run: TargetRun): void {
    const { historyFile, clock, clockOffsetMs = 0 } = this.#options;
    if (historyFile === undefined) {
      return;
    }
    const machineMs = Number(process.hrtime.bigint()) / 1e6;
    const shiftMs = machineMs - clock.readMs() - clockOffsetMs;
    const line = {
      ...run,
      startedAtMs: run.startedAtMs + shiftMs,
      endedAtMs: run.endedAtMs === null ? null : run.endedAtMs + shiftMs,
    };
    appendFileSync(historyFile, `${JSON.stringify(line)}\n`);
  }
}

function readField(call: Call, name: string): string {
  const value = call.headers[`lentilspur-${name}`];
  return typeof value === "string" ? value : "";
}

function makeReply(requestId: string, reply: TargetReply): Reply | null {
  const headers = { "lentilspur-request-id": requestId };
  switch (reply.kind) {
    case "ran":
      return {
        status: reply.ending === "done" ? 200 : 504,
        headers,
        body: reply.body,
      };
    case "not-run":
      return {
        status: chooseRefusalStatus(reply.cause),
        headers: {
          ...headers,
          "lentilspur-outcome": "not-run",
          "lentilspur-cause": reply.cause,
          "retry-after-ms": String(RETRY_AFTER_MS),
        },
        body: { message: reply.message },
      };
    case "lost":
      return null;
  }
}

function chooseRefusalStatus(
  cause: "fenced" | "shed" | "draining" | "refused",
): number {
  switch (cause) {
    case "fenced":
      return 412;
    case "shed":
    case "draining":
      return 503;
    case "refused":
      return 409;
  }
}

function makeGrantRefusal(failure: TargetFailure): Reply {
  switch (failure.kind) {
    case "fenced":
      return { status: 409, body: { highestToken: failure.highestToken } };
    case "restarted":
      return { status: 409, body: { bootId: failure.bootId } };
    case "refused":
    case "silent":
    case "unsupported":
      return { status: 501, body: { message: failure.message } };
  }
}
