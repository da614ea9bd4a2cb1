/**
 * The HTTP server that callers reach. Node's own server carries it:
 * moleculer-web would add 0.29 s of processor time to each start and decides
 * nothing here (docs/design/overview.md).
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { HeaderField } from "@lentilspur/ports/header_field";
import type { Clock } from "@lentilspur/ports/clock";
import {
  ERROR_RESPONSES,
  type ErrorKind,
} from "@lentilspur/outcomes/error_kinds";
import type {
  CallerRequest,
  FinalResponse,
  RequestMetadata,
} from "./caller_request.ts";

export interface RequestServerOptions {
  readonly clock: Clock;
  readonly host: string;
  readonly port: number;
  /** For how long this process has just stood still, if it has. */
  readonly readStallMs: () => number;
  readonly parseMetadata: (headers: readonly HeaderField[]) => RequestMetadata;
  readonly handle: (request: CallerRequest) => Promise<FinalResponse>;
  readonly reportFailure: (failure: {
    readonly requestId: string | undefined;
    readonly kind: ErrorKind;
    readonly message: string;
  }) => void;
}

export interface ServerLimits {
  readonly maxBodyBytes: number;
  readonly headTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Until a configuration says otherwise; ordinary values of HTTP servers. */
const FIRST_LIMITS: ServerLimits = {
  maxBodyBytes: 64 * 1024 * 1024,
  headTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};
/** Above what any configuration allows for heads; Node's limit is fixed at the start. */
const MAX_HEAD_BYTES = 64 * 1024;
/** A whole body within the limits; a slow phone network needs some seconds. */
const BODY_TIMEOUT_MS = 10_000;
const CHECK_EVERY_MS = 1_000;
/** Statuses whose answers have no body (RFC 9110). */
const BODILESS: ReadonlySet<number> = new Set([204, 304]);
/** Given as a reason, since one made anew costs 0.05 ms with its stack. */
const CALLER_LEFT = new Error("The caller closed the connection");
/** What became of the request, as far as it can be proved. */
const OUTCOME = "lentilspur-outcome";
const REQUEST_ID = "lentilspur-request-id";
/** Fields of one connection, which Node's server writes itself. */
const OWN_FIELDS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "transfer-encoding",
  "content-length",
  "proxy-connection",
  "upgrade",
  "trailer",
  "te",
]);

export class RequestServer {
  readonly #options: RequestServerOptions;
  readonly #server: Server;
  #limits = FIRST_LIMITS;
  #isStopping = false;
  #isRefusing = false;
  #open = 0;
  #lastRequestAtMs = -Infinity;

  constructor(options: RequestServerOptions) {
    this.#options = options;
    this.#server = createServer({
      headersTimeout: FIRST_LIMITS.headTimeoutMs,
      requestTimeout: FIRST_LIMITS.headTimeoutMs + BODY_TIMEOUT_MS,
      connectionsCheckingInterval: CHECK_EVERY_MS,
      keepAliveTimeout: FIRST_LIMITS.idleTimeoutMs,
      maxHeaderSize: MAX_HEAD_BYTES,
      noDelay: true,
    }, (message, response) => void this.#handle(message, response));
    this.#server.on("clientError", answerUnreadable);
  }

  /** The port it listens on, which was picked if none was named. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Requests without an answer yet. */
  get openRequests(): number {
    return this.#open;
  }

  /** When the last request came in; own clock. */
  get lastRequestAtMs(): number {
    return this.#lastRequestAtMs;
  }

  open(): Promise<void> {
    const { host, port } = this.#options;
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => resolve());
    });
  }

  setLimits(limits: ServerLimits): void {
    this.#limits = limits;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
    this.#server.headersTimeout = limits.headTimeoutMs;
    this.#server.requestTimeout = limits.headTimeoutMs + BODY_TIMEOUT_MS;
  }

  /** From now on each connection ends with its present or next request. */
  drain(): void {
    this.#isStopping = true;
  }

  /**
   * From now on no request is begun, since it might not be finished before the
   * process has to end: a caller that still comes is told at once that its
   * request has not run, and finds another instance.
   */
  refuse(): void {
    this.#isRefusing = true;
    this.#server.close();
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { handle, clock, readStallMs } = this.#options;
    // What was read after a stall may have lain there for all of it.
    const arrivedAtMs = clock.readMs() - readStallMs();
    this.#lastRequestAtMs = clock.readMs();
    this.#open++;
    const controller = new AbortController();
    const { socket } = message;
    const leave = () => controller.abort(CALLER_LEFT);
    socket.once("end", leave);
    response.on("close", () => {
      this.#open--;
      socket.off("end", leave);
      if (!response.writableFinished) {
        leave();
      }
    });
    const read = await this.#read(message, arrivedAtMs, controller.signal);
    await waitForPendingEnds();
    const answer = "failure" in read ? read : await handle(read);
    const requestId = "failure" in read ? undefined : read.requestId;
    this.#write(answer, { requestId, message, response });
  }

  async #read(
    message: IncomingMessage,
    arrivedAtMs: number,
    signal: AbortSignal,
  ): Promise<CallerRequest | (FinalResponse & { readonly kind: "failed" })> {
    const headers = listFields(message.rawHeaders);
    const fields = this.#options.parseMetadata(headers);
    const { requestId } = fields;
    const body = await this.#readBody(message);
    const failure = !body.ok
      ? body.failure
      : this.#isRefusing
      ? "stopping"
      : requestId === undefined || message.headers.host === undefined
      ? "malformed"
      : undefined;
    if (failure !== undefined || !body.ok || requestId === undefined) {
      return this.#fail(requestId, failure ?? "malformed");
    }
    return {
      ...fields,
      requestId,
      method: message.method ?? "GET",
      host: message.headers.host ?? "",
      path: message.url ?? "/",
      headers,
      body: body.bytes,
      arrivedAtMs,
      signal,
    };
  }

  #fail(
    requestId: string | undefined,
    failure: ErrorKind,
  ): FinalResponse & { readonly kind: "failed" } {
    const message = ERROR_RESPONSES[failure].advice;
    this.#options.reportFailure({ requestId, kind: failure, message });
    return { kind: "failed", failure, message };
  }

  #readBody(
    message: IncomingMessage,
  ): Promise<
    | { readonly ok: true; readonly bytes: Uint8Array }
    | { readonly ok: false; readonly failure: ErrorKind }
  > {
    const declared = message.headers["content-length"];
    const isChunked = message.headers["transfer-encoding"] !== undefined;
    const { maxBodyBytes } = this.#limits;
    if (!isChunked && (declared === undefined || declared === "0")) {
      return Promise.resolve({ ok: true, bytes: new Uint8Array(0) });
    }
    if (Number(declared ?? 0) > maxBodyBytes) {
      return Promise.resolve({ ok: false, failure: "body-too-large" });
    }
    return new Promise((resolve) => {
      const chunks: Buffer[] = [];
      let size = 0;
      message.on("data", (chunk: Buffer) => {
        size += chunk.byteLength;
        chunks.push(chunk);
        if (size > maxBodyBytes) {
          message.pause();
          resolve({ ok: false, failure: "body-too-large" });
        }
      });
      message.on(
        "end",
        () => resolve({ ok: true, bytes: Buffer.concat(chunks, size) }),
      );
      message.on("close", () => resolve({ ok: false, failure: "too-slow" }));
    });
  }

  #write(
    answer: FinalResponse,
    { requestId, message, response }: {
      readonly requestId: string | undefined;
      readonly message: IncomingMessage;
      readonly response: ServerResponse;
    },
  ): void {
    if (response.destroyed) {
      return;
    }
    // A connection whose body was left unread cannot carry a next request.
    if (this.#isStopping || !message.complete) {
      response.setHeader("Connection", "close");
    }
    switch (answer.kind) {
      case "answered":
        writeTargetAnswer(answer, response);
        return;
      case "failed":
        writeFailure(answer, requestId, response);
        return;
    }
  }
}

/**
 * Guards against work for callers that have left: after a stall, a request and
 * the end of its connection are read one after the other, and the request would
 * be sent on before the end is seen. One turn of the event loop reads both.
 */
function waitForPendingEnds(): Promise<void> {
  return new Promise((resolve) => setImmediate(() => setImmediate(resolve)));
}

function writeTargetAnswer(
  answer: FinalResponse & { readonly kind: "answered" },
  response: ServerResponse,
): void {
  for (const { name, value } of answer.headers) {
    if (!OWN_FIELDS.has(name)) {
      response.appendHeader(name, value);
    }
  }
  response.setHeader(OUTCOME, "ran");
  response.statusCode = answer.status;
  if (BODILESS.has(answer.status)) {
    response.end();
    return;
  }
  if (answer.isSelfDelimited) {
    response.setHeader("Content-Length", answer.body.byteLength);
  } else {
    writeUnframedHead(response);
  }
  response.end(answer.body);
}

/**
 * An answer that ended with its connection may have been broken off. With a
 * length of its own, half of it would look whole to the caller; it ends with
 * the caller's connection as well.
 */
function writeUnframedHead(response: ServerResponse): void {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  response.flushHeaders();
}

function writeFailure(
  answer: FinalResponse & { readonly kind: "failed" },
  requestId: string | undefined,
  response: ServerResponse,
): void {
  const { failure: kind, message, retryAfterMs } = answer;
  const { status, ...told } = ERROR_RESPONSES[kind];
  const error = { kind, message, ...told, retryAfterMs, requestId };
  const body = Buffer.from(JSON.stringify({ error }));
  response.setHeader(OUTCOME, told.outcome);
  if (requestId !== undefined) {
    response.setHeader(REQUEST_ID, requestId);
  }
  response.statusCode = status;
  response.setHeader("Content-Type", "application/json");
  response.setHeader("Content-Length", body.byteLength);
  if (retryAfterMs !== undefined) {
    response.setHeader("Retry-After", (retryAfterMs / 1_000).toFixed(3));
  }
  response.end(body);
}

/** What cannot be read as HTTP is told so where the connection still allows it. */
function answerUnreadable(error: NodeJS.ErrnoException, socket: Socket): void {
  if (!socket.writable || error.code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  const status = error.code === "HPE_HEADER_OVERFLOW"
    ? "431 Request Header Fields Too Large"
    : error.code === "ERR_HTTP_REQUEST_TIMEOUT"
    ? "408 Request Timeout"
    : "400 Bad Request";
  socket.end(
    `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
  );
}

function listFields(rawHeaders: readonly string[]): readonly HeaderField[] {
  const fields: HeaderField[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    fields.push({ name, value: rawHeaders[index + 1]! });
  }
  return fields;
}
