/**
 * Targets over HTTP; docs/standins.md gives the protocol. The one job that
 * matters here is to say truly what became of a request: "not run" only when
 * no byte of it left or the target said so before it started.
 */
import { Err, Ok, type Result } from "@lentilspur/outcomes/result";
import type { Clock } from "@lentilspur/ports/clock";
import type {
  DispatchFailure,
  DispatchRequest,
  GrantReply,
  GrantRequest,
  HeaderField,
  TargetAddress,
  TargetAnswer,
  TargetFailure,
  TargetPort,
  TargetReport,
} from "@lentilspur/ports/target";
import { z } from "zod";
import type { PoolFailure } from "./connection_pool.ts";
import type { HttpAnswer } from "./http_connection.ts";
import { parseJson } from "./log_client.ts";
import { TargetConnections } from "./target_connections.ts";
import {
  buildDispatchHeaders,
  findField,
  listEndToEndFields,
} from "./target_headers.ts";

export interface TargetClientOptions {
  readonly clock: Clock;
  /** For grants and probes. */
  readonly controlTimeoutMs?: number;
  /**
   * A request is written within this time of the call or not at all. It must
   * stay below the margin of the instance's lease.
   */
  readonly maxStartMs?: number;
}

/** Below the interval of grants, so that a silent one is replaced in time. */
const DEFAULT_CONTROL_TIMEOUT_MS = 400;
/** Half of the lease's margin; opening a connection takes about 1 ms. */
const DEFAULT_MAX_START_MS = 100;
const MAX_CONTROL_ANSWER_BYTES = 1024 * 1024;
const JSON_TYPE: HeaderField = {
  name: "content-type",
  value: "application/json",
};

const GRANT_ANSWER = z.object({
  bootId: z.string(),
  elapsedMs: z.number(),
  busyUnits: z.array(z.string()),
});
const FENCED_ANSWER = z.object({ highestToken: z.number() });
const RESTARTED_ANSWER = z.object({ bootId: z.string() });
const REPORT_ANSWER = z.object({
  bootId: z.string(),
  elapsedMs: z.number(),
  state: z.enum(["warming", "live", "leaving"]),
  runningRequests: z.number(),
  places: z.number(),
});

export class TargetClient implements TargetPort {
  readonly #clock: Clock;
  readonly #connections: TargetConnections;
  readonly #controlTimeoutMs: number;
  readonly #maxStartMs: number;

  constructor(options: TargetClientOptions) {
    this.#clock = options.clock;
    this.#connections = new TargetConnections(options.clock);
    this.#controlTimeoutMs = options.controlTimeoutMs ??
      DEFAULT_CONTROL_TIMEOUT_MS;
    this.#maxStartMs = options.maxStartMs ?? DEFAULT_MAX_START_MS;
  }

  async dispatch(
    target: TargetAddress,
    request: DispatchRequest,
    signal: AbortSignal,
  ): Promise<Result<TargetAnswer, DispatchFailure>> {
    const pool = this.#connections.getDispatchPool(target.address);
    // Failure: the caller checked its lease, then a connection had to be opened
    // or the process was paused, and the request leaves under a lease that has
    // lapsed. The clock is read again in the turn that writes the first byte.
    const startBy = Math.min(
      this.#clock.readMs() + this.#maxStartMs,
      request.notAfterMs,
    );
    const sent = await pool.send({
      method: request.method,
      path: request.path,
      headers: buildDispatchHeaders(request),
      ...(request.body.length === 0 ? {} : { body: request.body }),
      timeoutMs: request.remainingMs,
      maxAnswerBytes: request.maxAnswerBytes,
      signal,
      mayStart: () => this.#clock.readMs() <= startBy,
    });
    if (!sent.ok) {
      const failure = describeDispatchFailure(sent.val);
      if (failure.kind === "unknown") {
        void this.cancel(target, request.requestId);
      }
      return Err(failure);
    }
    return checkAnswer(request, sent.val);
  }

  async grant(
    target: TargetAddress,
    request: GrantRequest,
  ): Promise<Result<GrantReply, TargetFailure>> {
    const sent = await this.#sendControl(target, "POST", "/grants", request);
    return sent.ok ? parseControl(GRANT_ANSWER, sent.val) : sent;
  }

  async probe(
    target: TargetAddress,
  ): Promise<Result<TargetReport, TargetFailure>> {
    const sent = await this.#sendControl(target, "GET", "/report");
    return sent.ok ? parseControl(REPORT_ANSWER, sent.val) : sent;
  }

  async cancel(target: TargetAddress, requestId: string): Promise<void> {
    const path = `/cancel/${encodeURIComponent(requestId)}`;
    await this.#sendControl(target, "POST", path);
  }

  /** Ends idle connections and stops probing them. */
  close(): void {
    this.#connections.close();
  }

  async #sendControl(
    target: TargetAddress,
    method: string,
    path: string,
    body?: unknown,
  ): Promise<Result<HttpAnswer, TargetFailure>> {
    const pool = this.#connections.getControlPool(target.address);
    const sent = await pool.send({
      method,
      path,
      ...(body === undefined
        ? {}
        : { headers: [JSON_TYPE], body: Buffer.from(JSON.stringify(body)) }),
      timeoutMs: this.#controlTimeoutMs,
      maxAnswerBytes: MAX_CONTROL_ANSWER_BYTES,
    });
    return sent.ok ? Ok(sent.val) : Err(describeControlFailure(sent.val));
  }
}

function describeDispatchFailure(failure: PoolFailure): DispatchFailure {
  switch (failure.stage) {
    case "opening":
      return {
        kind: "not-run",
        cause: "unreachable",
        message: failure.message,
      };
    case "sending":
      return failure.written
        ? { kind: "unknown", cause: failure.cause, message: failure.message }
        : { kind: "not-run", cause: "unreachable", message: failure.message };
  }
}

function describeControlFailure(failure: PoolFailure): TargetFailure {
  switch (failure.stage) {
    case "opening":
      return failure.kind === "refused"
        ? { kind: "refused", message: failure.message }
        : { kind: "silent", message: failure.message };
    case "sending":
      return { kind: "silent", message: failure.message };
  }
}

function checkAnswer(
  request: DispatchRequest,
  answer: HttpAnswer,
): Result<TargetAnswer, DispatchFailure> {
  const answered = findField(answer.headers, "lentilspur-request-id");
  if (answered !== undefined && answered !== request.requestId) {
    // Failure: the target sends an answer nobody waits for any more, and it
    // arrives on the connection just as the next request is written to it.
    // The id in the answer shows whose it is; nobody gets it.
    const message = `The answer belongs to request "${answered}"`;
    return Err({ kind: "unknown", cause: "cut", message });
  }
  if (findField(answer.headers, "lentilspur-outcome") === "not-run") {
    return Err(describeRefusal(answer));
  }
  return Ok({
    status: answer.status,
    headers: listEndToEndFields(answer.headers),
    body: answer.body,
  });
}

function describeRefusal(answer: HttpAnswer): DispatchFailure {
  const reason = findField(answer.headers, "lentilspur-cause");
  const retryAfterMs = Number(findField(answer.headers, "retry-after-ms"));
  return {
    kind: "not-run",
    cause: chooseCause(answer.status, reason),
    message: `The target refused the request with status ${answer.status}`,
    ...(retryAfterMs > 0 ? { retryAfterMs } : {}),
  };
}

function chooseCause(
  status: number,
  reason: string | undefined,
): "fenced" | "draining" | "shed" | "refused" {
  switch (status) {
    case 412:
      return "fenced";
    case 503:
      return reason === "draining" ? "draining" : "shed";
    default:
      return "refused";
  }
}

function parseControl<T>(
  schema: z.ZodType<T>,
  answer: HttpAnswer,
): Result<T, TargetFailure> {
  const body = parseJson(answer.body);
  const parsed = schema.safeParse(body);
  if (answer.status === 200 && parsed.success) {
    return Ok(parsed.data);
  }
  const fenced = FENCED_ANSWER.safeParse(body);
  if (answer.status === 409 && fenced.success) {
    return Err({ kind: "fenced", highestToken: fenced.data.highestToken });
  }
  const restarted = RESTARTED_ANSWER.safeParse(body);
  if (answer.status === 409 && restarted.success) {
    return Err({ kind: "restarted", bootId: restarted.data.bootId });
  }
  const message = `The target answered with status ${answer.status}`;
  return Err({ kind: "unsupported", message });
}
