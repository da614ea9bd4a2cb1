/**
 * Serves callers over HTTP. It uses Node's own server: moleculer-web would add
 * 0.29 s of CPU time to each start and has no part in routing
 * (docs/design/overview.md).
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
  /** How long this process has just been stalled; 0 if it was not. */
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

/** Limits until a configuration is loaded; ordinary values of HTTP servers. */
const DEFAULT_LIMITS: ServerLimits = {
  maxBodyBytes: 64 * 1024 * 1024,
  headTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};
/**
 * Above the header limit of any configuration; Node's limit is fixed at the
 * start.
 */
const MAX_HEAD_BYTES = 64 * 1024;
/**
 * Time to receive a body within the limits; a slow phone network needs some
 * seconds.
 */
const BODY_TIMEOUT_MS = 10_000;
const CHECK_INTERVAL_MS = 1_000;
/** Statuses whose responses have no body (RFC 9110). */
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);
/** Created once, since a new error with its stack trace costs 0.05 ms. */
const CALLER_DISCONNECTED = new Error("The caller closed the connection");
/** Header that states whether the request ran, as far as it can be proved. */
const OUTCOME_HEADER = "lentilspur-outcome";
const REQUEST_ID_HEADER = "lentilspur-request-id";
/** Headers of a single connection, which Node's server writes itself. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
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
  #limits = DEFAULT_LIMITS;
  #isDraining = false;
  #isRefusing = false;
  #openRequests = 0;
  #lastRequestAtMs = -Infinity;

  constructor(options: RequestServerOptions) {
    this.#options = options;
    this.#server = createServer({
      headersTimeout: DEFAULT_LIMITS.headTimeoutMs,
      requestTimeout: DEFAULT_LIMITS.headTimeoutMs + BODY_TIMEOUT_MS,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
      keepAliveTimeout: DEFAULT_LIMITS.idleTimeoutMs,
      maxHeaderSize: MAX_HEAD_BYTES,
      noDelay: true,
    }, (message, response) => void this.#handle(message, response));
    this.#server.on("clientError", answerInvalidRequest);
  }

  /** The port that the server listens on; chosen by the system for port 0. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Number of requests that are not answered yet. */
  get openRequests(): number {
    return this.#openRequests;
  }

  /** When the last request arrived, on this instance's clock. */
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

  /**
   * Closes each connection after its current or next request. Still accepts new
   * connections and requests, see `refuse`.
   */
  drain(): void {
    this.#isDraining = true;
  }

  /**
   * Refuses new requests, which might not finish before the process has to end.
   * A caller learns at once that its request has not run, and can send it to
   * another instance.
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
    // A request that is read after a stall may have arrived at its beginning.
    const arrivedAtMs = clock.readMs() - readStallMs();
    this.#lastRequestAtMs = clock.readMs();
    this.#openRequests++;
    const controller = new AbortController();
    const { socket } = message;
    const abort = () => controller.abort(CALLER_DISCONNECTED);
    socket.once("end", abort);
    response.on("close", () => {
      this.#openRequests--;
      socket.off("end", abort);
      if (!response.writableFinished) {
        abort();
      }
    });
    const read = await this.#readRequest(
      message,
      arrivedAtMs,
      controller.signal,
    );
    await waitForPendingEnds();
    const finalResponse = "failure" in read ? read : await handle(read);
    const requestId = "failure" in read ? undefined : read.requestId;
    this.#writeResponse(finalResponse, { requestId, message, response });
  }

  async #readRequest(
    message: IncomingMessage,
    arrivedAtMs: number,
    signal: AbortSignal,
  ): Promise<CallerRequest | (FinalResponse & { readonly kind: "failed" })> {
    const headers = listHeaders(message.rawHeaders);
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
    const declaredLength = message.headers["content-length"];
    const isChunked = message.headers["transfer-encoding"] !== undefined;
    const { maxBodyBytes } = this.#limits;
    if (
      !isChunked && (declaredLength === undefined || declaredLength === "0")
    ) {
      return Promise.resolve({ ok: true, bytes: new Uint8Array(0) });
    }
    if (Number(declaredLength ?? 0) > maxBodyBytes) {
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

  #writeResponse(
    finalResponse: FinalResponse,
    { requestId, message, response }: {
      readonly requestId: string | undefined;
      readonly message: IncomingMessage;
      readonly response: ServerResponse;
    },
  ): void {
    if (response.destroyed) {
      return;
    }
    // A connection with an unread body cannot carry another request.
    if (this.#isDraining || !message.complete) {
      response.setHeader("Connection", "close");
    }
    switch (finalResponse.kind) {
      case "answered":
        writeTargetResponse(finalResponse, response);
        return;
      case "failed":
        writeFailure(finalResponse, requestId, response);
        return;
    }
  }
}

/**
 * Prevents work for callers that have disconnected: after a stall, the server
 * reads a request and then the end of its connection, and would forward the
 * request before it sees the end. One turn of the event loop reads both.
 */
function waitForPendingEnds(): Promise<void> {
  return new Promise((resolve) => setImmediate(() => setImmediate(resolve)));
}

function writeTargetResponse(
  finalResponse: FinalResponse & { readonly kind: "answered" },
  response: ServerResponse,
): void {
  for (const { name, value } of finalResponse.headers) {
    if (!CONNECTION_HEADERS.has(name)) {
      response.appendHeader(name, value);
    }
  }
  response.setHeader(OUTCOME_HEADER, "ran");
  response.statusCode = finalResponse.status;
  if (STATUSES_WITHOUT_BODY.has(finalResponse.status)) {
    response.end();
    return;
  }
  if (finalResponse.isSelfDelimited) {
    response.setHeader("Content-Length", finalResponse.body.byteLength);
  } else {
    writeHeadWithoutLength(response);
  }
  response.end(finalResponse.body);
}

/**
 * Ends a response by closing the caller's connection if the target's connection
 * ended it too. Such a response may be truncated; with a Content-Length, a
 * truncated response would look complete to the caller.
 */
function writeHeadWithoutLength(response: ServerResponse): void {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  response.flushHeaders();
}

function writeFailure(
  finalResponse: FinalResponse & { readonly kind: "failed" },
  requestId: string | undefined,
  response: ServerResponse,
): void {
  const { failure: kind, message, retryAfterMs } = finalResponse;
  const { status, ...details } = ERROR_RESPONSES[kind];
  const error = { kind, message, ...details, retryAfterMs, requestId };
  const body = Buffer.from(JSON.stringify({ error }));
  response.setHeader(OUTCOME_HEADER, details.outcome);
  if (requestId !== undefined) {
    response.setHeader(REQUEST_ID_HEADER, requestId);
  }
  response.statusCode = status;
  response.setHeader("Content-Type", "application/json");
  response.setHeader("Content-Length", body.byteLength);
  if (retryAfterMs !== undefined) {
    response.setHeader("Retry-After", (retryAfterMs / 1_000).toFixed(3));
  }
  response.end(body);
}

/**
 * Answers a request that is not valid HTTP, if the connection still allows it.
 */
function answerInvalidRequest(
  error: NodeJS.ErrnoException,
  socket: Socket,
): void {
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

function listHeaders(rawHeaders: readonly string[]): readonly HeaderField[] {
  const fields: HeaderField[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    fields.push({ name, value: rawHeaders[index + 1]! });
  }
  return fields;
}
